//! Plans which VMs form which replica group.
//!
//! No VM belongs to two groups, and a group serves only after every member was seen ready in the
//! group's current generation. A broken group is repaired in place: the survivors keep the group's
//! name and their weights, and a standby VM of the same fabric domain that runs the same model
//! replaces the lost member.

mod domain_counts;
mod domain_layout;
mod domain_orders;
mod domain_plan;
mod formation_input;
mod formation_planner;
mod group_model;
mod group_naming;
mod group_order;
mod group_repair;
mod member_facts;
mod member_state;
mod planned_group;
mod service_planners;
mod standby_choice;

use domain_plan::DomainPlan;
pub use formation_input::FormationInput;
pub use formation_planner::FormationPlanner;
pub use group_order::{GroupOrder, OrderKind};
pub use member_facts::MemberFacts;
use member_state::MemberState;
use planned_group::{PlannedGroup, PlannedMember};
pub use service_planners::ServicePlanners;
