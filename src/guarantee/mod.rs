//! Guaranteed shapes: the proof that all fit at once, and the cells that are kept for them. See docs/design.md,
//! section 4.
