//! Guards against commands for bundles, keys and organisations that lose a file, sign the wrong thing or hide an error.

use std::path::PathBuf;

use serde_json::Value;
use test_case::test_case;

use crate::api::OrganisationStatus;
use crate::bundle::tests::fixture::{bundle, bundle_at, signed, signer};
use crate::bundle::{GuaranteedBlock, Organisation};
use crate::command::bundle::{Summary, difference_table, differences};
use crate::command::organisation::{organisation_table, parse_block};
use crate::command::{Error, ExitCode, Output, Result, document, run};
use crate::entry::configuration::tests::{Entry, FaultyTable, entry, wait_registered};
use crate::prelude::*;

/// A directory that is removed at the end of a test.
struct Directory(PathBuf);

impl Directory {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("teaselhall-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory can be made");
        Self(path)
    }

    fn file(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    fn write(&self, name: &str, content: &Value) -> String {
        let path = self.file(name);
        std::fs::write(&path, content.to_string()).expect("a file can be written");
        path
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

async fn execute(words: &[&str]) -> Result<Output> {
    let arguments: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    run(&arguments).await
}

async fn text(words: &[&str]) -> String {
    let output = execute(words).await.expect("the command succeeds");
    String::from_utf8(output.text).expect("the output is text")
}

/// A running entry, bundle files for versions 1 and 2, and key files of two partners.
struct Operators {
    entry: Entry,
    directory: Directory,
}

impl Operators {
    async fn new(test: &str) -> Self {
        let directory = Directory::new(test);
        for version in [1, 2] {
            directory.write(&format!("{version}.json"), &serde_json::json!(bundle_at(version)));
        }
        for partner in ["amman", "aqaba"] {
            let path = directory.0.join(format!("{partner}.key"));
            signer(partner).write_new(&path).expect("the key file is new");
        }
        let table = FaultyTable::default();
        let entry = entry("entry-1", &table).await;
        wait_registered(&table, 1).await;
        Self { entry, directory }
    }

    async fn bundle(&self, words: &[&str], partner: &str) -> Result<Output> {
        let key = self.directory.file(&format!("{partner}.key"));
        let entries = format!("--entries={}", self.entry.url);
        execute(&[&["bundle"], words, &["--key", &key, &entries]].concat()).await
    }

    async fn roll_out(&self, file: &str) -> Result<Output> {
        self.bundle(&["propose", &self.directory.file(file)], "amman").await?;
        self.bundle(&["approve"], "aqaba").await?;
        self.bundle(&["rollout"], "amman").await
    }
}

#[tokio::test]
async fn two_operators_put_a_bundle_in_force() {
    let operators = Operators::new("rollout").await;
    let entries = format!("--entries={}", operators.entry.url);

    let rolled_out = operators.roll_out("1.json").await.unwrap();
    let again = operators.bundle(&["rollout"], "amman").await.unwrap();

    assert_eq!(rolled_out, again, "a repeated call after a lost answer must find the first");
    insta::assert_snapshot!(String::from_utf8_lossy(&rolled_out.text));
    insta::assert_snapshot!(text(&["bundle", "show", &entries]).await);
    insta::assert_snapshot!(text(&["organisation", "list", &entries]).await);
    insta::assert_snapshot!(
        text(&["datacentre", "in", "amman-1", "--operator", "dana", &entries]).await
    );
    let diff = text(&["bundle", "diff", &operators.directory.file("2.json"), &entries]).await;
    insta::assert_snapshot!(diff);
}

#[tokio::test]
async fn an_older_bundle_is_refused_with_the_version_that_won() {
    let operators = Operators::new("older").await;
    operators.roll_out("2.json").await.unwrap();
    let error = operators.roll_out("1.json").await.unwrap_err();
    assert_eq!(error.exit_code(), ExitCode::NotRun);
    assert!(error.to_string().contains("version 2 won"), "{error}");
}

#[tokio::test]
async fn one_partner_alone_cannot_roll_out() {
    let operators = Operators::new("alone").await;
    let file = operators.directory.file("1.json");
    operators.bundle(&["propose", &file], "amman").await.unwrap();
    operators.bundle(&["approve"], "amman").await.unwrap();
    let error = operators.bundle(&["rollout"], "amman").await.unwrap_err();
    assert!(error.to_string().contains("two different partners"), "{error}");
}

#[tokio::test]
async fn a_key_file_is_never_overwritten() {
    let directory = Directory::new("key");
    let file = directory.file("amman.key");
    let first = text(&["key", "new", "amman", "--file", &file, "--json"]).await;
    let content = std::fs::read_to_string(&file).unwrap();

    let second = execute(&["key", "new", "amman", "--file", &file]).await;

    assert!(matches!(second, Err(Error::Usage { .. })), "{second:?}");
    assert_eq!(std::fs::read_to_string(&file).unwrap(), content);
    assert!(!first.contains(content.split('"').nth(7).unwrap()), "the private key was printed");
}

#[tokio::test]
async fn an_organisation_is_added_to_a_bundle_file() {
    let directory = Directory::new("organisation");
    let file = directory.write("bundle.json", &serde_json::json!(bundle()));
    let words =
        ["organisation", "add", "firm-west", "--bundle", &file, "--guarantee", "1:worker:1"];
    execute(&[&words[..], &["--quota", "8", "--version", "2"]].concat()).await.unwrap();

    let edited = document::read(&file).unwrap().bundle;
    insta::assert_snapshot!(difference_table(&differences(&bundle(), &edited)));
}

#[test_case(&["firm-west", "--guarantee", "3:worker:1"], "accelerators"; "block not aligned")]
#[test_case(&["firm-west", "--guarantee", "8:planet:1"], "planet"; "unknown adjacency")]
#[test_case(&["firm-west", "--guarantee", "8"], "ACCELERATORS"; "incomplete block")]
#[test_case(&["firm-west", "--guarantee", "8:worker:1000"], "does not fit"; "more than there is")]
#[test_case(&["firm-west", "--quota", "many"], "--quota"; "quota that is no number")]
#[test_case(&["firm/west"], "organisations[4].id"; "bad identifier")]
#[tokio::test]
async fn a_refused_organisation_leaves_the_file_as_it_was(words: &[&str], expected: &str) {
    let name = words.join("-").replace(['/', ':'], "_");
    let directory = Directory::new(&name);
    let file = directory.write("bundle.json", &serde_json::json!(bundle()));
    let before = std::fs::read_to_string(&file).unwrap();

    let error = execute(&[&["organisation", "add"], words, &["--bundle", &file]].concat())
        .await
        .expect_err("the organisation must be refused");

    assert_eq!(error.exit_code(), ExitCode::Usage);
    assert!(error.to_string().contains(expected), "{error}");
    assert_eq!(std::fs::read_to_string(&file).unwrap(), before);
}

#[test_case("{", "line 1"; "truncated file")]
#[test_case("{\"version\": 1}", "data_centres"; "missing field")]
#[test_case("{\"signed\": [], \"bundle\": {}}", "signed"; "unknown field")]
#[tokio::test]
async fn a_malformed_bundle_file_is_named(content: &str, expected: &str) {
    let directory = Directory::new(&format!("malformed-{}", content.len()));
    let file = directory.file("bundle.json");
    std::fs::write(&file, content).unwrap();
    let error = execute(&["bundle", "check", &file]).await.expect_err("the file is malformed");
    assert_eq!(error.exit_code(), ExitCode::Usage);
    assert!(error.to_string().contains(expected) && error.to_string().contains(&file), "{error}");
}

#[tokio::test]
async fn check_with_partners_finds_an_altered_bundle() {
    let directory = Directory::new("altered");
    let partners = [signer("amman").public_key(), signer("aqaba").public_key()];
    let partners = directory.write("partners.json", &serde_json::json!(partners));
    let mut bundle = signed(bundle(), &["amman", "aqaba"]);
    let good = directory.write("good.json", &serde_json::json!(bundle));
    bundle.bundle.policy.queue_limit_batch += 1;
    let altered = directory.write("altered.json", &serde_json::json!(bundle));

    let accepted = execute(&["bundle", "check", &good, "--partners", &partners]).await;
    let refused = execute(&["bundle", "check", &altered, "--partners", &partners]).await;

    assert_eq!(accepted.unwrap().code, ExitCode::Done);
    assert!(refused.unwrap_err().to_string().contains("altered"));
}

#[test]
fn summary_shows_who_signed() {
    let summary = Summary::new(&signed(bundle(), &["amman", "aqaba"])).unwrap();
    insta::assert_snapshot!(summary.table().render());
}

#[test]
fn organisations_without_guarantee_or_quota_have_full_rows() {
    let blocks: Vec<GuaranteedBlock> =
        vec![parse_block("8:worker:2:amman-1").unwrap(), parse_block("24:rack:1").unwrap()];
    let organisations = [("firm-north", blocks, Some(64)), ("guest", Vec::new(), None)].map(
        |(id, guarantee, quota_accelerators)| {
            let id = OrganisationId::from(id);
            let organisation = Organisation { id, guarantee, quota_accelerators };
            OrganisationStatus::new(&organisation, BundleVersion(1))
        },
    );
    insta::assert_snapshot!(organisation_table(&organisations).render());
}

#[test]
fn a_bundle_does_not_differ_from_itself() {
    assert_eq!(difference_table(&differences(&bundle(), &bundle())), "no differences");
}
