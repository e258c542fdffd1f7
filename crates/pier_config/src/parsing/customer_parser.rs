//! Parses `[customer NAME]`.

use pier_types::{priorities, sizes};

use crate::{documents, parsing::section_reader};

/// Largest weight of a customer.
const MAX_WEIGHT: u32 = 1_000;
/// Retry budget of a customer that sets none, in percent of first attempts.
const DEFAULT_RETRY_PERCENT: u8 = 10;

pub(crate) fn parse(
    mut reader: section_reader::SectionReader<'_>,
) -> Option<documents::CustomerSection> {
    let key_hash = parse_key_hash(&mut reader);
    let weight = reader.small_number("weight", 1..=MAX_WEIGHT, Some(1));
    let max_priority = reader.optional(
        "max-priority",
        priorities::RequestPriority::Normal,
        "low, normal, high",
        |text| text.parse().ok(),
    );
    let models = reader.names("models");
    let services = reader.names("services");
    let repeat = reader.required(
        "repeat",
        "completions and methods in capitals parted by commas, or none",
        |text| text.parse().ok(),
    );
    let retry_percent = reader.optional(
        "retry-percent",
        documents::RetryPercent::new(DEFAULT_RETRY_PERCENT),
        "a whole number from 0 to 100",
        |text| text.parse().ok(),
    );
    reader.finish("");
    Some(documents::CustomerSection {
        key_hash: key_hash?,
        weight: sizes::CustomerWeight::new(weight?),
        max_priority: max_priority?,
        models: models.into_iter().collect(),
        services: services.into_iter().collect(),
        repeat: repeat?,
        retry_percent: retry_percent?,
    })
}

/// Reads the hash. Faults never show the text, which may be the key itself, pasted by mistake.
fn parse_key_hash(reader: &mut section_reader::SectionReader<'_>) -> Option<documents::KeyHash> {
    let allowed = "SHA-256 of the bearer key, 64 hexadecimal digits";
    let Some(text) = reader.take("key-sha256") else {
        reader.add_fault("key-sha256", "nothing".to_owned(), allowed);
        return None;
    };
    let hash = text.parse().ok();
    if hash.is_none() {
        let found = format!("{} characters (not shown)", text.chars().count());
        reader.add_fault("key-sha256", found, allowed);
    }
    hash
}
