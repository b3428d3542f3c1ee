//! Commands for bundles.

use std::path::Path;

use getopts::Options;
use reqwest::Method;
use serde::Serialize;
use serde_json::{Value, json};

use super::client::Retry;
use super::document::{bad_bundle, read};
use super::{Client, Context, Error, Output, Result, Table};
use crate::api::{BundleActionRequest, BundleChanged, BundleStatus, ErrorCode};
use crate::bundle::{
    Bundle, Digest, PartnerSigner, Purpose, Signature, SignedBundle, TrustedPartners, validate,
    verify,
};
use crate::prelude::*;
use crate::settings::TrustedPartner;

/// Identity, signing partners and size of a bundle, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Summary {
    version: BundleVersion,
    digest: Digest,
    signed_by: Vec<PartnerId>,
    data_centres: usize,
    workers: u64,
    accelerators: u64,
    organisations: usize,
    kinds: usize,
}

impl Summary {
    pub(super) fn new(signed: &SignedBundle) -> Result<Self> {
        let bundle = &signed.bundle;
        let digest = Digest::of(bundle).map_err(|error| bad_bundle(&error))?;
        let size = |data_centre: &crate::bundle::DataCentre| {
            let workers: u64 = data_centre.racks.iter().map(|rack| u64::from(rack.workers)).sum();
            (workers, workers * u64::from(data_centre.worker.accelerators))
        };
        let sizes = bundle.data_centres.iter().map(size);
        let (workers, accelerators) =
            sizes.fold((0, 0), |sum, size| (sum.0 + size.0, sum.1 + size.1));
        Ok(Self {
            version: bundle.version,
            digest,
            signed_by: signed.signatures.iter().map(|s| s.partner.clone()).collect(),
            data_centres: bundle.data_centres.len(),
            workers,
            accelerators,
            organisations: bundle.organisations.len(),
            kinds: bundle.kinds.len(),
        })
    }

    pub(super) fn table(&self) -> Table {
        let partners: Vec<&str> = self.signed_by.iter().map(PartnerId::as_str).collect();
        let signed_by = if partners.is_empty() { "-".to_owned() } else { partners.join(", ") };
        let mut table = Table::new(&["field", "value"]);
        let rows = [
            ("version", self.version.to_string()),
            ("digest", self.digest.to_string()),
            ("signed by", signed_by),
            ("data centres", self.data_centres.to_string()),
            ("workers", self.workers.to_string()),
            ("accelerators", self.accelerators.to_string()),
            ("organisations", self.organisations.to_string()),
            ("kinds", self.kinds.to_string()),
        ];
        for (field, value) in rows {
            table.add(vec![field.to_owned(), value]);
        }
        table
    }
}

/// Runs `bundle check`: validates a bundle file and, with `--partners`, its signatures.
pub(super) async fn check(arguments: &[&str]) -> Result<Output> {
    let mut options = Options::new();
    options.optopt("", "partners", "JSON list of partners whose signatures are checked", "FILE");
    let context = match Context::parse("bundle check FILE", arguments, options, 1..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let signed = read(context.argument(0))?;
    validate(&signed.bundle).map_err(|error| bad_bundle(&error))?;
    if let Some(path) = context.matches.opt_str("partners") {
        verify(&signed, &read_partners(&path)?).map_err(|error| bad_bundle(&error))?;
    }
    show_summary(&context, &signed)
}

fn read_partners(path: &str) -> Result<TrustedPartners> {
    let failed =
        |error: &dyn std::fmt::Display| Error::Usage { reason: format!("{path}: {error}") };
    let text = std::fs::read_to_string(path).map_err(|error| failed(&error))?;
    let partners: Vec<TrustedPartner> =
        serde_json::from_str(&text).map_err(|error| failed(&error))?;
    TrustedPartners::try_from(partners).map_err(|error| failed(&error))
}

fn show_summary(context: &Context, signed: &SignedBundle) -> Result<Output> {
    let summary = Summary::new(signed)?;
    if context.json {
        return Ok(Output::done(&json!(summary).to_string()));
    }
    Ok(Output::done(&summary.table().render()))
}

/// Runs `bundle propose`: signs a bundle and proposes it to the entries.
pub(super) async fn propose(arguments: &[&str]) -> Result<Output> {
    let parsed = Context::parse("bundle propose FILE --key FILE", arguments, key_options(), 1..=1)?;
    let context = match parsed {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let signer = read_key(&context)?;
    let mut signed = read(context.argument(0))?;
    validate(&signed.bundle).map_err(|error| bad_bundle(&error))?;
    // An entry records a proposal under its first signature, which must be the one of the proposing partner.
    signed.signatures.clear();
    signed.sign(&signer).map_err(|error| bad_bundle(&error))?;
    send(&context, "propose", &json!(signed), "proposed").await
}

/// Runs `bundle approve`: signs the acceptance of a bundle.
pub(super) async fn approve(arguments: &[&str]) -> Result<Output> {
    let usage = "bundle approve [FILE] --key FILE";
    let context = match Context::parse(usage, arguments, key_options(), 0..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    sign_and_send(&context, Purpose::Accept, "approve", "approved").await
}

/// Runs `bundle rollout`: signs the rollout of a bundle.
pub(super) async fn roll_out(arguments: &[&str]) -> Result<Output> {
    let usage = "bundle rollout [FILE] --key FILE";
    let context = match Context::parse(usage, arguments, key_options(), 0..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    sign_and_send(&context, Purpose::RollOut, "rollout", "rolled out").await
}

fn key_options() -> Options {
    let mut options = Options::new();
    options.optopt("", "key", "key file of the partner that signs", "FILE");
    options
}

fn read_key(context: &Context) -> Result<PartnerSigner> {
    let path = context.required("key")?;
    PartnerSigner::read(Path::new(&path)).map_err(|error| bad_bundle(&error))
}

/// Signs an action on the bundle of a file or, without a file, on the proposed bundle, and sends it to an entry.
async fn sign_and_send(
    context: &Context,
    purpose: Purpose,
    route: &str,
    done: &str,
) -> Result<Output> {
    let signer = read_key(context)?;
    let bundle = match context.matches.free.first() {
        Some(path) => read(path)?.bundle,
        None => proposed_or_current(&context.client()?).await?.signed.bundle,
    };
    // The digest is computed from the content, so that a partner never signs a digest that an entry merely reported.
    let digest = Digest::of(&bundle).map_err(|error| bad_bundle(&error))?;
    let signature = Signature::sign(&signer, purpose, &digest);
    let request = BundleActionRequest { version: bundle.version, digest, signature };
    send(context, route, &json!(request), done).await
}

/// Returns the proposed bundle or, if there is none, the active one. A rollout whose answer was lost may already have
/// made the proposed bundle active, and a repeated command must act on the same bundle.
async fn proposed_or_current(client: &Client) -> Result<BundleStatus> {
    match client.get("/v1/bundles/proposed").await {
        Err(Error::Refused { error }) if error.code == ErrorCode::NotFound => {
            client.get("/v1/bundles/current").await
        }
        result => result,
    }
}

async fn send(context: &Context, route: &str, body: &Value, done: &str) -> Result<Output> {
    let path = format!("/v1/bundles/{route}");
    // The call may be repeated, because an entry recognises a change that the same partner made before.
    let answer =
        context.client()?.send(&Method::POST, &path, Some(body), Retry::Idempotent).await?;
    if context.json {
        return Ok(Output::done(&answer.to_string()));
    }
    let invalid_answer = |error: serde_json::Error| Error::Unknown { reason: error.to_string() };
    let changed: BundleChanged = serde_json::from_value(answer).map_err(invalid_answer)?;
    Ok(Output::done(&describe(&changed, done)))
}

/// Describes an applied change with the digest of the bundle and the entries that confirmed it.
pub(super) fn describe(changed: &BundleChanged, done: &str) -> String {
    let mut text = format!("bundle {} is {done}\ndigest {}", changed.version, changed.digest);
    if !changed.confirmed_by.is_empty() {
        let entries: Vec<&str> = changed.confirmed_by.iter().map(ProcessId::as_str).collect();
        text.push_str(&format!("\nin force at {}", entries.join(", ")));
    }
    text
}

/// Runs `bundle show`: prints the active or the proposed bundle.
pub(super) async fn show(arguments: &[&str]) -> Result<Output> {
    let mut options = Options::new();
    options.optflag("", "proposed", "show the proposed bundle instead of the active one");
    options.optflag("", "content", "print the signed bundle as JSON, to be kept in a file");
    let context = match Context::parse("bundle show [options]", arguments, options, 0..=0)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let proposed = context.matches.opt_present("proposed");
    let path = if proposed { "/v1/bundles/proposed" } else { "/v1/bundles/current" };
    let status: BundleStatus = context.client()?.get(path).await?;
    if context.matches.opt_present("content") {
        return Ok(Output::done(&format!("{:#}", json!(status.signed))));
    }
    show_summary(&context, &status.signed)
}

/// Runs `bundle diff`: compares a bundle file with another one, or with the active bundle.
pub(super) async fn diff(arguments: &[&str]) -> Result<Output> {
    let usage = "bundle diff FILE [FILE]";
    let context = match Context::parse(usage, arguments, Options::new(), 1..=2)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let first = read(context.argument(0))?.bundle;
    let (old, new) = match context.matches.free.get(1) {
        Some(path) => (first, read(path)?.bundle),
        None => {
            let current: BundleStatus = context.client()?.get("/v1/bundles/current").await?;
            (current.signed.bundle, first)
        }
    };
    let differences = differences(&old, &new);
    if context.json {
        return Ok(Output::done(&json!(differences).to_string()));
    }
    Ok(Output::done(&difference_table(&differences)))
}

/// A field in which two bundles differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Difference {
    field: String,
    old: Value,
    new: Value,
}

/// Returns the fields in which two bundles differ. List elements are matched by their ids.
pub(super) fn differences(old: &Bundle, new: &Bundle) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare("", &json!(old), &json!(new), &mut differences);
    differences
}

fn compare(field: &str, old: &Value, new: &Value, differences: &mut Vec<Difference>) {
    if old == new {
        return;
    }
    match (members(old), members(new)) {
        (Some(old), Some(new)) => {
            let mut names: Vec<&String> = old.iter().chain(&new).map(|(name, _)| name).collect();
            names.sort();
            names.dedup();
            for name in names {
                let value = |list: &[(String, Value)]| {
                    list.iter().find(|(n, _)| n == name).map_or(Value::Null, |(_, v)| v.clone())
                };
                let path = if field.is_empty() { name.clone() } else { format!("{field}.{name}") };
                compare(&path, &value(&old), &value(&new), differences);
            }
        }
        _ => differences.push(Difference {
            field: field.to_owned(),
            old: old.clone(),
            new: new.clone(),
        }),
    }
}

/// Returns the members of an object by name, or the elements of a list by id if all have one.
fn members(value: &Value) -> Option<Vec<(String, Value)>> {
    match value {
        Value::Object(fields) => {
            Some(fields.iter().map(|(name, value)| (name.clone(), value.clone())).collect())
        }
        Value::Array(entries) => {
            let member =
                |entry: &Value| Some((entry.get("id")?.as_str()?.to_owned(), entry.clone()));
            entries.iter().map(member).collect()
        }
        _ => None,
    }
}

/// Renders differences as a table in which `-` stands for an absent value and `present` for an element with an id.
pub(super) fn difference_table(differences: &[Difference]) -> String {
    if differences.is_empty() {
        return "no differences".to_owned();
    }
    let text = |value: &Value| match value {
        Value::Null => "-".to_owned(),
        Value::Object(fields) if fields.contains_key("id") => "present".to_owned(),
        value => value.to_string(),
    };
    let mut table = Table::new(&["field", "old", "new"]);
    for difference in differences {
        table.add(vec![difference.field.clone(), text(&difference.old), text(&difference.new)]);
    }
    table.render()
}
