//! Polls the rows of the bundle, of the data centres and of the entries.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::MissedTickBehavior;

use super::Shared;
use super::actor::{DataCentresRead, EntriesRead, GetActiveBundle, OfferBundle};
use crate::bundle::{
    BUNDLE_ROW_KEY, Bundle, BundleRow, RolledOut, SignedBundle, VerifiedBundle, audit_key,
    body_key, verify,
};
use crate::permit::{DATA_CENTRE_ROW_PREFIX, DataCentreRow, data_centre_of};
use crate::prelude::*;
use crate::registration::{ENTRY_ROW_PREFIX, EntryRow};
use crate::store::{ObjectStore, Row, RowVersion, Table};

/// The interval of the polls. A change must take effect at all entries and agents within 5 s.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of concurrent polls of the data centres. If answers are slow, several polls at once keep the view
/// of the data centres from expiring.
const MAX_CONCURRENT_POLLS: usize = 4;
/// The number of polls of the bundle per read of the entries' rows, which detects rows that are no longer renewed.
const POLLS_PER_ENTRIES_READ: u64 = 120;

/// Polls the row of the bundle until the actor ends.
pub(super) async fn poll_bundle<T, O>(shared: Arc<Shared<T, O>>)
where
    T: Table,
    O: ObjectStore,
{
    let mut poll = BundlePoll::default();
    let mut count: u64 = 0;
    while shared.actor.is_connected() {
        if let Err(reason) = poll.run(&shared).await {
            shared.metrics.count("configuration", "bundle_poll_failed");
            log::warn!(
                "poll of the bundle failed; retrying in at most {} ms: {reason}",
                POLL_INTERVAL.as_millis()
            );
        }
        if count.is_multiple_of(POLLS_PER_ENTRIES_READ) && read_entries(&shared).await.is_err() {
            shared.metrics.count("configuration", "entries_read_failed");
        }
        count += 1;
        // Waits for the interval, or until this entry has written the row.
        let _ = tokio::time::timeout(POLL_INTERVAL, shared.changed.notified()).await;
    }
}

/// Polls the rows of the data centres until the actor ends.
pub(super) async fn poll_data_centres<T, O>(shared: Arc<Shared<T, O>>)
where
    T: Table,
    O: ObjectStore,
{
    let polls = Arc::new(Semaphore::new(MAX_CONCURRENT_POLLS));
    let mut running = tokio::task::JoinSet::new();
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while shared.actor.is_connected() {
        interval.tick().await;
        while running.try_join_next().is_some() {}
        let Ok(permit) = polls.clone().try_acquire_owned() else { continue };
        let shared = shared.clone();
        running.spawn(async move {
            if let Err(error) = read_data_centres(&shared).await {
                shared.metrics.count("configuration", "service_poll_failed");
                log::warn!(
                    "poll of the data centres failed; the next is due within {} ms: {error}",
                    POLL_INTERVAL.as_millis()
                );
            }
            drop(permit);
        });
    }
}

/// Reads the states of all data centres once.
pub(super) async fn read_data_centres<T, O>(shared: &Shared<T, O>) -> crate::store::Result<()>
where
    T: Table,
    O: ObjectStore,
{
    let sent_at_ms = shared.clock.now_ms();
    let rows = shared.writer.table().scan(DATA_CENTRE_ROW_PREFIX).await?;
    let mut states = Vec::with_capacity(rows.len());
    for row in rows {
        let parsed = serde_json::from_value::<DataCentreRow>(row.value);
        match (data_centre_of(&row.key), parsed) {
            (Some(id), Ok(content)) => states.push((id, row.version, content.state)),
            // Without a read state the view of the data centre expires, and no start is permitted there.
            (Some(id), Err(error)) => {
                log::error!(data_centre = id.as_str(); "row of a data centre is malformed; it is ignored: {error}")
            }
            (None, _) => {}
        }
    }
    let _ = shared.actor.send(DataCentresRead { sent_at_ms, states }).await;
    Ok(())
}

/// Reads the rows of the registered entries once.
pub(super) async fn read_entries<T, O>(shared: &Shared<T, O>) -> crate::store::Result<Vec<EntryRow>>
where
    T: Table,
    O: ObjectStore,
{
    let rows = shared.writer.table().scan(ENTRY_ROW_PREFIX).await?;
    let parse = |row: Row| serde_json::from_value(row.value).ok();
    let entries: Vec<EntryRow> = rows.into_iter().filter_map(parse).collect();
    Ok(shared.actor.send(EntriesRead(entries)).await.unwrap_or_default())
}

/// Reads the row of the bundle once. An absent row reads as the default.
pub(super) async fn read_bundle_row<T, O>(
    shared: &Shared<T, O>,
) -> Result<(RowVersion, BundleRow), String>
where
    T: Table,
    O: ObjectStore,
{
    let row = shared.writer.table().read(BUNDLE_ROW_KEY).await.map_err(|e| e.to_string())?;
    let Some(row) = row else { return Ok((RowVersion::ABSENT, BundleRow::default())) };
    let content = serde_json::from_value(row.value)
        .map_err(|error| format!("row {BUNDLE_ROW_KEY:?} is malformed: {error}"))?;
    Ok((row.version, content))
}

/// Reads the body of a bundle from the object store, or returns `None` if it does not exist.
pub(super) async fn read_body<O>(objects: &O, key: &str) -> Result<Option<Bundle>, String>
where
    O: ObjectStore,
{
    let Some(content) = objects.get(key).await.map_err(|e| e.to_string())? else {
        return Ok(None);
    };
    serde_json::from_slice(&content)
        .map(Some)
        .map_err(|error| format!("object {key:?} is malformed: {error}"))
}

/// Progress of the poll of the bundle.
#[derive(Default)]
struct BundlePoll {
    /// Highest row version whose audit record this entry has stored, or which another entry wrote and has to record.
    audited: RowVersion,
}

impl BundlePoll {
    async fn run<T, O>(&mut self, shared: &Shared<T, O>) -> Result<(), String>
    where
        T: Table,
        O: ObjectStore,
    {
        let (version, row) = read_bundle_row(shared).await?;
        self.store_audit_record(shared, version, &row).await?;
        let active = shared.actor.send(GetActiveBundle).await.unwrap_or_default();
        let active_version = active.map_or(BundleVersion(0), |bundle| bundle.version());
        let Some(current) = row.current.as_ref().filter(|current| current.version > active_version)
        else {
            return Ok(());
        };
        let verified = fetch_verified(shared, current).await?;
        let _ = shared.actor.send(OfferBundle(verified)).await;
        Ok(())
    }

    /// Stores the audit record of the row's last write, if this entry made it. Each poll retries until it is stored.
    async fn store_audit_record<T, O>(
        &mut self,
        shared: &Shared<T, O>,
        version: RowVersion,
        row: &BundleRow,
    ) -> Result<(), String>
    where
        T: Table,
        O: ObjectStore,
    {
        if version <= self.audited {
            return Ok(());
        }
        if let Some(last) = row.last.as_ref().filter(|r| r.entry == shared.identity.process) {
            let content = serde_json::to_vec(last).map_err(|error| error.to_string())?;
            let key = audit_key(last.version, version);
            shared.objects.put(&key, &content).await.map_err(|error| error.to_string())?;
        }
        self.audited = version;
        Ok(())
    }
}

/// Reads the body of the bundle that was rolled out, and verifies its signatures, digest and version.
async fn fetch_verified<T, O>(
    shared: &Shared<T, O>,
    current: &RolledOut,
) -> Result<VerifiedBundle, String>
where
    T: Table,
    O: ObjectStore,
{
    let key = body_key(current.version, &current.digest);
    let bundle = read_body(&shared.objects, &key).await?;
    let bundle = bundle.ok_or_else(|| format!("object {key:?} does not exist"))?;
    let signed = SignedBundle { bundle, signatures: current.signatures.clone() };
    let verified = verify(&signed, &shared.identity.trusted).map_err(|e| e.to_string())?;
    if verified.digest() != current.digest || verified.version() != current.version {
        return Err(format!("object {key:?} has another digest or version"));
    }
    Ok(verified)
}
