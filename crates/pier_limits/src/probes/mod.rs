//! Health probes: which node probes which VM, and what is known of each VM.
//!
//! Each VM is probed by a few nodes of its data centre ([`ProbePlan`], [`ProbeSchedule`]); the
//! other nodes pull the results ([`PullPlan`]). An [`EvidenceBoard`] keeps the latest evidence. A
//! VM without evidence gets no new work. Nothing in this module starts work.

mod board_change;
mod evidence_board;
mod probe_plan;
mod probe_schedule;
mod pull_plan;
mod roster_conflict;
mod vm_evidence;
mod vm_roster;
mod vm_standing;
mod vm_track;

pub use board_change::BoardChange;
pub use evidence_board::EvidenceBoard;
pub use probe_plan::{PROBERS, ProbePlan};
pub use probe_schedule::{BACKUP_INTERVAL, FIRST_INTERVAL, ProbeSchedule};
pub use pull_plan::PullPlan;
pub use roster_conflict::RosterConflict;
pub use vm_evidence::VmEvidence;
pub use vm_roster::VmRoster;
pub use vm_standing::VmStanding;
pub(crate) use vm_track::VmTrack;
