//! Checks across sections.

use std::{collections, fmt};

use pier_types::{ids, sizes};

use crate::{documents, faults};

/// Adds a fault for every inconsistency between sections that are valid by themselves.
///
/// `headings` also holds the sections that were refused, so that a reference to one of them is not
/// reported as an unknown name.
pub(crate) fn check(
    document: &documents::ConfigDocument,
    headings: &collections::BTreeSet<String>,
    faults: &mut Vec<faults::EntryFault>,
) {
    check_replicas(document, headings, faults);
    check_customers(document, headings, faults);
    check_keys(document, faults);
    check_body_limits(document, faults);
    if !headings
        .iter()
        .any(|heading| heading.starts_with("data-centre "))
    {
        let allowed = "at least one [data-centre NAME]".to_owned();
        faults.push(fault("data-centre", "", "no section".to_owned(), allowed));
    }
}

fn check_replicas(
    document: &documents::ConfigDocument,
    headings: &collections::BTreeSet<String>,
    faults: &mut Vec<faults::EntryFault>,
) {
    for (name, section) in &document.data_centres {
        for model in section.replicas.keys() {
            if !headings.contains(&format!("model {model}")) {
                let key = format!("replicas.{model}");
                let allowed = list_names(document.models.keys());
                let heading = format!("data-centre {name}");
                faults.push(fault(
                    &heading,
                    &key,
                    "an unknown model".to_owned(),
                    allowed,
                ));
            }
        }
    }
}

fn check_customers(
    document: &documents::ConfigDocument,
    headings: &collections::BTreeSet<String>,
    faults: &mut Vec<faults::EntryFault>,
) {
    for (name, section) in &document.customers {
        let heading = format!("customer {name}");
        for model in &section.models {
            if !headings.contains(&format!("model {model}")) {
                let allowed = list_names(document.models.keys());
                faults.push(fault(
                    &heading,
                    "models",
                    format!("the unknown model {model}"),
                    allowed,
                ));
            }
        }
        for service in &section.services {
            if !headings.contains(&format!("service {service}")) {
                let allowed = list_names(document.services.keys());
                faults.push(fault(
                    &heading,
                    "services",
                    format!("the unknown service {service}"),
                    allowed,
                ));
            }
        }
    }
}

fn check_keys(document: &documents::ConfigDocument, faults: &mut Vec<faults::EntryFault>) {
    let mut owners = collections::BTreeMap::<documents::KeyHash, &ids::CustomerName>::new();
    for (name, section) in &document.customers {
        if let Some(owner) = owners.insert(section.key_hash, name) {
            let found = format!("the key of customer {owner}");
            let allowed = "a key that no other customer has".to_owned();
            faults.push(fault(
                &format!("customer {name}"),
                "key-sha256",
                found,
                allowed,
            ));
        }
    }
}

fn check_body_limits(document: &documents::ConfigDocument, faults: &mut Vec<faults::EntryFault>) {
    let limit = document.limits.max_body;
    let models = document.models.iter();
    let models = models.map(|(name, section)| (format!("model {name}"), section.max_body));
    let services = document.services.iter();
    let services = services.map(|(name, section)| (format!("service {name}"), section.max_body));
    for (heading, max_body) in models.chain(services) {
        check_body_limit(&heading, max_body, limit, faults);
    }
}

fn check_body_limit(
    heading: &str,
    max_body: sizes::ByteSize,
    limit: sizes::ByteSize,
    faults: &mut Vec<faults::EntryFault>,
) {
    if max_body > limit {
        let allowed = format!("at most max-body-bytes of [limits], {limit}");
        faults.push(fault(
            heading,
            "max-body-bytes",
            max_body.to_string(),
            allowed,
        ));
    }
}

fn list_names<T: fmt::Display>(names: impl Iterator<Item = T>) -> String {
    let names = names.map(|name| name.to_string()).collect::<Vec<_>>();
    if names.is_empty() {
        return "none, since no section declares one".to_owned();
    }
    names.join(", ")
}

fn fault(section: &str, key: &str, found: String, allowed: String) -> faults::EntryFault {
    faults::EntryFault {
        section: section.to_owned(),
        key: key.to_owned(),
        found,
        allowed,
    }
}
