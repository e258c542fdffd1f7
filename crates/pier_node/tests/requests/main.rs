//! Tests of the request path of a node against fake targets and a fake platform that record what
//! really ran.

mod broken_off;
mod connection_probes;
mod cut_link;
mod cut_off_nodes;
mod dropping_target;
mod ending_target;
mod engine_targets;
mod forwards;
mod local_forwards;
mod one_time;
mod one_time_streams;
mod refusals;
mod silent_targets;
mod streams;
mod test_node;
