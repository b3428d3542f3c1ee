//! Tests of the election.
