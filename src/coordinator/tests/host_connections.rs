//! Tests of the leader with a host whose messages the test sends itself.

use super::message::{AcceptorMessage, DialerMessage, HostMessage, LeaderMessage};
use super::*;
use crate::planner::{AttemptsReport, RunningAttempt, StartOrder, WorkerEvent, WorkerOrder};
use crate::wire::{FrameKey, Link, LinkSettings, connect_with_timeout};

/// The time in which a wrong message would arrive.
const QUIET_TIME: Duration = Duration::from_millis(1_000);

struct FakeHost(Link<DialerMessage, AcceptorMessage>);

impl FakeHost {
    /// Connects to the leader as the host of worker "w" and waits for its welcome.
    async fn connect(leader: SocketAddr) -> Self {
        let links = LinkSettings::new(FrameKey::new([7; 32]));
        let until = Instant::now() + WAIT_LIMIT;
        loop {
            assert!(Instant::now() < until, "the leader welcomes the host within {WAIT_LIMIT:?}");
            if let Some(link) = connect_with_timeout(leader, &links, Duration::from_secs(1)).await {
                let mut host = Self(link);
                host.send(HostMessage::Hello { worker: WorkerId::from("w") }).await;
                if let Some(LeaderMessage::Welcome { .. }) = host.receive(WAIT_LIMIT).await {
                    return host;
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn send(&mut self, message: HostMessage) {
        self.0.sender.send(DialerMessage::Host(message)).await.expect("the connection is open");
    }

    /// Returns the next message, or `None` if there is none in time.
    async fn receive(&mut self, limit: Duration) -> Option<LeaderMessage> {
        let received = tokio::time::timeout(limit, self.0.receiver.receive()).await.ok()?;
        match received.expect("the connection is open")? {
            AcceptorMessage::Host(message) => Some(message),
            AcceptorMessage::Peer(_) => panic!("the message is meant for coordinators"),
        }
    }

    async fn report(&mut self) {
        let report = heartbeat(&InProcessWorker::default(), 1).report;
        self.send(HostMessage::Worker(WorkerEvent::Reported(report))).await;
    }

    async fn list(&mut self, running: &[StartOrder]) {
        let running = running.iter().map(|order| RunningAttempt {
            task: order.task.clone(),
            attempt: order.attempt,
            checkpoint: None,
            percent: 0,
        });
        let report = AttemptsReport {
            incarnation: WorkerIncarnation {
                worker: WorkerId::from("w"),
                born_ms: worker::FIRST_BORN_MS,
            },
            running: running.collect(),
            ended: Vec::new(),
            starting: Vec::new(),
            stopped: Vec::new(),
        };
        self.send(HostMessage::Runs { asked_ms: 1, report }).await;
    }

    /// Returns the start orders that arrive in time.
    async fn starts(&mut self, limit: Duration) -> Vec<StartOrder> {
        let until = Instant::now() + limit;
        let mut starts = Vec::new();
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            match self.receive(left).await {
                Some(LeaderMessage::Order(WorkerOrder::Start(order))) => starts.push(order),
                Some(_) => {}
                None => break,
            }
        }
        starts
    }
}

/// Guards against attempts that are given up because an outdated list arrives on an earlier connection of their host,
/// after they have started.
#[tokio::test]
async fn list_on_an_earlier_connection_of_a_host_has_no_effect() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;
    let leader = members[0].handle.inner_address;
    let mut earlier = FakeHost::connect(leader).await;
    earlier.report().await;
    let mut current = FakeHost::connect(leader).await;
    current.report().await;
    current.list(&[]).await;
    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    let starts = current.starts(QUIET_TIME).await;
    assert_eq!(starts.len(), 2);
    current.list(&starts).await;

    earlier.list(&[]).await;

    assert!(current.starts(QUIET_TIME).await.is_empty());
}

/// Guards against a lease that is renewed for a list that the planner ignores: it counts the lease from the last list
/// that it accepted, and then starts the tasks elsewhere.
#[tokio::test]
async fn lease_is_not_renewed_for_a_worker_that_has_not_reported_itself() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;
    let mut host = FakeHost::connect(members[0].handle.inner_address).await;

    host.list(&[]).await;
    assert!(host.receive(QUIET_TIME).await.is_none());

    host.report().await;
    host.list(&[]).await;
    let renewed = host.receive(WAIT_LIMIT).await;
    assert!(matches!(renewed, Some(LeaderMessage::Renewed { asked_ms: 1 })));
}
