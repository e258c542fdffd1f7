//! The record of which VM belongs to which replica group.
//!
//! No VM belongs to two groups at once: all groups of a data centre are stored in one object, which
//! is written conditionally, and a placement that names a VM twice cannot be constructed.

mod data_centre_placement;
mod group_placement;
mod group_recipe;
mod group_successor;
mod member_role;
mod member_slot;
mod model_version;
mod placement_counters;
mod placement_error;
mod raw_placement;

pub use data_centre_placement::DataCentrePlacement;
pub use group_placement::GroupPlacement;
pub use group_recipe::GroupRecipe;
pub use group_successor::GroupSuccessor;
pub use member_role::MemberRole;
pub use member_slot::MemberSlot;
pub use model_version::ModelVersion;
pub use placement_counters::PlacementCounters;
pub use placement_error::PlacementError;
use raw_placement::RawPlacement;
