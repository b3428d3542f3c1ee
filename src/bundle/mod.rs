//! Bundles of rules: content, digest, signatures, validation and rollout. See docs/design.md, section 3.

mod document;

pub use document::{
    Bundle, DataCentre, Group, GuaranteedBlock, KindRule, Organisation, PolicyRules, Rack, Weights,
    WorkerShape,
};
