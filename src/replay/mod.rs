//! Replays sessions against the decision code under a virtual clock. See docs/sessions.md.

mod error;
mod session;
mod users;

pub use error::{Error, Result};
pub use session::{Behaviour, Event, Real, Session, TableMode, TimedEvent};
pub use users::User;

#[cfg(test)]
mod tests;
