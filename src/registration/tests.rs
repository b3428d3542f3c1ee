//! Guards against rollouts that ignore an entry that still serves requests, and against rollouts that wait forever for
//! an entry that no longer exists.

use super::*;

fn row(process: &str, renewal: u64) -> EntryRow {
    EntryRow {
        process: ProcessId::from(process),
        incarnation: Incarnation(1),
        data_centre: DataCentreId::from("amman-1"),
        renewal,
        bundle: BundleVersion(1),
        withdrawn: BTreeMap::new(),
    }
}

#[test]
fn entry_behind_a_partition_of_an_hour_stays_registered() {
    let mut liveness = EntryLiveness::default();
    liveness.live_entries(0, vec![row("a", 1)]);
    let after_an_hour = liveness.live_entries(3_600_000, vec![row("a", 1)]);
    assert_eq!(after_an_hour, [row("a", 1)]);
}

#[test]
fn entry_that_is_not_renewed_until_its_expiry_is_ignored() {
    let mut liveness = EntryLiveness::default();
    liveness.live_entries(0, vec![row("a", 1), row("b", 1)]);
    let later = liveness.live_entries(ENTRY_EXPIRY_MS, vec![row("a", 9), row("b", 1)]);
    assert_eq!(later, [row("a", 9)]);
}
