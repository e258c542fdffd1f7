//! Registered targets and the status that each one reports.

mod group_membership;
mod group_phase;
mod target_entry;
mod target_record;
mod target_registry;
mod target_standing;

pub use group_membership::GroupMembership;
pub use group_phase::GroupPhase;
pub use target_entry::TargetEntry;
pub use target_record::TargetRecord;
pub use target_registry::TargetRegistry;
pub use target_standing::TargetStanding;
