//! Routing of requests from an entry to an endpoint, and of the answers back. See docs/design.md, section 3, "Flow of a
//! request".

mod answer;
mod attempts;
mod budget;
mod key;
mod message;
pub(crate) mod pairs;
mod pool;
mod queue;
mod router;
#[cfg(test)]
mod tests;

pub use key::{KeyPlan, KeyRow, key_row_key, plan_claim, plan_finish};
pub use message::{
    ClaimResult, ConnectionId, KeyClaim, Refusal, RequestEnd, RequestSpec, RouterInput,
    RouterLimits, RouterOutput, RouterRules,
};
pub use pool::EndpointView;
pub use router::{Router, RouterSummary};
