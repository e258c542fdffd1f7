//! Health probes: which node probes which VM, and what is known of each VM.
//!
//! Each VM is probed by a few nodes of its data centre ([`ProbePlan`], [`ProbeSchedule`]); the
//! other nodes pull the results ([`PullPlan`]). An [`EvidenceTable`] keeps the latest evidence. A
//! VM without evidence gets no new work. Nothing in this module starts work.

mod evidence_change;
mod evidence_table;
mod failure_filter;
mod probe_plan;
mod probe_schedule;
mod pull_plan;
mod roster_conflict;
mod vm_evidence;
mod vm_health;
mod vm_results;
mod vm_roster;

pub use evidence_change::EvidenceChange;
pub use evidence_table::EvidenceTable;
pub use failure_filter::FailureFilter;
pub use probe_plan::{PROBERS_PER_VM, ProbePlan};
pub use probe_schedule::{BACKUP_INTERVAL, FIRST_INTERVAL, ProbeSchedule};
pub use pull_plan::PullPlan;
pub use roster_conflict::RosterConflict;
pub use vm_evidence::VmEvidence;
pub use vm_health::VmHealth;
pub(crate) use vm_results::VmResults;
pub use vm_roster::VmRoster;
