//! Parses `[limits]`.

use std::time;

use pier_types::{rates, sizes};

use crate::{
    documents,
    parsing::{model_parser, section_reader},
};

const SECS_PER_HOUR: u64 = 3_600;
/// Longest retention of claims, in hours: one year.
const MAX_RETENTION_HOURS: u64 = 24 * 365;
/// Smallest and largest `freshness-ms`, in milliseconds.
const FRESHNESS_BOUNDS_MS: (u64, u64) = (100, 60_000);
/// Longest default deadline, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 24 * SECS_PER_HOUR * 1_000;

pub(crate) fn parse(
    mut reader: section_reader::SectionReader<'_>,
) -> Option<documents::LimitSection> {
    let (min_freshness, max_freshness) = FRESHNESS_BOUNDS_MS;
    let store_rate = reader.number("weight-store-bytes-per-second", 1..=u64::MAX, None);
    let retention = reader.number("claim-retention-hours", 1..=MAX_RETENTION_HOURS, Some(72));
    let freshness = reader.number("freshness-ms", min_freshness..=max_freshness, Some(2_500));
    let deadline = reader.number("deadline-default-ms", 1..=MAX_DEADLINE_MS, Some(120_000));
    let max_body = reader.number(
        "max-body-bytes",
        1..=model_parser::MAX_BODY_BYTES,
        Some(8 << 20),
    );
    reader.finish("");
    Some(documents::LimitSection {
        weight_store_rate: rates::ByteRate::new(store_rate?),
        claim_retention: time::Duration::from_secs(retention? * SECS_PER_HOUR),
        freshness: time::Duration::from_millis(freshness?),
        default_deadline: time::Duration::from_millis(deadline?),
        max_body: sizes::ByteSize::new(max_body?),
    })
}
