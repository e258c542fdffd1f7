//! Parses `[service NAME]`.

use pier_types::sizes;

use crate::{
    documents,
    parsing::{model_parser, section_reader},
};

/// Largest number of in-flight requests of one VM.
const MAX_IN_FLIGHT: u32 = 100_000;
/// Body limit of a service that sets none, in bytes.
const DEFAULT_BODY_BYTES: u64 = 1 << 20;

pub(crate) fn parse(
    mut reader: section_reader::SectionReader<'_>,
) -> Option<documents::ServiceSection> {
    let warm_limit = reader.small_number("warm-limit", 1..=MAX_IN_FLIGHT, None);
    let cold_limit = reader.small_number("cold-limit", 1..=MAX_IN_FLIGHT, None);
    let max_body = reader.number(
        "max-body-bytes",
        1..=model_parser::MAX_BODY_BYTES,
        Some(DEFAULT_BODY_BYTES),
    );
    let default_methods = documents::RepeatPolicy {
        completions: false,
        methods: ["GET", "HEAD"].map(str::to_owned).into(),
    };
    let repeatable = reader.optional(
        "repeatable-methods",
        default_methods,
        "methods in capitals parted by commas, or none",
        |text| {
            let policy = text.parse::<documents::RepeatPolicy>().ok()?;
            (!policy.completions).then_some(policy)
        },
    );
    let one_time_paths = reader.optional(
        "one-time-paths",
        Vec::new(),
        "paths parted by commas, each with a slash in front",
        parse_paths,
    );
    model_parser::check_limits(&mut reader, cold_limit, warm_limit);
    reader.finish("");
    Some(documents::ServiceSection {
        warm_limit: sizes::RequestCount::new(warm_limit?),
        cold_limit: sizes::RequestCount::new(cold_limit?),
        max_body: sizes::ByteSize::new(max_body?),
        repeatable_methods: repeatable?.methods,
        one_time_paths: one_time_paths?,
    })
}

fn parse_paths(text: &str) -> Option<Vec<String>> {
    let paths = text.split(',').map(str::trim).map(str::to_owned);
    let paths = paths.collect::<Vec<_>>();
    let are_absolute = paths.iter().all(|path| path.starts_with('/'));
    are_absolute.then_some(paths)
}
