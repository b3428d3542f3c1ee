//! Tests of the leader.
