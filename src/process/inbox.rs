//! An ordered inbox for actors.

use std::future::poll_fn;
use std::time::Duration;

use futures::future::Either;
use tokio::sync::mpsc;
use xtra::prelude::*;

/// The most events that are handled before the mailbox gets its turn.
const EVENTS_PER_TURN: usize = 64;

/// An actor that also takes events from an ordered inbox.
pub trait InboxActor: Actor {
    /// What arrives in the inbox.
    type Event: Send + 'static;

    /// Handles one event.
    fn on_event(&mut self, event: Self::Event);
}

/// Sends an event at intervals until the inbox is closed. Intervals that were missed are not made up for.
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
/// An xtra mailbox is a heap that does not keep the order of messages, so its senders must wait until each message was
/// handled. The inbox keeps the order, and its senders wait only while it is full.
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
        for _ in 1..EVENTS_PER_TURN {
            match inbox.try_recv() {
                Ok(event) => actor.on_event(event),
                Err(_) => break,
            }
        }
    }
}
