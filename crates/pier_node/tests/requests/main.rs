//! Proves the promises of one request on the node's own path, against stand-ins that record what
//! really ran.

mod cutting_target;
mod engines;
mod forwards;
mod one_time;
mod one_time_streams;
mod refusals;
mod siblings;
mod streams;
mod test_node;
