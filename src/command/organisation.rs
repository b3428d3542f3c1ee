//! Commands for organisations.

use getopts::Options;
use serde_json::json;

use super::document::{bad_bundle, read, replace};
use super::{Context, Error, Output, Result, Table, parse_u32, parse_u64};
use crate::api::OrganisationStatus;
use crate::bundle::{GuaranteedBlock, Organisation, validate};
use crate::prelude::*;

/// Runs `organisation add`: adds an organisation to an unsigned bundle file.
pub(super) async fn add(arguments: &[&str]) -> Result<Output> {
    let mut options = Options::new();
    options.optopt("", "bundle", "bundle file to edit", "FILE");
    options.optmulti("", "guarantee", "guaranteed blocks; may be repeated", "BLOCKS");
    options.optopt("", "quota", "maximum number of accelerators in use at once", "N");
    options.optopt("", "version", "new version of the bundle", "N");
    let usage = "organisation add ID --bundle FILE [options]\n\n\
        BLOCKS is ACCELERATORS:ADJACENCY:COUNT[:DATA_CENTRE], such as 8:worker:2:amman-1;\n\
        ADJACENCY is worker, rack or data_centre.";
    let context = match Context::parse(usage, arguments, options, 1..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let path = context.required("bundle")?;
    let signed = read(&path)?;
    if !signed.signatures.is_empty() {
        let reason = format!("{path}: the bundle is signed; edit a copy without signatures");
        return Err(Error::Usage { reason });
    }
    let mut bundle = signed.bundle;
    if let Some(version) = context.matches.opt_str("version") {
        bundle.version = BundleVersion(parse_u64("version", &version)?);
    }
    let organisation = parse_organisation(&context)?;
    bundle.organisations.push(organisation.clone());
    validate(&bundle).map_err(|error| bad_bundle(&error))?;
    replace(&path, &bundle)?;
    show_list(&context, &[OrganisationStatus::new(&organisation, bundle.version)])
}

fn parse_organisation(context: &Context) -> Result<Organisation> {
    let blocks = context.matches.opt_strs("guarantee");
    let guarantee = blocks.iter().map(|text| parse_block(text)).collect::<Result<_>>()?;
    let quota = context.matches.opt_str("quota");
    let quota_accelerators = quota.map(|text| parse_u32("quota", &text)).transpose()?;
    let id = OrganisationId::from(context.argument(0));
    Ok(Organisation { id, guarantee, quota_accelerators })
}

/// Parses a block of `--guarantee`: `ACCELERATORS:ADJACENCY:COUNT[:DATA_CENTRE]`.
pub(super) fn parse_block(text: &str) -> Result<GuaranteedBlock> {
    let parts: Vec<&str> = text.split(':').collect();
    let (accelerators, adjacency, count, data_centre) = match parts.as_slice() {
        [accelerators, adjacency, count] => (accelerators, adjacency, count, None),
        [accelerators, adjacency, count, id] => {
            (accelerators, adjacency, count, Some(DataCentreId::from(*id)))
        }
        _ => {
            let format = "ACCELERATORS:ADJACENCY:COUNT[:DATA_CENTRE]";
            let reason = format!("option --guarantee must be {format}, not {text:?}");
            return Err(Error::Usage { reason });
        }
    };
    Ok(GuaranteedBlock {
        data_centre,
        accelerators: parse_u32("guarantee", accelerators)?,
        adjacency: parse_adjacency(adjacency)?,
        count: parse_u32("guarantee", count)?,
    })
}

fn parse_adjacency(text: &str) -> Result<Adjacency> {
    serde_json::from_value(json!(text)).map_err(|_| Error::Usage {
        reason: format!(
            "option --guarantee: adjacency must be worker, rack or data_centre, not {text:?}"
        ),
    })
}

/// Runs `organisation list`.
pub(super) async fn list(arguments: &[&str]) -> Result<Output> {
    let context = match Context::parse("organisation list", arguments, Options::new(), 0..=0)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let organisations: Vec<OrganisationStatus> = context.client()?.get("/v1/organisations").await?;
    show_list(&context, &organisations)
}

fn show_list(context: &Context, organisations: &[OrganisationStatus]) -> Result<Output> {
    if context.json {
        return Ok(Output::done(&json!(organisations).to_string()));
    }
    Ok(Output::done(&organisation_table(organisations).render()))
}

/// Returns a table with the guarantee and the quota of each organisation.
pub(super) fn organisation_table(organisations: &[OrganisationStatus]) -> Table {
    let mut table = Table::new(&["organisation", "guaranteed", "blocks", "quota"]);
    for status in organisations {
        let blocks: Vec<String> = status.organisation.guarantee.iter().map(describe).collect();
        let quota = status.organisation.quota_accelerators;
        table.add(vec![
            status.organisation.id.to_string(),
            status.guaranteed_accelerators.to_string(),
            if blocks.is_empty() { "-".to_owned() } else { blocks.join(", ") },
            quota.map_or("-".to_owned(), |quota| quota.to_string()),
        ]);
    }
    table
}

fn describe(block: &GuaranteedBlock) -> String {
    let place = block.data_centre.as_ref().map_or(String::new(), |id| format!(" in {id}"));
    format!("{} x {} ({}){place}", block.count, block.accelerators, block.adjacency)
}

/// Runs `organisation show`.
pub(super) async fn show(arguments: &[&str]) -> Result<Output> {
    let context = match Context::parse("organisation show ID", arguments, Options::new(), 1..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let path = format!("/v1/organisations/{}", context.argument(0));
    let status: OrganisationStatus = context.client()?.get(&path).await?;
    if context.json {
        return Ok(Output::done(&json!(status).to_string()));
    }
    show_list(&context, &[status])
}
