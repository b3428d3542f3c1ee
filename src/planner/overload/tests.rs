//! Tests of the decisions about waiting work.

use test_case::test_case;

use super::*;
use crate::prelude::*;

fn times(waited_ms: u64) -> JobTimes {
    JobTimes { waited_ms, remaining_ms: 2_500, objective_ms: 4_000, late_limit_ms: 12_000 }
}

/// Guards against work that can still be in time but waits behind work that cannot, and against jobs that are put off
/// forever.
#[test_case(0 => Outlook::Timely; "new job")]
#[test_case(500 => Outlook::Timely; "last moment at which a delay does no harm")]
#[test_case(1_500 => Outlook::Tight; "last moment")]
#[test_case(1_600 => Outlook::Late; "misses its objective")]
#[test_case(9_500 => Outlook::Late; "last moment at which its result is of use")]
#[test_case(9_600 => Outlook::Overdue; "result of no use")]
#[test_case(60_000 => Outlook::Timely; "age bound")]
fn outlook_follows_from_wait_and_remaining_work(waited_ms: u64) -> Outlook {
    times(waited_ms).outlook()
}

/// Guards against an organisation that loses its whole guarantee by asking for more, and against jobs that lose their
/// guarantee to an older one that is still waiting.
#[test]
fn guarantee_covers_placed_jobs_and_then_the_oldest() {
    let (organisation, other) = (OrganisationId::from("org-a"), OrganisationId::from("org-b"));
    let ids = ["a", "b", "c", "d"].map(JobId::from);
    let job = |index: usize, organisation, accelerators, is_placed| UrgentJob {
        id: &ids[index],
        organisation,
        accelerators,
        is_placed,
        order: index as u64,
    };
    let jobs = [
        job(0, &organisation, 8, false),
        job(1, &organisation, 8, true),
        job(2, &organisation, 4, false),
        job(3, &other, 8, false),
    ];
    let guarantee = |asked: &OrganisationId| if *asked == organisation { 12 } else { 0 };

    let covered = within_guarantee(&jobs, guarantee);

    assert_eq!(covered.into_iter().collect::<Vec<_>>(), [&ids[1], &ids[2]]);
}

/// Guards against work that is stopped for an urgent job that is late anyway, and against a guarantee that cannot be
/// reclaimed.
#[test_case(true, true, Outlook::Overdue => EvictionRight::Reclaim; "organisation within its guarantee")]
#[test_case(false, true, Outlook::Late => EvictionRight::Borrow; "covered job of a larger organisation")]
#[test_case(false, false, Outlook::Timely => EvictionRight::Borrow; "job that can be in time")]
#[test_case(false, false, Outlook::Late => EvictionRight::Wait; "late job")]
#[test_case(false, false, Outlook::Overdue => EvictionRight::Wait; "overdue job")]
fn eviction_right_follows_from_guarantee_and_outlook(
    organisation_is_within: bool,
    job_is_covered: bool,
    outlook: Outlook,
) -> EvictionRight {
    EvictionRight::of(organisation_is_within, job_is_covered, outlook)
}

/// Guards against a task that is stopped again and again for one urgent job after the other.
#[test]
fn stops_are_limited_and_each_makes_the_pause_longer() {
    assert_eq!(restart_pause_ms(0), 0);
    assert!(restart_pause_ms(2) > restart_pause_ms(1));
    assert_eq!(restart_pause_ms(100), restart_pause_ms(4));
    assert!(EvictionRight::Borrow.may_stop_again(2));
    assert!(!EvictionRight::Borrow.may_stop_again(3));
    assert!(EvictionRight::Reclaim.may_stop_again(100));
}

const COST: CostSettings =
    CostSettings { stop_ms: 200, checkpoint_interval_ms: 2_000, restore_ms: 250 };

fn value(priority: u8, waited_ms: u64) -> OccurrenceValue {
    OccurrenceValue { priority, times: Some(times(waited_ms)) }
}

/// Returns the terms of a gang of six tasks of 11 s with ample time until its objective.
fn gang_terms(worked_ms: u64) -> StopTerms {
    let times = JobTimes {
        waited_ms: worked_ms,
        remaining_ms: 11_000 - worked_ms,
        objective_ms: 34_000,
        late_limit_ms: 102_000,
    };
    StopTerms {
        value: OccurrenceValue { priority: 1, times: Some(times) },
        attempts: 6,
        worked_ms,
        left_ms: Some(11_000 - worked_ms),
        step_left_ms: 11_000 - worked_ms,
        occurrence_work_ms: 66_000,
        is_checkpointable: false,
        is_gang: true,
        evictions: 0,
    }
}

fn verdict(waited_ms: u64, terms: StopTerms) -> StopVerdict {
    let loss_in = |in_ms: u64| terms.loss(&COST, 2_500, in_ms).total();
    StopBalance::of(&COST, &value(0, waited_ms), &[terms], loss_in).verdict
}

/// Guards against a value that rises with the delay, and against work that counts as worthless while it is of use.
#[test]
fn value_falls_with_the_end_of_the_job() {
    let values: Vec<u64> = (0..20).map(|s| value(0, 0).expected(s * 1_000)).collect();

    assert!(values.is_sorted_by(|a, b| a >= b), "{values:?}");
    assert_eq!(values[0], 4_000_000);
    assert_eq!(values[5], 800_000);
    assert_eq!(values[19], 0);
}

/// Guards against work that is put off forever because it has nothing left to lose.
#[test]
fn aged_work_loses_its_whole_value_with_any_delay() {
    assert_eq!(value(2, 20_000).delay_loss(1), 0);
    assert_eq!(value(2, 60_000).delay_loss(1), 1_000_000);
}

/// Guards against a gang that is stopped when it has nearly ended, and against an urgent job that waits although little
/// work is lost.
#[test_case(1_000 => StopVerdict::Stop; "just begun")]
#[test_case(8_500 => StopVerdict::Withhold; "work is worth more than the timely start")]
#[test_case(10_600 => StopVerdict::Await { in_ms: 400 }; "about to end")]
fn gang_is_stopped_while_it_has_little_to_lose(worked_ms: u64) -> StopVerdict {
    verdict(0, gang_terms(worked_ms))
}

/// Guards against a stop just before a checkpoint, and against a wait that makes the urgent job late.
#[test_case(0, 1_600 => StopVerdict::Await { in_ms: 400 }; "checkpoint is near")]
#[test_case(0, 1_000 => StopVerdict::Stop; "checkpoint is far")]
#[test_case(0, 2_100 => StopVerdict::Stop; "checkpoint is just written")]
#[test_case(700, 1_500 => StopVerdict::Stop; "urgent job cannot wait")]
fn stop_waits_for_a_checkpoint(waited_ms: u64, worked_ms: u64) -> StopVerdict {
    verdict(waited_ms, StopTerms { is_checkpointable: true, ..gang_terms(worked_ms) })
}

/// Guards against a task that is stopped again and again because its loss stays the same, and against a stop of the higher
/// priority at equal loss.
#[test]
fn loss_grows_with_earlier_stops_and_with_priority() {
    let first = gang_terms(3_000);
    let second = StopTerms { evictions: 1, ..first };
    let of_priority = |priority| {
        let value = OccurrenceValue { priority, times: None };
        StopTerms { value, left_ms: None, worked_ms: 0, attempts: 0, ..first }.loss(&COST, 0, 0)
    };

    assert!(second.loss(&COST, 0, 0).work >= 2 * first.loss(&COST, 0, 0).work - 300);
    assert!(of_priority(2).total() < of_priority(1).total());
}
