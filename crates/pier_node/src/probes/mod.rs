//! Probes the VMs that fall to this node and publishes the evidence of all.
//!
//! Who probes what and what counts as evidence is decided by `pier_limits::probes`; this module
//! makes the calls and hands their results over.

mod probe_call;
mod probe_driver;

pub use probe_call::ProbeOutcome;
pub(crate) use probe_driver::ProbeDriver;
