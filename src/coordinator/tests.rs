//! Tests of the coordinator.
