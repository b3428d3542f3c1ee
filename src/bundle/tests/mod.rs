//! Guards against active bundles that two partners did not sign, that were altered after signing, or by which nothing
//! can be scheduled.

pub mod fixture;
mod rollout;

use std::os::unix::fs::PermissionsExt;

use fixture::{bundle, bundle_at, signed, signer, trusted};
use serde_json::{Value, json};
use test_case::test_case;

use super::*;
use crate::prelude::*;
use crate::settings::TrustedPartner;

/// Sets the field of the example bundle at a JSON pointer and returns the problems that validation finds.
fn problems_with(pointer: &str, value: Value) -> Vec<FieldError> {
    let mut document = serde_json::to_value(bundle()).expect("a bundle is JSON");
    *document.pointer_mut(pointer).expect("the field exists") = value;
    let changed: Bundle = serde_json::from_value(document).expect("the types are right");
    match validate(&changed) {
        Err(Error::Invalid { problems }) => problems,
        other => panic!("expected problems, got {other:?}"),
    }
}

#[test_case(include_str!("../../../examples/consortium/bundle.json"); "consortium")]
#[test_case(include_str!("../../../examples/fraser/bundle.json"); "fraser")]
fn examples_are_valid(text: &str) {
    let bundle: Bundle = serde_json::from_str(text).unwrap();
    assert_eq!(validate(&bundle), Ok(()));
}

#[test_case("/version", json!(0), "version"; "no version")]
#[test_case("/data_centres", json!([]), "data_centres"; "no data centres")]
#[test_case("/data_centres/1/id", json!("amman-1"), "data_centres[1].id"; "repeated data centre")]
#[test_case("/data_centres/0/id", json!("a/b"), "data_centres[0].id"; "slash in an identifier")]
#[test_case("/data_centres/0/worker/cores", json!(0), "data_centres[0].worker.cores"; "no cores")]
#[test_case("/data_centres/0/worker/memory_mb", json!(137_438_953_472_u64),
    "data_centres[0].worker.memory_mb"; "memory in bytes instead of mebibytes")]
#[test_case("/data_centres/0/worker/accelerators", json!(12), "data_centres[0].worker.accelerators"; "accelerators not a power of two")]
#[test_case("/data_centres/0/worker/accelerators", json!(128), "data_centres[0].worker.accelerators"; "too many accelerators")]
#[test_case("/data_centres/0/racks", json!([]), "data_centres[0].racks"; "no racks")]
#[test_case("/data_centres/0/racks/1/id", json!("amman-1-r1"), "data_centres[0].racks[1].id"; "repeated rack")]
#[test_case("/data_centres/0/racks/0/workers", json!(0), "data_centres[0].racks[0].workers"; "empty rack")]
#[test_case("/data_centres/0/racks/0/workers", json!(200), "data_centres[0].racks[0].workers"; "rack over a group")]
#[test_case("/organisations/1/id", json!("consortium"), "organisations[1].id"; "repeated organisation")]
#[test_case("/organisations/0/quota_accelerators", json!(7), "organisations[0].quota_accelerators"; "low quota")]
#[test_case("/organisations/0/guarantee/0/accelerators", json!(3),
    "organisations[0].guarantee[0].accelerators"; "block not aligned")]
#[test_case("/organisations/0/guarantee/0/accelerators", json!(16),
    "organisations[0].guarantee[0].accelerators"; "block over a worker")]
#[test_case("/organisations/1/guarantee/0/accelerators", json!(32),
    "organisations[1].guarantee[0].accelerators"; "block over a rack")]
#[test_case("/organisations/0/guarantee/0/count", json!(0), "organisations[0].guarantee[0].count"; "no blocks")]
#[test_case("/organisations/0/guarantee/0/data_centre", json!("petra"),
    "organisations[0].guarantee[0].data_centre"; "unknown data centre")]
#[test_case("/kinds", json!([]), "kinds"; "no kinds")]
#[test_case("/kinds/1/id", json!("drift-fit"), "kinds[2].id"; "repeated kind")]
#[test_case("/kinds/1/preemptible", json!(false), "kinds[1].may_borrow"; "borrows and cannot give back")]
#[test_case("/policy/group_workers", json!(1_000_000), "policy.group_workers"; "group too large")]
#[test_case("/policy/reclaim_stop_ms", json!(0), "policy.reclaim_stop_ms"; "no time to stop")]
#[test_case("/policy/reservation_age_ms", json!(u64::MAX), "policy.reservation_age_ms"; "duration too long")]
#[test_case("/policy/retry_budget_per_mille", json!(5_000), "policy.retry_budget_per_mille"; "retry storm")]
#[test_case("/policy/queue_limit_urgent", json!(0), "policy.queue_limit_urgent"; "no queue")]
#[test_case("/policy/weights/work_done_per_mille", json!(u32::MAX), "policy.weights"; "weights over the sum")]
#[test_case("/policy/weights/completion_per_mille", json!(0), "policy.weights"; "weights under the sum")]
fn violated_rule_is_reported_with_its_field(pointer: &str, value: Value, field: &str) {
    let problems = problems_with(pointer, value);
    assert!(problems.iter().any(|problem| problem.field == field), "{problems:?}");
}

#[test]
fn guarantees_that_fit_only_separately_are_refused() {
    let mut crowded = bundle();
    let copies = (0..20).map(|n| Organisation {
        id: OrganisationId::from(format!("copy-{n}")),
        ..crowded.organisations[1].clone()
    });
    let copies: Vec<Organisation> = copies.collect();
    crowded.organisations.extend(copies);
    let result = validate(&crowded);
    assert!(matches!(result, Err(Error::NotAdmitted { .. })), "{result:?}");
}

#[test]
fn unknown_field_is_refused_and_named() {
    let mut document = serde_json::to_value(signed(bundle(), &[])).unwrap();
    document["bundle"]["policy"]["reclaim_stop_s"] = json!(1);
    let error = SignedBundle::from_json(document.to_string().as_bytes()).unwrap_err();
    assert!(error.to_string().contains("reclaim_stop_s"), "{error}");
}

#[test]
fn the_digest_does_not_change_between_releases() {
    // A changed digest would invalidate the signatures of all active bundles.
    let text = Digest::of(&bundle()).unwrap().to_string();
    insta::assert_snapshot!(text);
}

#[test]
fn canonical_form_has_sorted_keys_and_no_whitespace() {
    let text = String::from_utf8(canonical_json(&bundle()).unwrap()).unwrap();
    assert!(text.starts_with(
        r#"{"data_centres":[{"id":"amman-1","racks":[{"id":"amman-1-r1","workers":3}"#
    ));
}

#[test]
fn bundle_signed_by_two_partners_is_accepted() {
    let accepted = verify(&signed(bundle(), &["amman", "aqaba"]), &trusted()).unwrap();
    assert_eq!(accepted.version(), BundleVersion(1));
}

#[test]
fn bundle_with_one_signature_is_refused() {
    let result = verify(&signed(bundle(), &["amman"]), &trusted());
    assert_eq!(result, Err(Error::TooFewSignatures { found: 1 }));
}

#[test]
fn two_signatures_of_one_partner_are_refused() {
    let mut twice = signed(bundle(), &["amman"]);
    twice.signatures.push(twice.signatures[0].clone());
    let partner = PartnerId::from("amman");
    assert_eq!(verify(&twice, &trusted()), Err(Error::RepeatedPartner { partner }));
}

#[test]
fn a_bundle_altered_after_signing_is_refused() {
    let mut altered = signed(bundle(), &["amman", "aqaba"]);
    altered.bundle.policy.queue_limit_batch += 1;
    let partner = PartnerId::from("amman");
    assert_eq!(verify(&altered, &trusted()), Err(Error::WrongSignature { partner }));
}

#[test]
fn signature_of_an_untrusted_partner_is_refused() {
    let partner = PartnerId::from("stranger");
    let result = verify(&signed(bundle(), &["amman", "stranger"]), &trusted());
    assert_eq!(result, Err(Error::UntrustedPartner { partner }));
}

#[test]
fn rollout_signature_is_refused_as_acceptance() {
    let mut reused = signed(bundle(), &["amman"]);
    let digest = Digest::of(&reused.bundle).unwrap();
    reused.signatures.push(Signature::sign(&signer("aqaba"), Purpose::RollOut, &digest));
    let partner = PartnerId::from("aqaba");
    assert_eq!(verify(&reused, &trusted()), Err(Error::WrongSignature { partner }));
}

#[test]
fn invalid_bundle_with_two_signatures_is_refused() {
    let result = verify(&signed(bundle_at(0), &["amman", "aqaba"]), &trusted());
    assert!(matches!(result, Err(Error::Invalid { .. })), "{result:?}");
}

#[test_case(&["amman"]; "one partner")]
#[test_case(&["amman", "amman"]; "a partner twice")]
fn fewer_than_two_trusted_partners_are_refused(names: &[&str]) {
    let partners: Vec<_> = names.iter().map(|name| signer(name).public_key()).collect();
    assert!(matches!(TrustedPartners::try_from(partners), Err(Error::Partners { .. })));
}

#[test]
fn one_key_under_two_names_is_refused() {
    let partner = signer("amman").public_key();
    let same = TrustedPartner { id: PartnerId::from("aqaba"), ..partner.clone() };
    assert!(matches!(TrustedPartners::try_from(vec![partner, same]), Err(Error::Partners { .. })));
}

#[test]
fn a_key_file_is_private_and_is_never_overwritten() {
    let directory = std::env::temp_dir().join(format!("teaselhall-key-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.join("amman.key");

    signer("amman").write_new(&path).unwrap();
    let second = signer("aqaba").write_new(&path);

    let mode = std::fs::metadata(&path).unwrap().permissions().mode() & 0o777;
    let read = PartnerSigner::read(&path).unwrap();
    std::fs::remove_dir_all(&directory).unwrap();
    assert!(matches!(second, Err(Error::KeyFile { .. })), "{second:?}");
    assert_eq!(mode, 0o600);
    assert_eq!(read.public_key(), signer("amman").public_key());
}
