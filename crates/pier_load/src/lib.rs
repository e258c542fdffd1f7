//! Load on real nodes, and what its callers noticed.
//!
//! [`calls`] draws a schedule of calls from a seed and sends it in real time, whether answers come
//! or not. [`fleets`] starts a platform, nodes and engines of three data centres in one process,
//! all over loopback. [`reviews`] reads what callers received against what the engines recorded. [`drives`] takes a data centre out and back meanwhile.

pub mod calls;
pub mod drives;
pub mod fleets;
pub mod reviews;
