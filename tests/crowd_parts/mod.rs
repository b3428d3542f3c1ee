//! Parts of the tests of crowds: the crowd, and the process that it meets.

#![allow(dead_code)]

pub mod crowd;
pub mod kinds;
pub mod watched;
