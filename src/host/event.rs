//! What happens around a host.

use tokio::sync::mpsc;

use super::{RenewalAnswer, WorkerError, WorkerHeartbeat};
use crate::coordinator::message::{DialerMessage, LeaderMessage};
use crate::planner::StartRefusal;
use crate::prelude::*;
use crate::wire::LinkSender;
use crate::workflow::{TaskId, WorkerIncarnation};

/// Where events for the actor go.
pub type EventSender = mpsc::Sender<Event>;

/// Names an attempt.
pub type AttemptKey = (TaskId, u32);

/// What happens around a host.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The worker reports.
    Heartbeat(Box<WorkerHeartbeat>),
    /// The incarnation with this name has ended.
    WorkerTerminated(String),
    /// The leader has welcomed this host.
    Connected { epoch: Epoch, sender: LinkSender<DialerMessage> },
    /// The leader sent a message.
    Leader(LeaderMessage),
    /// The connection to the leader is lost.
    Disconnected,
    /// The worker answered a renewal.
    RenewalEnded { renewal: u64, result: Result<RenewalAnswer, WorkerError> },
    /// A start has a certain result.
    StartEnded { incarnation: WorkerIncarnation, key: AttemptKey, result: Result<(), StartRefusal> },
    /// A stop is confirmed.
    StopEnded { incarnation: WorkerIncarnation, key: AttemptKey },
}
