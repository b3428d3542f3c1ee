//! Tests of start permits. They guard against starts in a data centre that was reported to operators as out of service.

mod simulation;

use std::collections::BTreeMap;

use super::*;
use crate::prelude::*;
use crate::registration::EntryRow;
use crate::store::RowVersion;
use crate::wire::DataCentreState;

const ENTRY: &str = "entry-1";

fn centre() -> DataCentreId {
    DataCentreId::from("amman-1")
}

fn version(number: u64) -> RowVersion {
    RowVersion(number)
}

fn row(state: DataCentreState, operator: &str) -> Option<DataCentreRow> {
    Some(DataCentreRow { state, changed_by: operator.to_owned(), entry: ProcessId::from(ENTRY) })
}

fn begin(state: DataCentreState) -> DataCentreStateChange {
    DataCentreStateChange::begin(centre(), state, "dana".to_owned(), ProcessId::from(ENTRY)).0
}

/// Returns a change that has sent its write on condition of version 1.
fn writing(state: DataCentreState) -> DataCentreStateChange {
    let mut change = begin(state);
    let other =
        if state == DataCentreState::In { DataCentreState::Out } else { DataCentreState::In };
    let outputs = change.handle(0, &Input::Row { version: version(1), row: row(other, "omar") });
    assert!(matches!(outputs[..], [Output::WriteRow { condition: RowVersion(1), .. }]));
    change
}

fn written(result: WriteOutcome) -> Input {
    Input::Written { result }
}

fn entry(process: &str, withdrawn: u64) -> EntryRow {
    EntryRow {
        process: ProcessId::from(process),
        incarnation: Incarnation(1),
        data_centre: centre(),
        renewal: 1,
        bundle: BundleVersion(1),
        withdrawn: BTreeMap::from([(centre(), withdrawn)]),
    }
}

fn answer(outputs: &[Output]) -> Option<&DataCentreChangeResult> {
    outputs.iter().find_map(|output| match output {
        Output::Answer(answer) => Some(answer),
        _ => None,
    })
}

/// Guards against an acknowledgement while a permit may still be valid at a holder that did not confirm its withdrawal.
#[test]
fn change_to_out_without_confirmations_is_acknowledged_after_all_permits_expire() {
    let mut change = writing(DataCentreState::Out);
    change.handle(100, &written(WriteOutcome::Durable { version: version(2) }));
    let early = change.handle(100 + PERMIT_VALIDITY_MS, &Input::Tick);
    let late = change.handle(100 + extend_for_drift(PERMIT_VALIDITY_MS), &Input::Tick);
    let end = change
        .handle(2_200, &Input::Row { version: version(2), row: row(DataCentreState::Out, "dana") });
    assert_eq!((early, late), (vec![], vec![Output::ReadRow]));
    assert!(matches!(answer(&end), Some(Ok(done)) if done.version == 2), "{end:?}");
}

/// Guards against an early acknowledgement before every entry, this one included, has confirmed the withdrawal.
#[test]
fn change_to_out_is_acknowledged_early_once_every_entry_has_confirmed() {
    let mut change = writing(DataCentreState::Out);
    change.handle(0, &written(WriteOutcome::Durable { version: version(2) }));
    let one_missing = vec![entry(ENTRY, 2), entry("entry-2", 0)];
    let without_this_entry = vec![entry("entry-2", 2)];
    let all = vec![entry(ENTRY, 2), entry("entry-2", 2)];
    assert_eq!(change.handle(300, &Input::Entries { entries: one_missing }), []);
    assert_eq!(change.handle(400, &Input::Entries { entries: without_this_entry }), []);
    assert_eq!(change.handle(500, &Input::Entries { entries: all }), [Output::ReadRow]);
}

/// Guards against reporting a data centre as out after another operator put it back in service during the change.
#[test]
fn change_to_out_that_is_reverted_before_it_ends_is_a_conflict() {
    let mut change = writing(DataCentreState::Out);
    change.handle(0, &written(WriteOutcome::Durable { version: version(2) }));
    change.handle(3_000, &Input::Tick);
    let end = change
        .handle(3_001, &Input::Row { version: version(3), row: row(DataCentreState::In, "omar") });
    assert!(
        matches!(answer(&end), Some(Err(DataCentreChangeError::Conflict { version: 3, .. }))),
        "{end:?}"
    );
}

/// Guards against a lost conflict: the later of two operators must receive the name of the one whose write succeeded.
#[test]
fn conflicting_write_for_another_state_reports_the_other_operator() {
    let mut change = writing(DataCentreState::Out);
    let result =
        WriteOutcome::Conflict { version: version(2), row: row(DataCentreState::In, "omar") };
    let end = change.handle(0, &written(result));
    let Some(Err(DataCentreChangeError::Conflict { changed_by, version: 2, .. })) = answer(&end)
    else {
        panic!("expected a conflict, got {end:?}");
    };
    assert_eq!(changed_by, "omar");
}

/// Guards against refusing an operator although another operator has just set the same state.
#[test]
fn conflicting_write_for_the_same_state_succeeds() {
    let mut change = writing(DataCentreState::In);
    let result =
        WriteOutcome::Conflict { version: version(2), row: row(DataCentreState::In, "omar") };
    let end = change.handle(0, &written(result));
    assert!(matches!(answer(&end), Some(Ok(done)) if done.changed_by == "omar"), "{end:?}");
}

/// Guards against new permits while a write that takes the data centre out may still take effect.
#[test]
fn write_with_an_unknown_result_is_reported_and_holds_starts() {
    let mut change = writing(DataCentreState::Out);
    let end = change.handle(0, &written(WriteOutcome::Unknown { reason: "timeout".to_owned() }));
    assert_eq!(end[0], Output::Hold { condition: version(1) });
    assert!(matches!(answer(&end), Some(Err(DataCentreChangeError::Unknown { .. }))), "{end:?}");
}

/// Guards against a write after a failed read, whose condition would be a guess.
#[test]
fn change_with_a_failed_read_ends_as_unavailable() {
    let failed = Input::ReadFailed { reason: "503".to_owned() };
    let end = begin(DataCentreState::Out).handle(0, &failed);
    assert!(
        matches!(answer(&end), Some(Err(DataCentreChangeError::Unavailable { .. }))),
        "{end:?}"
    );
}

/// Guards against permits that are granted from an old read while the table is unavailable.
#[test]
fn view_without_new_reads_stops_granting_permits() {
    let mut view = DataCentreView::default();
    view.observe(&centre(), version(1), DataCentreState::In, 1_000);
    assert_eq!(view.grant_permit(1_500, &centre()), 1_479);
    assert_eq!(view.grant_permit(2_979, &centre()), 0);
}

/// Guards against a delayed read of an older version that replaces a newer state or extends its permit.
#[test]
fn stale_read_neither_reverts_nor_extends_a_view() {
    let mut view = DataCentreView::default();
    view.observe(&centre(), version(2), DataCentreState::Out, 0);
    assert_eq!(view.observe(&centre(), version(1), DataCentreState::In, 100), ObserveResult::Stale);
    assert_eq!(view.grant_permit(100, &centre()), 0);

    view.observe(&centre(), version(3), DataCentreState::In, 200);
    view.observe(&centre(), version(2), DataCentreState::Out, 1_000);
    assert_eq!(view.grant_permit(1_000, &centre()), 1_179);
}

/// Guards against a hold that a read of the unchanged version ends, or that outlasts a read of a higher version.
#[test]
fn hold_ends_when_a_higher_version_is_read() {
    let mut view = DataCentreView::default();
    view.observe(&centre(), version(1), DataCentreState::In, 0);
    view.hold(&centre(), version(1));
    view.observe(&centre(), version(1), DataCentreState::In, 100);
    let held = view.grant_permit(100, &centre());
    view.observe(&centre(), version(2), DataCentreState::In, 200);
    assert_eq!((held, view.grant_permit(200, &centre())), (0, 1_979));
}

/// Guards against a hold that is lost because the entry had not read the row before.
#[test]
fn hold_before_the_first_read_blocks_permits() {
    let mut view = DataCentreView::default();
    view.hold(&centre(), version(1));
    view.observe(&centre(), version(1), DataCentreState::In, 100);
    assert_eq!(view.grant_permit(100, &centre()), 0);
}

/// Guards against an entry that confirms a withdrawal while a permit that it granted is still valid at its holder.
#[test]
fn entry_confirms_a_withdrawal_only_after_its_granted_permits_expire() {
    let mut view = DataCentreView::default();
    view.observe(&centre(), version(1), DataCentreState::In, 0);
    let granted_ms = view.grant_permit(0, &centre());
    view.observe(&centre(), version(2), DataCentreState::Out, 100);
    assert_eq!(view.withdrawn(granted_ms), BTreeMap::new());
    assert_eq!(view.withdrawn(extend_for_drift(granted_ms)), BTreeMap::from([(centre(), 2)]));
}

/// Guards against a permit that is extended by the delay of its answer.
#[test]
fn permit_expires_relative_to_its_request() {
    let mut permit = Permit::default();
    let sequence = permit.begin_request(1_000);
    permit.record_answer(sequence, version(1), 1_000);
    assert!(permit.is_valid(1_988));
    assert!(!permit.is_valid(1_989));
}

/// Guards against a permit that is restored by an answer which the withdrawal overtook.
#[test]
fn late_answer_does_not_restore_a_withdrawn_permit() {
    let mut permit = Permit::default();
    let (first, second) = (permit.begin_request(0), permit.begin_request(10));
    permit.record_answer(second, version(1), 0);
    permit.record_answer(first, version(1), 2_000);
    assert!(!permit.is_valid(20));
}

/// Guards against a permit from an entry that has not read the newest state yet.
#[test]
fn answer_with_an_older_version_is_ignored() {
    let mut permit = Permit::default();
    permit.withdraw(version(5));
    let sequence = permit.begin_request(0);
    permit.record_answer(sequence, version(4), 2_000);
    assert!(!permit.is_valid(1));
}

/// Guards against a repeated answer that extends the permit.
#[test]
fn duplicate_answer_is_ignored() {
    let mut permit = Permit::default();
    let sequence = permit.begin_request(0);
    permit.record_answer(sequence, version(1), 100);
    permit.record_answer(sequence, version(1), 2_000);
    assert!(!permit.is_valid(100));
}
