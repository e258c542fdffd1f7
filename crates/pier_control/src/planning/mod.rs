//! Decides which VMs form which group.
//!
//! Keeps the promises that a group's members share one fabric domain, that a broken group is
//! repaired before it is rebuilt, and that few accelerators stand idle beside an incomplete group.
//! One run goes through steps in a fixed order: mend what is broken, prepare members for VMs that
//! are about to go, break up groups that can not be mended, bring new versions in, then drop and
//! form groups until each model has the replicas that it should have.

mod breakup_step;
mod domain_choice;
mod domain_silence;
mod member_fault;
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

use domain_silence::DomainSilence;
use member_fault::MemberFault;
pub use placement_plan::PlacementPlan;
use plan_draft::PlanDraft;
pub use plan_input::PlanInput;
pub use plan_reason::PlanReason;
use plan_vm::PlanVm;
pub use planner_settings::PlannerSettings;
pub use vm_condition::VmCondition;
use vm_index::VmIndex;
pub use wanted_model::WantedModel;
