//! Names of groups.
//!
//! A name is there to tell groups apart, and for people who read logs. What a group runs is reported
//! by its members; the name, read as a whole, helps out only while none of them reports a model.

use pier_types::ids;

use crate::documents;

/// Infix in the name of a group that holds one standby VM.
const STANDBY: &str = "-standby-";

/// Longest part of a name that stands for a model or a domain, in characters, if the whole name would
/// be too long otherwise.
const MAX_PART_LEN: usize = 48;

/// Returns the name of the group with number `number` of a model in a domain.
pub fn group_name(
    model: &ids::ModelName,
    domain: &ids::DomainName,
    number: u32,
) -> Option<ids::GroupName> {
    let (model, domain) = (plain(model.as_str()), plain(domain.as_str()));
    let name = format!("{model}-{domain}-{number}").parse();
    let shortened = || format!("{}-{}-{number}", start(&model), start(&domain)).parse();
    name.or_else(|_too_long| shortened()).ok()
}

/// Returns the name of the group of one standby VM.
pub fn standby_name(model: &ids::ModelName, vm: &ids::VmName) -> Option<ids::GroupName> {
    let model = plain(model.as_str());
    let name = format!("{model}{STANDBY}{vm}").parse();
    let shortened = || format!("{}{STANDBY}{vm}", start(&model)).parse();
    name.or_else(|_too_long| shortened()).ok()
}

/// Returns whether a group that a VM reports is the group that it forms alone as a standby VM.
pub fn is_standby(group: &ids::GroupName, vm: &ids::VmName) -> bool {
    let rest = group.as_str().strip_suffix(vm.as_str());
    rest.is_some_and(|rest| rest.ends_with(STANDBY))
}

/// Returns the only model of which a group in this domain, or of this standby VM, can have the name.
pub fn named_model<'a>(
    group: &ids::GroupName,
    domain: &ids::DomainName,
    vm: &ids::VmName,
    models: &'a [documents::ModelSpec],
) -> Option<&'a documents::ModelSpec> {
    let domain = plain(domain.as_str());
    let mut named = models.iter().filter(|model| {
        if is_standby(group, vm) {
            return standby_name(&model.name, vm).as_ref() == Some(group);
        }
        let rest = group.as_str().strip_prefix(&plain(model.name.as_str()));
        let rest = rest.and_then(|rest| rest.strip_prefix('-'));
        let rest = rest.and_then(|rest| rest.strip_prefix(&domain));
        let number = rest.and_then(|rest| rest.strip_prefix('-'));
        number.is_some_and(|number| number.parse::<u32>().is_ok())
    });
    let first = named.next();
    first.filter(|_model| named.next().is_none())
}

/// Returns the text with all characters replaced that the name of a group can't have.
fn plain(text: &str) -> String {
    let is_plain = |letter: char| letter.is_ascii_alphanumeric() || "._-".contains(letter);
    let letters = text.chars();
    letters
        .map(|letter| if is_plain(letter) { letter } else { '_' })
        .collect()
}

/// Returns the start of a plain text.
fn start(text: &str) -> &str {
    text.get(..MAX_PART_LEN).unwrap_or(text)
}
