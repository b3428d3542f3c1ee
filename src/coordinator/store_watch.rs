//! Watches the tables of directives, leadership and jobs in the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::event::{Event, EventSender};
use super::job_rows::list_jobs;
use super::register::{decode_leadership, member_address};
use super::relay::RelayingStore;
use super::{JOB_TABLE, LEAD_TABLE, LEADER_KEY};
use crate::prelude::*;
use crate::process::BoottimeClock;
use crate::rules::{Directives, Rules};
use crate::store::{Changes, Listing, RowChange, RowError, RowKey, RowResult, RowStore};

/// The time for which one watch call waits for changes of the directives. A connection may stop delivering data without
/// being closed. A change has to be applied within 2 s after the end of such a disruption, which counts as 3 s long.
const DIRECTIVES_WAIT: Duration = Duration::from_millis(2_000);
/// The time for which one watch call waits for new jobs. Urgent jobs have to start within 2.7 s.
const JOBS_WAIT: Duration = Duration::from_millis(1_200);
/// The time for which one watch call waits for a change of the leadership. Each answer also shows that the store can be
/// reached.
const LEADERSHIP_WAIT: Duration = Duration::from_millis(1_000);
/// The time after the end of its wait at which a watch call without an answer counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// The pause before a failed call is retried.
pub(super) const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// A decision of operators, as decoded from a row of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectiveChange {
    /// Replaces the rules.
    Rules(Arc<Rules>),
    /// Takes a data centre out of service: no more tasks are started in it.
    OutOfService(DataCentreId),
}

/// The table of the operators' directives and the functions that decode its rows.
#[derive(Clone, Copy, Debug)]
pub struct DirectiveSource {
    /// The table of the directives.
    pub table: &'static str,
    /// Decodes the key and content of a row; returns `None` for a row that is not a directive.
    pub decode: fn(&str, &[u8]) -> Result<Option<DirectiveChange>, String>,
    /// Returns the data centre that the row with this key takes out of service, or `None` for any other row.
    pub data_centre_of: fn(&str) -> Option<DataCentreId>,
}

/// Watches the directives and sends each change to the actor until the process ends.
pub async fn watch_directives<S>(
    store: RelayingStore<S>,
    source: DirectiveSource,
    clock: BoottimeClock,
    events: EventSender,
) where
    S: RowStore,
{
    let mut directives = Directives::default();
    loop {
        let listing = store.direct().list(source.table, 0).await;
        store.record_answer(&listing);
        let mut version = match listing {
            Ok(listing) => {
                apply_listing(&mut directives, &source, &listing);
                if send_directives(&events, &directives).await.is_err() {
                    return;
                }
                listing.version
            }
            Err(error) => {
                log::warn!("directives could not be read; retried after a pause: {error}");
                tokio::time::sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        loop {
            let requested_ms = clock.now_ms();
            let answer = watch(&store, source.table, version, DIRECTIVES_WAIT).await;
            store.record_answer(&answer);
            match answer {
                Ok(changes) => {
                    version = changes.version;
                    let mut is_changed = false;
                    for change in &changes.changes {
                        is_changed |= apply_change(&mut directives, &source, change);
                    }
                    if is_changed && send_directives(&events, &directives).await.is_err() {
                        return;
                    }
                    // The receiver only ends with the process.
                    let _ = events.send(Event::DirectivesConfirmed { requested_ms }).await;
                }
                Err(error) => {
                    log::warn!(
                        "watch of the directives failed; they are read again after a pause: {error}"
                    );
                    tokio::time::sleep(FAILURE_PAUSE).await;
                    break;
                }
            }
        }
    }
}

/// Waits for changes of a table, and fails if there is no answer within [`WATCH_SLACK`] after the end of the wait.
async fn watch<S>(
    store: &RelayingStore<S>,
    table: &str,
    after: u64,
    wait: Duration,
) -> RowResult<Changes>
where
    S: RowStore,
{
    let call = store.direct().watch(table, after, wait);
    let answer = tokio::time::timeout(wait + WATCH_SLACK, call).await;
    let answer = answer.unwrap_or_else(|_| {
        Err(RowError::Unavailable {
            reason: format!("no answer in time to a watch of table {table:?}"),
        })
    });
    if let Ok(changes) = &answer {
        store.record_version(changes.version);
    }
    answer
}

async fn send_directives(events: &EventSender, directives: &Directives) -> Result<(), ()> {
    events.send(Event::Directives(directives.clone())).await.map_err(|_| ())
}

/// Applies a full listing: replaces the data centres out of service, and the rules if they are newer. A listing is
/// older than `directives` only if the store lost changes.
fn apply_listing(directives: &mut Directives, source: &DirectiveSource, listing: &Listing) {
    let mut out_of_service = BTreeSet::new();
    for row in &listing.rows {
        if let Some(data_centre) = (source.data_centre_of)(&row.key.key) {
            out_of_service.insert(data_centre);
        } else {
            let change = RowChange {
                key: row.key.clone(),
                content: Some(row.content.clone()),
                version: row.version,
            };
            apply_change(directives, source, &change);
        }
    }
    directives.out_of_service = out_of_service;
    directives.as_of = directives.as_of.max(listing.version);
}

fn apply_change(directives: &mut Directives, source: &DirectiveSource, change: &RowChange) -> bool {
    directives.as_of = directives.as_of.max(change.version);
    if let Some(data_centre) = (source.data_centre_of)(&change.key.key) {
        return match change.content {
            Some(_) => directives.out_of_service.insert(data_centre),
            None => directives.out_of_service.remove(&data_centre),
        };
    }
    let Some(content) = &change.content else {
        return false;
    };
    match (source.decode)(&change.key.key, content) {
        Ok(Some(DirectiveChange::Rules(rules))) => {
            let is_newer =
                directives.rules.as_ref().is_none_or(|current| current.version < rules.version);
            if is_newer {
                directives.rules = Some(rules);
            }
            is_newer
        }
        Ok(Some(DirectiveChange::OutOfService(data_centre))) => {
            directives.out_of_service.insert(data_centre)
        }
        Ok(None) => false,
        Err(reason) => {
            log::error!(
                key = change.key.key.as_str(), version = change.version;
                "row of the directives cannot be decoded and is ignored: {reason}"
            );
            false
        }
    }
}

/// Watches the table of the leadership and of coordinators' addresses, and sends each change to the actor until the
/// process ends.
pub async fn watch_leadership<S>(store: RelayingStore<S>, clock: BoottimeClock, events: EventSender)
where
    S: RowStore,
{
    let key = RowKey::new(LEAD_TABLE, LEADER_KEY);
    let mut after = None;
    loop {
        let requested_ms = clock.now_ms();
        // After a failure the table is listed, because a listing shows sooner than a watch that the store answers again.
        let answer = match after {
            None => store.direct().list(LEAD_TABLE, 0).await.map(|listing| {
                let changes = listing.rows.into_iter().map(row_as_change).collect();
                Changes { changes, version: listing.version }
            }),
            Some(version) => watch(&store, LEAD_TABLE, version, LEADERSHIP_WAIT).await,
        };
        store.record_answer(&answer);
        match answer {
            Ok(changes) => {
                after = Some(changes.version);
                let mut leadership = None;
                for change in changes.changes {
                    let Some(content) = change.content else {
                        continue;
                    };
                    if change.key == key {
                        leadership = decode_leadership(&content);
                    } else if let Some(address) = member_address(&change.key, &content) {
                        let _ = events.send(Event::PeerAddress(address)).await;
                    }
                }
                if let Some(leadership) = leadership {
                    let _ = events.send(Event::Leadership(leadership)).await;
                }
                let _ = events.send(Event::LeadershipConfirmed { requested_ms }).await;
            }
            Err(error) => {
                log::debug!("leadership could not be read; retried after a pause: {error}");
                after = None;
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
        if events.is_closed() {
            return;
        }
    }
}

/// Watches the stored jobs for the leader of an epoch, and sends the changes after `version` to the actor.
pub async fn watch_jobs<S>(
    store: RelayingStore<S>,
    epoch: Epoch,
    mut version: u64,
    events: EventSender,
) where
    S: RowStore,
{
    loop {
        let answer = watch(&store, JOB_TABLE, version, JOBS_WAIT).await;
        store.record_answer(&answer);
        let changes = match answer {
            Ok(changes) => {
                version = changes.version;
                changes.changes
            }
            Err(RowError::HistoryUnavailable) => match list_jobs(&store).await {
                Ok(listing) => {
                    version = listing.version;
                    listing.rows.into_iter().map(row_as_change).collect()
                }
                Err(error) => {
                    log::warn!("stored jobs could not be read; retried after a pause: {error}");
                    tokio::time::sleep(FAILURE_PAUSE).await;
                    continue;
                }
            },
            Err(error) => {
                log::warn!("watch of the stored jobs failed; retried after a pause: {error}");
                tokio::time::sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        if events.send(Event::Jobs { epoch, changes }).await.is_err() {
            return;
        }
    }
}

fn row_as_change(row: crate::store::StoredRow) -> RowChange {
    RowChange { key: row.key, content: Some(row.content), version: row.version }
}
