//! Tests of the commands for bundles, keys and organisations: they must not lose a file, sign other content than the
//! operator's, or hide an error.

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

/// Temporary directory that is removed at the end of a test.
struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
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

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

async fn execute(words: &[&str]) -> Result<Output> {
    let arguments: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    run(&arguments).await
}

async fn output_text(words: &[&str]) -> String {
    let output = execute(words).await.expect("the command succeeds");
    String::from_utf8(output.text).expect("the output is text")
}

/// Running entry, bundle files for versions 1 and 2, and key files of two partners.
struct Operators {
    entry: Entry,
    directory: TemporaryDirectory,
}

impl Operators {
    async fn new(test: &str) -> Self {
        let directory = TemporaryDirectory::new(test);
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
async fn two_partners_roll_out_a_bundle_and_a_repeated_rollout_returns_the_same_result() {
    let operators = Operators::new("rollout").await;
    let entries = format!("--entries={}", operators.entry.url);

    let rolled_out = operators.roll_out("1.json").await.unwrap();
    let again = operators.bundle(&["rollout"], "amman").await.unwrap();

    assert_eq!(
        rolled_out, again,
        "a call repeated after a lost answer must return the first result"
    );
    insta::assert_snapshot!(String::from_utf8_lossy(&rolled_out.text));
    insta::assert_snapshot!(output_text(&["bundle", "show", &entries]).await);
    insta::assert_snapshot!(output_text(&["organisation", "list", &entries]).await);
    insta::assert_snapshot!(
        output_text(&["datacentre", "in", "amman-1", "--operator", "dana", &entries]).await
    );
    let diff =
        output_text(&["bundle", "diff", &operators.directory.file("2.json"), &entries]).await;
    insta::assert_snapshot!(diff);
}

#[tokio::test]
async fn rollout_of_an_older_bundle_is_refused_with_the_newer_version() {
    let operators = Operators::new("older").await;
    operators.roll_out("2.json").await.unwrap();
    let error = operators.roll_out("1.json").await.unwrap_err();
    assert_eq!(error.exit_code(), ExitCode::NotRun);
    assert!(error.to_string().contains("version 2 won"), "{error}");
}

#[tokio::test]
async fn rollout_of_a_bundle_approved_by_only_one_partner_is_refused() {
    let operators = Operators::new("alone").await;
    let file = operators.directory.file("1.json");
    operators.bundle(&["propose", &file], "amman").await.unwrap();
    operators.bundle(&["approve"], "amman").await.unwrap();
    let error = operators.bundle(&["rollout"], "amman").await.unwrap_err();
    assert!(error.to_string().contains("two different partners"), "{error}");
}

#[tokio::test]
async fn existing_key_file_is_not_overwritten_and_private_key_is_not_printed() {
    let directory = TemporaryDirectory::new("key");
    let file = directory.file("amman.key");
    let first = output_text(&["key", "new", "amman", "--file", &file, "--json"]).await;
    let content = std::fs::read_to_string(&file).unwrap();

    let second = execute(&["key", "new", "amman", "--file", &file]).await;

    assert!(matches!(second, Err(Error::Usage { .. })), "{second:?}");
    assert_eq!(std::fs::read_to_string(&file).unwrap(), content);
    assert!(!first.contains(content.split('"').nth(7).unwrap()), "the private key was printed");
}

#[tokio::test]
async fn organisation_add_changes_only_the_organisation_and_the_version() {
    let directory = TemporaryDirectory::new("organisation");
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
async fn refused_organisation_add_leaves_the_bundle_file_unchanged(words: &[&str], expected: &str) {
    let name = words.join("-").replace(['/', ':'], "_");
    let directory = TemporaryDirectory::new(&name);
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
async fn malformed_bundle_file_is_refused_with_its_path_and_the_error(
    content: &str,
    expected: &str,
) {
    let directory = TemporaryDirectory::new(&format!("malformed-{}", content.len()));
    let file = directory.file("bundle.json");
    std::fs::write(&file, content).unwrap();
    let error = execute(&["bundle", "check", &file]).await.expect_err("the file is malformed");
    assert_eq!(error.exit_code(), ExitCode::Usage);
    assert!(error.to_string().contains(expected) && error.to_string().contains(&file), "{error}");
}

#[tokio::test]
async fn bundle_check_with_partners_refuses_a_bundle_altered_after_signing() {
    let directory = TemporaryDirectory::new("altered");
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
fn bundle_summary_lists_the_signing_partners() {
    let summary = Summary::new(&signed(bundle(), &["amman", "aqaba"])).unwrap();
    insta::assert_snapshot!(summary.table().render());
}

#[test]
fn organisation_table_shows_a_dash_for_a_missing_guarantee_or_quota() {
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
fn comparison_of_a_bundle_with_itself_finds_no_differences() {
    assert_eq!(difference_table(&differences(&bundle(), &bundle())), "no differences");
}
