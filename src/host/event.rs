//! The events that the actor of a host handles.

use super::orders::StartResult;
use super::{RenewalAnswer, WorkerError, WorkerHeartbeat};
use crate::coordinator::message::{DialerMessage, LeaderMessage};
use crate::prelude::*;
use crate::process::InboxSender;
use crate::wire::LinkSender;
use crate::workflow::{TaskId, WorkerIncarnation};

/// The sending side of the actor's event queue.
pub type EventSender = InboxSender<Event>;

/// The task and the number of an attempt.
pub type AttemptKey = (TaskId, u32);

/// An event for the actor of a host.
#[derive(Debug)]
pub enum Event {
    /// The interval of periodic work or a pause before a renewal has passed.
    Tick,
    /// The worker sent a heartbeat.
    Heartbeat(Box<WorkerHeartbeat>),
    /// The incarnation of the worker with this name has ended.
    WorkerTerminated(String),
    /// The leader has welcomed this host.
    Connected { epoch: Epoch, sender: LinkSender<DialerMessage> },
    /// The leader sent a message.
    Leader(LeaderMessage),
    /// The connection to the leader is lost.
    Disconnected,
    /// The call of the worker for the renewal with this number has ended.
    RenewalEnded { renewal: u64, result: Result<RenewalAnswer, WorkerError> },
    /// A start has a definite result.
    StartEnded { incarnation: WorkerIncarnation, key: AttemptKey, result: StartResult },
    /// A stop is confirmed, or no longer needed.
    StopEnded { incarnation: WorkerIncarnation, key: AttemptKey },
}
