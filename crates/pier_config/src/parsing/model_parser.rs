//! Parses `[model NAME]`.

use pier_types::sizes;

use crate::{documents, parsing::section_reader};

/// Largest number of VMs in a group.
const MAX_MEMBERS: u32 = 64;
/// Largest number of in-flight requests of one group.
const MAX_IN_FLIGHT: u32 = 100_000;
/// Longest context, in tokens.
const MAX_CONTEXT_TOKENS: u64 = 10_000_000;
/// Body limit of a model that sets none, in bytes.
const DEFAULT_BODY_BYTES: u64 = 1 << 20;
/// Largest body limit, in bytes.
pub(crate) const MAX_BODY_BYTES: u64 = 64 << 20;
/// Largest size of the weights of one VM, in bytes.
const MAX_WEIGHT_BYTES: u64 = 1 << 42;

pub(crate) fn parse(
    mut reader: section_reader::SectionReader<'_>,
) -> Option<documents::ModelSection> {
    let version = reader.text("version");
    let members = reader.small_number("members", 1..=MAX_MEMBERS, None);
    let unified = documents::RoleLayout::Unified;
    let roles = reader.optional("roles", unified, "unified, or prefill:N decode:M", |text| {
        text.parse().ok()
    });
    let adapters = reader.names("adapters");
    let warm_limit = reader.small_number("warm-limit", 1..=MAX_IN_FLIGHT, None);
    let cold_limit = reader.small_number("cold-limit", 1..=MAX_IN_FLIGHT, None);
    let context_tokens = reader.number("context-tokens", 1..=MAX_CONTEXT_TOKENS, None);
    let max_tokens = reader.number("max-tokens", 1..=MAX_CONTEXT_TOKENS, None);
    let max_body = reader.number(
        "max-body-bytes",
        1..=MAX_BODY_BYTES,
        Some(DEFAULT_BODY_BYTES),
    );
    let weight_bytes = reader.number("weight-bytes", 1..=MAX_WEIGHT_BYTES, None);
    let prefix_affinity = reader.optional("prefix-affinity", true, "yes, no", parse_flag);
    check_limits(&mut reader, cold_limit, warm_limit);
    check_tokens(&mut reader, max_tokens, context_tokens);
    check_roles(&mut reader, roles, members);
    reader.finish("");
    Some(documents::ModelSection {
        version: version?,
        members: sizes::VmCount::new(members?),
        roles: roles?,
        adapters,
        warm_limit: sizes::RequestCount::new(warm_limit?),
        cold_limit: sizes::RequestCount::new(cold_limit?),
        context_tokens: sizes::TokenCount::new(context_tokens?),
        max_tokens: sizes::TokenCount::new(max_tokens?),
        max_body: sizes::ByteSize::new(max_body?),
        weight_bytes: sizes::ByteSize::new(weight_bytes?),
        prefix_affinity: prefix_affinity?,
    })
}

fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

/// Adds a fault if the cold limit is higher than the warm limit.
pub(crate) fn check_limits(
    reader: &mut section_reader::SectionReader<'_>,
    cold_limit: Option<u32>,
    warm_limit: Option<u32>,
) {
    if let (Some(cold), Some(warm)) = (cold_limit, warm_limit)
        && cold > warm
    {
        let allowed = format!("at most warm-limit, {warm}");
        reader.add_fault("cold-limit", cold.to_string(), &allowed);
    }
}

fn check_tokens(
    reader: &mut section_reader::SectionReader<'_>,
    max_tokens: Option<u64>,
    context_tokens: Option<u64>,
) {
    if let (Some(max_answer), Some(max_context)) = (max_tokens, context_tokens)
        && max_answer > max_context
    {
        let allowed = format!("at most context-tokens, {max_context}");
        reader.add_fault("max-tokens", max_answer.to_string(), &allowed);
    }
}

fn check_roles(
    reader: &mut section_reader::SectionReader<'_>,
    roles: Option<documents::RoleLayout>,
    members: Option<u32>,
) {
    let Some(documents::RoleLayout::Split { prefill, decode }) = roles else {
        return;
    };
    let sum = prefill.get().saturating_add(decode.get());
    if let Some(members) = members
        && sum != members
    {
        let allowed = format!("roles that add up to members, {members}");
        reader.add_fault("roles", format!("{sum} roles"), &allowed);
    }
}
