//! Decides which VMs form which group.
//!
//! The planner guarantees that all members of a group are in one fabric domain and that a broken
//! group is repaired before it is rebuilt, and it keeps few accelerators idle next to an incomplete
//! group. One run takes these steps in order: repair groups that lost members, break up groups that
//! cannot be repaired, roll out new versions, remove and form groups until each model has the
//! configured number of replicas, and prepare successors for members that are about to leave.

mod breakup_step;
mod domain_choice;
mod domain_reachability;
mod member_status;
mod placement_plan;
mod plan_draft;
mod plan_input;
mod plan_reason;
mod plan_vm;
mod planner_settings;
mod prepare_step;
mod repair_step;
mod replica_step;
mod rollout_step;
mod vm_condition;
mod vm_index;
mod wanted_model;

use domain_reachability::DomainReachability;
use member_status::MemberStatus;
pub use placement_plan::PlacementPlan;
use plan_draft::PlanDraft;
pub use plan_input::PlanInput;
pub use plan_reason::PlanReason;
use plan_vm::PlanVm;
pub use planner_settings::PlannerSettings;
pub use vm_condition::VmCondition;
use vm_index::VmIndex;
pub use wanted_model::WantedModel;
