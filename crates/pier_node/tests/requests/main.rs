//! Proves the promises of one request on the node's own path, against stand-ins that record what
//! really ran.

mod dropping_target;
mod engine_targets;
mod forwards;
mod local_forwards;
mod one_time;
mod one_time_streams;
mod refusals;
mod streams;
mod test_node;
