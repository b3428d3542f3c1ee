//! Guards against versions that go back, races in which both changes succeed, and rollouts that are acknowledged before
//! every entry has applied the bundle.

use std::collections::BTreeMap;

use super::fixture::{bundle_at, signed, signer, trusted};
use crate::bundle::*;
use crate::prelude::*;
use crate::registration::EntryRow;
use crate::store::RowVersion;

const ENTRY: &str = "entry-1";

/// Row and objects of the store, in memory.
#[derive(Default)]
struct World {
    version: u64,
    row: BundleRow,
    bodies: BTreeMap<String, Bundle>,
}

impl World {
    /// Performs the operations of a change until it answers or waits for entries.
    fn run(&mut self, action: Action) -> (BundleChange, Vec<Output>) {
        let (mut change, mut outputs) = begin(action);
        loop {
            let input = match &outputs[..] {
                [Output::WatchEntries | Output::Answer(_)] => return (change, outputs),
                [output] => self.perform(output),
                other => panic!("one output at a time, got {other:?}"),
            };
            outputs = change.handle(0, &input);
        }
    }

    fn answer(&mut self, action: Action) -> BundleChangeResult {
        match &self.run(action).1[..] {
            [Output::Answer(answer)] => answer.clone(),
            other => panic!("expected an answer, got {other:?}"),
        }
    }

    fn perform(&mut self, output: &Output) -> Input {
        match output {
            Output::ReadRow => {
                Input::Row { version: RowVersion(self.version), row: Box::new(self.row.clone()) }
            }
            Output::StoreBody { key, content } => {
                self.bodies.insert(key.clone(), serde_json::from_slice(content).unwrap());
                Input::BodyStored
            }
            Output::ReadBody { key } => {
                Input::Body { bundle: self.bodies.get(key).cloned().map(Box::new) }
            }
            Output::WriteRow { condition, row } => {
                Input::Written { result: self.write(*condition, row) }
            }
            Output::WatchEntries | Output::Answer(_) => panic!("nothing to perform"),
        }
    }

    fn write(&mut self, condition: RowVersion, row: &BundleRow) -> WriteOutcome {
        if condition.0 != self.version {
            return WriteOutcome::Conflict {
                version: RowVersion(self.version),
                row: Box::new(self.row.clone()),
            };
        }
        self.version += 1;
        self.row = row.clone();
        WriteOutcome::Durable
    }
}

fn begin(action: Action) -> (BundleChange, Vec<Output>) {
    BundleChange::begin(action, ProcessId::from(ENTRY), trusted())
        .expect("the action is acceptable")
}

fn propose(version: u64) -> Action {
    Action::Propose { signed: Box::new(signed(bundle_at(version), &["amman"])) }
}

fn signed_action(version: u64, partner: &str, purpose: Purpose) -> SignedBundleAction {
    let digest = Digest::of(&bundle_at(version)).unwrap();
    let signature = Signature::sign(&signer(partner), purpose, &digest);
    SignedBundleAction { version: BundleVersion(version), digest, signature }
}

fn approve(version: u64, partner: &str) -> Action {
    Action::Approve(signed_action(version, partner, Purpose::Accept))
}

fn roll_out(version: u64, partner: &str) -> Action {
    Action::RollOut(signed_action(version, partner, Purpose::RollOut))
}

fn rolled_out(version: u64) -> World {
    let mut world = World::default();
    world.answer(propose(version)).unwrap();
    world.answer(approve(version, "aqaba")).unwrap();
    world.run(roll_out(version, "amman"));
    world
}

fn entry(process: &str, version: u64) -> EntryRow {
    EntryRow {
        process: ProcessId::from(process),
        incarnation: Incarnation(1),
        data_centre: DataCentreId::from("amman-1"),
        renewal: 1,
        bundle: BundleVersion(version),
        withdrawn: BTreeMap::new(),
    }
}

#[test]
fn a_rollout_waits_for_every_registered_entry() {
    let mut world = rolled_out(1);
    let (mut change, _) = world.run(roll_out(1, "amman"));

    let early =
        change.handle(500, &Input::Entries { entries: vec![entry(ENTRY, 1), entry("b", 0)] });
    let late =
        change.handle(900, &Input::Entries { entries: vec![entry(ENTRY, 1), entry("b", 1)] });

    assert_eq!(early, []);
    assert!(matches!(&late[..], [Output::Answer(Ok(done))] if done.confirmed_by.len() == 2));
}

#[test]
fn entry_list_without_the_requesting_entry_does_not_confirm_a_rollout() {
    let mut world = rolled_out(1);
    let (mut change, _) = world.run(roll_out(1, "amman"));
    assert_eq!(change.handle(500, &Input::Entries { entries: Vec::new() }), []);
}

#[test]
fn rollout_not_confirmed_by_an_entry_ends_as_unknown_and_names_the_entry() {
    let mut world = rolled_out(1);
    let (mut change, _) = world.run(roll_out(1, "amman"));
    change.handle(500, &Input::Entries { entries: vec![entry(ENTRY, 1), entry("far", 0)] });

    let outputs = change.handle(CONFIRM_TIMEOUT_MS, &Input::Tick);

    let [Output::Answer(Err(BundleChangeError::Unknown { version, reason }))] = &outputs[..] else {
        panic!("expected unknown, got {outputs:?}");
    };
    assert_eq!(*version, BundleVersion(1));
    assert!(reason.contains("far"), "{reason}");
}

#[test]
fn proposal_that_loses_a_race_gets_a_conflict_with_the_winning_version() {
    let mut world = World::default();
    let (mut slow, _) = begin(propose(3));
    let read = world.perform(&Output::ReadRow);
    let store = slow.handle(0, &read);
    world.answer(propose(4)).unwrap();

    let stored = world.perform(&store[0]);
    let write = slow.handle(0, &stored);
    let written = world.perform(&write[0]);
    let outputs = slow.handle(0, &written);

    assert!(
        matches!(&outputs[..], [Output::Answer(Err(BundleChangeError::Conflict { winner, .. }))] if winner.0 == 4),
        "{outputs:?}"
    );
    assert_eq!(world.row.proposed.map(|proposal| proposal.version), Some(BundleVersion(4)));
}

#[test]
fn two_partners_that_approve_at_once_both_succeed() {
    let mut world = World::default();
    world.answer(propose(1)).unwrap();
    let (mut slow, _) = begin(approve(1, "aqaba"));
    let read = world.perform(&Output::ReadRow);
    let write = slow.handle(0, &read);
    // The row's version changes in between without a conflicting change, as after the approval of a third partner.
    world.version += 1;

    let conflict = world.perform(&write[0]);
    let again = slow.handle(0, &conflict);
    let written = world.perform(&again[0]);
    let outputs = slow.handle(0, &written);

    assert!(matches!(&outputs[..], [Output::Answer(Ok(_))]), "{outputs:?}");
}

#[test]
fn rollout_by_a_second_partner_gets_a_conflict() {
    let mut world = rolled_out(2);
    let answer = world.answer(roll_out(2, "aqaba"));
    assert!(
        matches!(answer, Err(BundleChangeError::Conflict { winner: BundleVersion(2), .. })),
        "{answer:?}"
    );
}

#[test]
fn proposal_not_above_the_version_in_force_gets_a_conflict() {
    let mut world = rolled_out(5);
    for version in [4, 5] {
        let answer = world.answer(propose(version));
        assert!(matches!(
            answer,
            Err(BundleChangeError::Conflict { winner: BundleVersion(5), .. })
        ));
    }
}

#[test]
fn a_bundle_with_one_signature_is_not_rolled_out() {
    let mut world = World::default();
    world.answer(propose(1)).unwrap();
    let answer = world.answer(roll_out(1, "amman"));
    assert!(matches!(answer, Err(BundleChangeError::Invalid { .. })), "{answer:?}");
    assert_eq!(world.row.current, None);
}

#[test]
fn a_bundle_whose_body_is_lost_or_altered_is_not_rolled_out() {
    let mut world = World::default();
    world.answer(propose(1)).unwrap();
    world.answer(approve(1, "aqaba")).unwrap();
    for body in world.bodies.values_mut() {
        body.policy.queue_limit_urgent += 1;
    }
    let altered = world.answer(roll_out(1, "amman"));
    world.bodies.clear();
    let lost = world.answer(roll_out(1, "amman"));
    assert!(matches!(altered, Err(BundleChangeError::Invalid { .. })), "{altered:?}");
    assert!(matches!(lost, Err(BundleChangeError::Unavailable { .. })), "{lost:?}");
}

#[test]
fn a_write_with_unknown_result_is_reported_as_unknown() {
    let mut world = World::default();
    world.answer(propose(1)).unwrap();
    let (mut change, _) = begin(approve(1, "aqaba"));
    let read = world.perform(&Output::ReadRow);
    change.handle(0, &read);
    let result = WriteOutcome::Unknown { reason: "timeout".to_owned() };
    let outputs = change.handle(0, &Input::Written { result });
    assert!(
        matches!(&outputs[..], [Output::Answer(Err(BundleChangeError::Unknown { .. }))]),
        "{outputs:?}"
    );
}

#[test]
fn repeated_call_succeeds_without_a_second_write() {
    let mut world = World::default();
    world.answer(propose(1)).unwrap();
    world.answer(propose(1)).unwrap();
    world.answer(approve(1, "aqaba")).unwrap();
    world.answer(approve(1, "aqaba")).unwrap();
    assert_eq!(world.version, 2);
}

#[test]
fn rollout_records_its_action_and_partner_in_the_row() {
    let world = rolled_out(1);
    let last = world.row.last.unwrap();
    assert_eq!((last.action, last.partner), (AuditAction::RolledOut, PartnerId::from("amman")));
}

#[test]
fn acceptance_signature_is_refused_for_a_rollout() {
    let action = Action::RollOut(signed_action(1, "aqaba", Purpose::Accept));
    let refused = BundleChange::begin(action, ProcessId::from(ENTRY), trusted());
    assert!(matches!(refused, Err(BundleChangeError::Invalid { .. })));
}

#[test]
fn an_applied_version_never_reverts() {
    let verified =
        |version| verify(&signed(bundle_at(version), &["amman", "aqaba"]), &trusted()).unwrap();
    let mut other = bundle_at(2);
    other.policy.queue_limit_batch += 1;
    let other = verify(&signed(other, &["amman", "aqaba"]), &trusted()).unwrap();
    let mut active_bundle = ActiveBundle::default();

    let offered = [verified(2), verified(1), verified(2), other]
        .map(|bundle| active_bundle.apply_if_newer(bundle));

    assert_eq!(
        offered,
        [
            OfferResult::Applied,
            OfferResult::Older,
            OfferResult::Same,
            OfferResult::ConflictingDigest
        ]
    );
    assert_eq!(active_bundle.version(), BundleVersion(2));
}
