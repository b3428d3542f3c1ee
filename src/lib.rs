//! teaselhall schedules gang jobs and routes requests on a pool of accelerators that organisations share.
//!
//! docs/design.md describes the modules and how they interact; docs/glossary.md maps the terms of the code to the
//! standard terms of the field.

pub mod admission;
pub mod agent;
pub mod api;
pub mod bundle;
pub mod command;
pub mod coordinator;
pub mod directory;
pub mod endpoint;
pub mod entry;
pub mod guarantee;
pub mod host;
pub mod id;
pub mod intake;
pub mod job;
pub mod leader;
pub mod membership;
pub mod permit;
pub mod placement;
pub mod planner;

pub mod election;
pub mod prelude;
pub mod process;
pub mod registration;
pub mod replay;
pub mod request;
pub mod rules;
pub mod scheduler;
pub mod settings;
pub mod stand_in;
pub mod store;
pub mod wire;
pub mod worker;
pub mod workflow;
