//! Load tests on real nodes, as their callers experience them.
//!
//! [`calls`] draws a schedule of calls from a seed and sends it in real time, without waiting for
//! earlier answers (open loop). [`fleets`] starts a platform and the nodes and engines of several
//! data centres in one process, all over loopback. [`reviews`] compares what callers received with
//! what the engines recorded. [`drives`] takes a data centre out of service and back under load.

pub mod calls;
pub mod drives;
pub mod fleets;
pub mod reviews;
