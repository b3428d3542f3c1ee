//! Ordered inbox for actors.

use std::future::poll_fn;
use std::time::Duration;

use futures::future::Either;
use tokio::sync::mpsc;
use xtra::prelude::*;

/// Largest number of events that are handled before the mailbox is polled again.
const MAX_EVENTS_PER_POLL: usize = 64;

/// Actor that also handles events from an ordered inbox.
pub trait InboxActor: Actor {
    /// Type of the events in the inbox.
    type Event: Send + 'static;

    /// Handles one event.
    fn on_event(&mut self, event: Self::Event);
}

/// Sends an event at fixed intervals until the inbox is closed. Missed ticks are skipped, not sent later in a burst.
pub async fn send_at_intervals<E>(interval: Duration, events: mpsc::Sender<E>, event: fn() -> E) {
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
    mut inbox: mpsc::Receiver<A::Event>,
) where
    A: InboxActor,
{
    loop {
        let next = poll_fn(|context| inbox.poll_recv(context));
        match xtra::select(&mailbox, &mut actor, next).await {
            Either::Left(Some(event)) => actor.on_event(event),
            _ => return,
        }
        for _ in 1..MAX_EVENTS_PER_POLL {
            match inbox.try_recv() {
                Ok(event) => actor.on_event(event),
                Err(_) => break,
            }
        }
    }
}
