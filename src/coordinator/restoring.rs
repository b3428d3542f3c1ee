//! Restoration of the leader's state: claims the leadership, then reads the stored jobs.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::event::{Event, EventSender};
use super::job_rows::JobListing;
use super::message::{AcceptorMessage, LeaderMessage};
use super::relay::RelayingStore;
use super::takeover::{Candidate, claim_leadership, read_jobs};
use crate::election::Leadership;
use crate::prelude::*;
use crate::store::RowStore;
use crate::wire::LinkSender;

/// The pause before the stored jobs are read again after a failure.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A takeover in progress. Dropping it aborts the takeover and redirects the hosts that wait for it.
#[derive(Debug)]
pub struct Restoring {
    task: JoinHandle<()>,
    hosts: BTreeMap<u64, (WorkerId, LinkSender<AcceptorMessage>)>,
}

impl Restoring {
    /// Begins to claim the leadership and then to read the stored jobs, and sends [`Event::Claimed`] and
    /// [`Event::TakenOver`]. The claim is made once; reading is repeated until it succeeds.
    pub fn begin<S>(
        store: RelayingStore<S>,
        candidate: Candidate,
        last_leadership: Option<Leadership>,
        events: EventSender,
    ) -> Self
    where
        S: RowStore,
    {
        let task = tokio::spawn(restore(store, candidate, last_leadership, events));
        Self { task, hosts: BTreeMap::new() }
    }

    /// Records the connection of a worker's host, which is welcomed once the restoration is complete.
    pub fn add_host(
        &mut self,
        connection: u64,
        worker: WorkerId,
        sender: LinkSender<AcceptorMessage>,
    ) {
        self.hosts.insert(connection, (worker, sender));
    }

    /// Removes the connection of a host.
    pub fn remove_host(&mut self, connection: u64) {
        self.hosts.remove(&connection);
    }

    /// Returns the connections of the hosts that wait, by number.
    pub fn into_hosts(mut self) -> BTreeMap<u64, (WorkerId, LinkSender<AcceptorMessage>)> {
        std::mem::take(&mut self.hosts)
    }
}

impl Drop for Restoring {
    fn drop(&mut self) {
        self.task.abort();
        for (worker, sender) in self.hosts.values() {
            let redirect = AcceptorMessage::Host(LeaderMessage::Redirect(None));
            if let Err(error) = sender.try_send(redirect) {
                log::debug!(worker = worker.as_str(); "redirect of a host was dropped: {error}");
            }
        }
    }
}

async fn restore<S>(
    store: RelayingStore<S>,
    candidate: Candidate,
    last_leadership: Option<Leadership>,
    events: EventSender,
) where
    S: RowStore,
{
    let claim = claim_leadership(store.direct(), &candidate, last_leadership.as_ref()).await;
    let claim = match claim {
        Ok(claim) => claim,
        Err(error) => {
            let _ = events.send(Event::Claimed(Err(error))).await;
            return;
        }
    };
    let _ = events.send(Event::Claimed(Ok(claim.clone()))).await;
    let mut listing = JobListing::default();
    loop {
        match read_jobs(&store, &claim, &mut listing).await {
            Ok(takeover) => {
                let _ = events.send(Event::TakenOver(Box::new(takeover))).await;
                return;
            }
            Err(error) => {
                log::warn!(
                    epoch = claim.head.leadership.epoch.0;
                    "stored jobs could not be read after the takeover; retried after a pause: {error}"
                );
                tokio::time::sleep(READ_RETRY_PAUSE).await;
            }
        }
    }
}
