//! Guards against starts in a data centre that operators were told is out of service.

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

/// Returns a change whose write on condition of version 1 was sent.
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

#[test]
fn out_is_acknowledged_only_after_every_permit_has_run_out() {
    let mut change = writing(DataCentreState::Out);
    change.handle(100, &written(WriteOutcome::Durable { version: version(2) }));
    let early = change.handle(100 + VIEW_MS, &Input::Tick);
    let late = change.handle(100 + extend_for_drift(VIEW_MS), &Input::Tick);
    let end = change
        .handle(2_200, &Input::Row { version: version(2), row: row(DataCentreState::Out, "dana") });
    assert_eq!((early, late), (vec![], vec![Output::ReadRow]));
    assert!(matches!(answer(&end), Some(Ok(done)) if done.version == 2), "{end:?}");
}

#[test]
fn out_is_acknowledged_early_when_every_entry_confirmed() {
    let mut change = writing(DataCentreState::Out);
    change.handle(0, &written(WriteOutcome::Durable { version: version(2) }));
    let one_missing = vec![entry(ENTRY, 2), entry("entry-2", 0)];
    let without_own = vec![entry("entry-2", 2)];
    let all = vec![entry(ENTRY, 2), entry("entry-2", 2)];
    assert_eq!(change.handle(300, &Input::Entries { entries: one_missing }), []);
    assert_eq!(change.handle(400, &Input::Entries { entries: without_own }), []);
    assert_eq!(change.handle(500, &Input::Entries { entries: all }), [Output::ReadRow]);
}

#[test]
fn out_that_was_undone_before_its_end_is_a_conflict() {
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

#[test]
fn of_two_operators_that_contradict_each_other_one_learns_who_won() {
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

#[test]
fn an_operator_who_wants_the_same_as_the_winner_is_not_refused() {
    let mut change = writing(DataCentreState::In);
    let result =
        WriteOutcome::Conflict { version: version(2), row: row(DataCentreState::In, "omar") };
    let end = change.handle(0, &written(result));
    assert!(matches!(answer(&end), Some(Ok(done)) if done.changed_by == "omar"), "{end:?}");
}

#[test]
fn an_unknown_result_is_reported_and_holds_starts() {
    let mut change = writing(DataCentreState::Out);
    let end = change.handle(0, &written(WriteOutcome::Unknown { reason: "timeout".to_owned() }));
    assert_eq!(end[0], Output::Hold { condition: version(1) });
    assert!(matches!(answer(&end), Some(Err(DataCentreChangeError::Unknown { .. }))), "{end:?}");
}

#[test]
fn while_the_table_is_down_nothing_is_changed() {
    let failed = Input::ReadFailed { reason: "503".to_owned() };
    let end = begin(DataCentreState::Out).handle(0, &failed);
    assert!(
        matches!(answer(&end), Some(Err(DataCentreChangeError::Unavailable { .. }))),
        "{end:?}"
    );
}

#[test]
fn a_view_runs_out_while_the_table_is_down() {
    let mut view = DataCentreView::default();
    view.observe(&centre(), version(1), DataCentreState::In, 1_000);
    assert_eq!(view.grant_permit(1_500, &centre()), 1_479);
    assert_eq!(view.grant_permit(2_979, &centre()), 0);
}

#[test]
fn a_stale_read_neither_reverts_nor_prolongs_a_view() {
    let mut view = DataCentreView::default();
    view.observe(&centre(), version(2), DataCentreState::Out, 0);
    assert_eq!(view.observe(&centre(), version(1), DataCentreState::In, 100), ObserveResult::Stale);
    assert_eq!(view.grant_permit(100, &centre()), 0);

    view.observe(&centre(), version(3), DataCentreState::In, 200);
    view.observe(&centre(), version(2), DataCentreState::Out, 1_000);
    assert_eq!(view.grant_permit(1_000, &centre()), 1_179);
}

#[test]
fn a_hold_ends_when_a_higher_version_shows_the_result() {
    let mut view = DataCentreView::default();
    view.observe(&centre(), version(1), DataCentreState::In, 0);
    view.hold(&centre(), version(1));
    view.observe(&centre(), version(1), DataCentreState::In, 100);
    let held = view.grant_permit(100, &centre());
    view.observe(&centre(), version(2), DataCentreState::In, 200);
    assert_eq!((held, view.grant_permit(200, &centre())), (0, 1_979));
}

#[test]
fn a_hold_from_before_the_first_reading_counts() {
    let mut view = DataCentreView::default();
    view.hold(&centre(), version(1));
    view.observe(&centre(), version(1), DataCentreState::In, 100);
    assert_eq!(view.grant_permit(100, &centre()), 0);
}

#[test]
fn an_entry_confirms_a_withdrawal_only_when_what_it_passed_on_has_run_out() {
    let mut view = DataCentreView::default();
    view.observe(&centre(), version(1), DataCentreState::In, 0);
    let passed_ms = view.grant_permit(0, &centre());
    view.observe(&centre(), version(2), DataCentreState::Out, 100);
    assert_eq!(view.withdrawn(passed_ms), BTreeMap::new());
    assert_eq!(view.withdrawn(extend_for_drift(passed_ms)), BTreeMap::from([(centre(), 2)]));
}

#[test]
fn a_permit_is_counted_from_the_question_and_not_from_the_answer() {
    let mut permit = Permit::default();
    let sequence = permit.begin_request(1_000);
    permit.record_answer(sequence, version(1), 1_000);
    assert!(permit.is_valid(1_988));
    assert!(!permit.is_valid(1_989));
}

#[test]
fn a_late_answer_does_not_bring_a_withdrawn_permit_back() {
    let mut permit = Permit::default();
    let (first, second) = (permit.begin_request(0), permit.begin_request(10));
    permit.record_answer(second, version(1), 0);
    permit.record_answer(first, version(1), 2_000);
    assert!(!permit.is_valid(20));
}

#[test]
fn an_answer_about_an_older_state_is_ignored() {
    let mut permit = Permit::default();
    permit.withdraw(version(5));
    let sequence = permit.begin_request(0);
    permit.record_answer(sequence, version(4), 2_000);
    assert!(!permit.is_valid(1));
}

#[test]
fn an_answer_counts_once() {
    let mut permit = Permit::default();
    let sequence = permit.begin_request(0);
    permit.record_answer(sequence, version(1), 100);
    permit.record_answer(sequence, version(1), 2_000);
    assert!(!permit.is_valid(100));
}
