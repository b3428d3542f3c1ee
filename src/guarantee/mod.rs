//! Guaranteed blocks: the check that all of them fit at the same time, and the cells that are kept for them. See
//! docs/design.md, section 4.
//!
//! A block of more accelerators than a worker has consists of whole workers and one part of a worker, so that any gang
//! whose tasks divide the block fits into it.

mod admission;
mod binding;
mod pack;

pub use admission::{Admission, Error, admit};
pub use binding::{Bindings, BoundBlock};
pub use pack::pack_block;

#[cfg(test)]
mod tests;
