//! Watches tables of the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::event::{Event, EventSender};
use super::job_rows::list_jobs;
use super::relay::RelayingStore;
use super::{JOB_TABLE, LEAD_TABLE, LEADER_KEY, MEMBER_PREFIX};
use crate::election::Leadership;
use crate::prelude::*;
use crate::rules::{Directives, Rules};
use crate::store::{
    Changes, Listing, RowChange, RowError, RowKey, RowResult, RowStore, Transaction,
};
use crate::workflow;

/// How long a call waits for changes of the directives. A connection may go silent without an end, and a change has to be
/// in force within 2 s of the end of such a disruption, which counts for 3 s.
const DIRECTIVES_WAIT: Duration = Duration::from_millis(2_000);
/// How long a call waits for new jobs; urgent ones start within 2.7 s.
const JOBS_WAIT: Duration = Duration::from_millis(1_200);
/// How long a call waits for a change of the leadership. Each answer also proves that the store can be reached.
const LEADERSHIP_WAIT: Duration = Duration::from_millis(1_000);
/// How much later than its wait a call counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// The pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// A decision of operators, as a row of the store states it.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectiveChange {
    /// New rules.
    Rules(Arc<Rules>),
    /// Nothing more is started in a data centre.
    OutOfService(DataCentreId),
}

/// Where operators write, and how their rows are read.
#[derive(Clone, Copy, Debug)]
pub struct DirectiveSource {
    /// The table.
    pub table: &'static str,
    /// Decodes a row; `None` for rows that are no directives.
    pub decode: fn(&str, &[u8]) -> Result<Option<DirectiveChange>, String>,
    /// Names the data centre that the key of a row takes out of service.
    pub data_centre_of: fn(&str) -> Option<DataCentreId>,
}

/// Watches the directives until the process ends.
pub async fn watch_directives<S>(
    store: RelayingStore<S>,
    source: DirectiveSource,
    events: EventSender,
) where
    S: RowStore,
{
    let mut known = Directives::default();
    loop {
        let listing = store.direct().list(source.table, 0).await;
        store.note(&listing);
        let mut version = match listing {
            Ok(listing) => {
                apply_listing(&mut known, &source, &listing);
                if publish(&events, &known).await.is_err() {
                    return;
                }
                listing.version
            }
            Err(error) => {
                log::warn!("the directives could not be read: {error}");
                tokio::time::sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        loop {
            let answer = watch(&store, source.table, version, DIRECTIVES_WAIT).await;
            store.note(&answer);
            match answer {
                Ok(changes) => {
                    version = changes.version;
                    let mut is_changed = false;
                    for change in &changes.changes {
                        is_changed |= apply_change(&mut known, &source, change);
                    }
                    if is_changed && publish(&events, &known).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    log::warn!("the feed of directives broke: {error}");
                    tokio::time::sleep(FAILURE_PAUSE).await;
                    break;
                }
            }
        }
    }
}

/// Waits for changes, for a limited time even if the connection is silent.
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
    answer.unwrap_or_else(|_| {
        Err(RowError::Unavailable { reason: format!("the feed of {table:?} was silent") })
    })
}

async fn publish(events: &EventSender, known: &Directives) -> Result<(), ()> {
    events.send(Event::Directives(known.clone())).await.map_err(|_| ())
}

/// Replaces what is known by a listing. A listing may be older than what is known only if the store went back in time.
fn apply_listing(known: &mut Directives, source: &DirectiveSource, listing: &Listing) {
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
            apply_change(known, source, &change);
        }
    }
    known.out_of_service = out_of_service;
    known.as_of = known.as_of.max(listing.version);
}

fn apply_change(known: &mut Directives, source: &DirectiveSource, change: &RowChange) -> bool {
    known.as_of = known.as_of.max(change.version);
    if let Some(data_centre) = (source.data_centre_of)(&change.key.key) {
        return match change.content {
            Some(_) => known.out_of_service.insert(data_centre),
            None => known.out_of_service.remove(&data_centre),
        };
    }
    let Some(content) = &change.content else {
        return false;
    };
    match (source.decode)(&change.key.key, content) {
        Ok(Some(DirectiveChange::Rules(rules))) => {
            let is_newer =
                known.rules.as_ref().is_none_or(|current| current.version < rules.version);
            if is_newer {
                known.rules = Some(rules);
            }
            is_newer
        }
        Ok(Some(DirectiveChange::OutOfService(data_centre))) => {
            known.out_of_service.insert(data_centre)
        }
        Ok(None) => false,
        Err(reason) => {
            log::error!(key = change.key.key.as_str(), version = change.version; "row is ignored: {reason}");
            false
        }
    }
}

/// Watches the leadership until the process ends.
pub async fn watch_leadership<S>(store: RelayingStore<S>, events: EventSender)
where
    S: RowStore,
{
    let key = RowKey::new(LEAD_TABLE, LEADER_KEY);
    let mut after = None;
    loop {
        // After a failure a short read tells sooner than a watch whether the store is back.
        let answer = match after {
            None => store.direct().list(LEAD_TABLE, 0).await.map(|listing| {
                let row = listing.rows.into_iter().find(|row| row.key == key);
                (row.map(|row| row.content), listing.version)
            }),
            Some(version) => {
                let changes = watch(&store, LEAD_TABLE, version, LEADERSHIP_WAIT).await;
                changes.map(|changes| {
                    let change = changes.changes.into_iter().rfind(|change| change.key == key);
                    (change.and_then(|change| change.content), changes.version)
                })
            }
        };
        store.note(&answer);
        match answer {
            Ok((content, version)) => {
                after = Some(version);
                let leadership = content.and_then(|content| decode_leadership(&content));
                if let Some(leadership) = leadership
                    && events.send(Event::Leadership(leadership)).await.is_err()
                {
                    return;
                }
            }
            Err(error) => {
                log::debug!("the leadership could not be read: {error}");
                after = None;
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
        if events.is_closed() {
            return;
        }
    }
}

pub(super) fn decode_leadership(content: &[u8]) -> Option<Leadership> {
    match workflow::decode(content) {
        Ok(leadership) => Some(leadership),
        Err(error) => {
            log::error!("the leadership row cannot be read: {error}");
            None
        }
    }
}

/// Watches the stored jobs for the leader of an epoch, from a version on.
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
        store.note(&answer);
        let changes = match answer {
            Ok(changes) => {
                version = changes.version;
                changes.changes
            }
            Err(RowError::HistoryGone) => match list_jobs(store.direct()).await {
                Ok(listing) => {
                    version = listing.version;
                    listing.rows.into_iter().map(row_as_change).collect()
                }
                Err(error) => {
                    log::warn!("the stored jobs could not be read: {error}");
                    tokio::time::sleep(FAILURE_PAUSE).await;
                    continue;
                }
            },
            Err(error) => {
                log::warn!("the feed of jobs broke: {error}");
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

/// Writes the address of this coordinator and reports those of the others.
pub async fn register<S>(store: S, process: ProcessId, address: SocketAddr, events: EventSender)
where
    S: RowStore,
{
    let key = RowKey::new(LEAD_TABLE, &format!("{MEMBER_PREFIX}{process}"));
    let transaction =
        Transaction { puts: vec![(key, workflow::encode(&address))], ..Transaction::default() };
    loop {
        let listing = match store.transact(&transaction).await {
            Ok(_) => store.list(LEAD_TABLE, 0).await,
            Err(error) => Err(error),
        };
        match listing {
            Ok(listing) => {
                for row in listing.rows.iter().filter(|row| row.key.key.starts_with(MEMBER_PREFIX))
                {
                    match workflow::decode::<SocketAddr>(&row.content) {
                        Ok(address) => {
                            let _ = events.send(Event::PeerAddress(address)).await;
                        }
                        Err(error) => log::error!(
                            key = row.key.key.as_str(); "address cannot be read: {error}"
                        ),
                    }
                }
                return;
            }
            Err(error) => {
                log::warn!("this coordinator could not be registered: {error}");
                tokio::time::sleep(FAILURE_PAUSE * 4).await;
            }
        }
    }
}
