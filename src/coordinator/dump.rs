//! The dump of a coordinator's state, for operators.

use serde_json::{Value, json};
use xtra::prelude::*;

use super::actor::Coordinator;
use super::leader_state::LeaderState;
use crate::store::RowStore;

/// The request for a dump of the coordinator's state as JSON.
#[derive(Clone, Copy, Debug)]
pub struct Dump;

impl<S> Handler<Dump> for Coordinator<S>
where
    S: RowStore,
{
    type Return = Value;

    async fn handle(&mut self, _message: Dump, _context: &mut Context<Self>) -> Value {
        json!({
            "process": self.process(),
            "succession": self.election,
            "directives": { "as_of": self.directives().as_of, "out_of_service": self.directives().out_of_service },
            "rules_version": self.directives().rules.as_ref().map(|rules| rules.version),
            "coordinators": self.dialed(),
            "jobs_known": self.service.shared.with_view(|view| view.len()),
            "planner": self.leader_state.as_ref().map(LeaderState::dump),
        })
    }
}
