//! Probes the VMs assigned to this node and publishes the evidence of all VMs.
//!
//! `pier_limits::probes` decides which node probes which VM and what counts as evidence; this
//! module makes the calls and passes on their results.

mod probe_call;
mod probe_driver;

pub use probe_call::ProbeOutcome;
pub(crate) use probe_call::fetch_report;
pub(crate) use probe_driver::ProbeDriver;
