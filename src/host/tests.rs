//! Tests of the host.
