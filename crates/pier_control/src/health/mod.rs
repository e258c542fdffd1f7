//! Decides which groups may serve, from the probes of this node alone.
//!
//! No replica group serves while any of its members is missing. A group serves only while every
//! member has answered a recent probe and reported the group, generation and incarnation that the
//! placement states. A missing probe result counts as a failure, and a node stops sending to a
//! group without agreement of other nodes.

mod condition_tracker;
mod confirmed_group;
mod expected_report;
mod health_monitor;
mod health_settings;
mod health_view;
mod serving_group;
mod stop_reason;
mod vm_conditions;
mod vm_evidence;

pub use condition_tracker::ConditionTracker;
use confirmed_group::ConfirmedGroup;
use expected_report::ExpectedReport;
pub use health_monitor::HealthMonitor;
pub use health_settings::HealthSettings;
pub use health_view::HealthView;
pub use serving_group::ServingGroup;
pub use stop_reason::StopReason;
pub use vm_conditions::vm_conditions;
pub use vm_evidence::VmEvidence;
