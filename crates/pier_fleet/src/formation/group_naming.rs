//! Names of groups.
//!
//! A name tells the model and the fabric domain, so that a node that takes the planning over knows
//! what a group was formed for before any member reports it.

use pier_types::ids;

use crate::documents;

/// Part of the name of a group that holds one standby VM.
const STANDBY: &str = "-standby-";

/// Names the group number `number` of a model in a domain.
pub fn group_name(
    model: &ids::ModelName,
    domain: &ids::DomainName,
    number: u32,
) -> Option<ids::GroupName> {
    format!("{model}-{domain}-{number}").parse().ok()
}

/// Names the group of one standby VM.
pub fn standby_name(model: &ids::ModelName, vm: &ids::VmName) -> Option<ids::GroupName> {
    format!("{model}{STANDBY}{vm}").parse().ok()
}

/// Tells whether a group only holds a standby VM.
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
