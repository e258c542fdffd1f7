//! Names of groups.
//!
//! A name contains the model and the fabric domain, so that a node that takes over the planning
//! knows a group's purpose before any member reports it.

use pier_types::ids;

use crate::documents;

/// Infix in the name of a group that holds one standby VM.
const STANDBY: &str = "-standby-";

/// Returns the name of the group with number `number` of a model in a domain.
pub fn group_name(
    model: &ids::ModelName,
    domain: &ids::DomainName,
    number: u32,
) -> Option<ids::GroupName> {
    format!("{model}-{domain}-{number}").parse().ok()
}

/// Returns the name of the group of one standby VM.
pub fn standby_name(model: &ids::ModelName, vm: &ids::VmName) -> Option<ids::GroupName> {
    format!("{model}{STANDBY}{vm}").parse().ok()
}

/// Returns whether a group is the group of one standby VM.
pub fn is_standby(group: &ids::GroupName) -> bool {
    group.as_str().contains(STANDBY)
}

/// Returns the model that a group was formed for.
pub fn model_of<'a>(
    group: &ids::GroupName,
    models: &'a [documents::ModelSpec],
) -> Option<&'a documents::ModelSpec> {
    models.iter().find(|model| {
        let rest = group.as_str().strip_prefix(model.name.as_str());
        rest.is_some_and(|rest| rest.starts_with('-'))
    })
}
