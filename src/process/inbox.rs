//! Ordered inbox for actors.

use std::future::poll_fn;
use std::time::Duration;

use futures::future::Either;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::{SendError, TrySendError};
use xtra::prelude::*;

use super::intake::HeldMemory;

/// Largest number of events that are handled before the mailbox is polled again.
const MAX_EVENTS_PER_POLL: usize = 64;

/// Actor that also handles events from an ordered inbox.
pub trait InboxActor: Actor {
    /// Type of the events in the inbox.
    type Event: Send + 'static;

    /// Handles one event.
    fn on_event(&mut self, event: Self::Event);
}

/// Event in an inbox, with the memory that it holds until it was handled.
pub struct Queued<E> {
    event: E,
    held: Option<HeldMemory>,
}

/// Sending side of an inbox. Clones send to the same inbox.
pub struct InboxSender<E>(mpsc::Sender<Queued<E>>);

impl<E> std::fmt::Debug for InboxSender<E> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("InboxSender(..)")
    }
}

impl<E> Clone for InboxSender<E> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<E> InboxSender<E> {
    /// Sends an event, waiting while the inbox is full.
    ///
    /// # Errors
    ///
    /// [`SendError`] with the event if the actor has ended.
    pub async fn send(&self, event: E) -> Result<(), SendError<E>> {
        self.send_held(event, None).await
    }

    /// Sends an event that holds memory until it was handled, waiting while the inbox is full.
    ///
    /// # Errors
    ///
    /// [`SendError`] with the event if the actor has ended.
    pub async fn send_held(&self, event: E, held: Option<HeldMemory>) -> Result<(), SendError<E>> {
        let sent = self.0.send(Queued { event, held }).await;
        sent.map_err(|SendError(queued)| SendError(queued.event))
    }

    /// Sends an event if the inbox has free capacity.
    ///
    /// # Errors
    ///
    /// [`TrySendError`] with the event if the inbox is full or the actor has ended.
    pub fn try_send(&self, event: E) -> Result<(), TrySendError<E>> {
        self.0.try_send(Queued { event, held: None }).map_err(|error| match error {
            TrySendError::Full(queued) => TrySendError::Full(queued.event),
            TrySendError::Closed(queued) => TrySendError::Closed(queued.event),
        })
    }

    /// Returns whether the actor has ended.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Creates an inbox for a number of events.
pub fn inbox<E>(capacity: usize) -> (InboxSender<E>, mpsc::Receiver<Queued<E>>) {
    let (sender, receiver) = mpsc::channel(capacity);
    (InboxSender(sender), receiver)
}

/// Sends an event at fixed intervals until the inbox is closed. Missed ticks are skipped, not sent later in a burst.
pub async fn send_at_intervals<E>(interval: Duration, events: InboxSender<E>, event: fn() -> E) {
    let mut interval = tokio::time::interval(interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if events.send(event()).await.is_err() {
            return;
        }
    }
}

/// Runs an actor until its last address is dropped, with a mailbox and an inbox.
///
/// An xtra mailbox is a heap that does not preserve the order of messages, so a sender that needs the order must wait
/// until each message was handled. The inbox preserves the order, and its senders wait only while it is full.
pub async fn run_with_inbox<A>(
    mailbox: Mailbox<A>,
    mut actor: A,
    mut inbox: mpsc::Receiver<Queued<A::Event>>,
) where
    A: InboxActor,
{
    loop {
        let next = poll_fn(|context| inbox.poll_recv(context));
        match xtra::select(&mailbox, &mut actor, next).await {
            Either::Left(Some(queued)) => handle(&mut actor, queued),
            _ => return,
        }
        for _ in 1..MAX_EVENTS_PER_POLL {
            match inbox.try_recv() {
                Ok(queued) => handle(&mut actor, queued),
                Err(_) => break,
            }
        }
    }
}

fn handle<A>(actor: &mut A, Queued { event, held }: Queued<A::Event>)
where
    A: InboxActor,
{
    actor.on_event(event);
    drop(held);
}
