//! Parses `[data-centre NAME]`.

use std::collections;

use pier_types::sizes;

use crate::{documents, parsing::section_reader};

/// Largest number of node slots in a data centre.
const MAX_ENTRY_SLOTS: u32 = 1_000;
/// Largest number of replica groups of a model in a data centre.
const MAX_REPLICAS: u32 = 10_000;

pub(crate) fn parse(
    mut reader: section_reader::SectionReader<'_>,
) -> Option<documents::DataCentreSection> {
    let region = reader.required("region", "a name", |text| text.parse().ok());
    let state = reader.required("state", "in-service, out-of-service", |text| {
        text.parse().ok()
    });
    let entry_slots = reader.small_number("entry-slots", 1..=MAX_ENTRY_SLOTS, None);
    let mut replicas = collections::BTreeMap::new();
    for (model, text) in reader.take_prefixed("replicas.") {
        let key = format!("replicas.{model}");
        let count = text.parse::<u32>().ok();
        let count = count.filter(|count| *count <= MAX_REPLICAS);
        if let (Ok(model), Some(count)) = (model.parse(), count) {
            replicas.insert(model, documents::ReplicaCount::new(count));
        } else {
            let allowed = format!("a model's name and a whole number from 0 to {MAX_REPLICAS}");
            reader.add_fault(&key, section_reader::quote(text), &allowed);
        }
    }
    reader.finish("replicas.MODEL");
    Some(documents::DataCentreSection {
        region: region?,
        state: state?,
        entry_slots: sizes::VmCount::new(entry_slots?),
        replicas,
    })
}
