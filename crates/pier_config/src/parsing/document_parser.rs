//! Parses a document.

use std::{collections, str};

use pier_types::ids;

use crate::{
    documents, faults,
    parsing::{
        cross_check, customer_parser, data_centre_parser, limit_parser, model_parser,
        section_reader, service_parser,
    },
};

/// Largest document, in bytes; the platform stores no larger value.
const MAX_DOCUMENT_BYTES: usize = 1_000_000;
/// Headings that a document may contain, for error messages.
const HEADINGS: &str = "document, model NAME, service NAME, data-centre NAME, customer NAME, \
                        limits, drained";

pub(crate) fn parse_document(
    text: &str,
) -> Result<documents::ConfigDocument, faults::DocumentError> {
    let ini = load_ini(text).map_err(|fault| faults::DocumentError {
        faults: vec![fault],
    })?;
    let mut faults = Vec::new();
    let mut draft = DocumentDraft::default();
    for (heading, properties) in &ini {
        draft.read_section(heading, properties, &mut faults);
    }
    let headings = draft.headings.clone();
    let document = draft.finish(&mut faults);
    if let Some(document) = &document {
        cross_check::check(document, &headings, &mut faults);
    }
    match document {
        Some(document) if faults.is_empty() => Ok(document),
        _ => Err(faults::DocumentError { faults }),
    }
}

fn load_ini(text: &str) -> Result<ini::Ini, faults::EntryFault> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(faults::EntryFault {
            section: "document".to_owned(),
            key: String::new(),
            found: format!("{} bytes", text.len()),
            allowed: format!("at most {MAX_DOCUMENT_BYTES} bytes"),
        });
    }
    let option = ini::ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ini::ParseOption::default()
    };
    ini::Ini::load_from_str_opt(text, option).map_err(|error| faults::EntryFault {
        section: format!("line {}:{}", error.line + 1, error.col + 1),
        key: String::new(),
        found: error.msg.into_owned(),
        allowed: "[SECTION], KEY = VALUE, and comments on lines of their own".to_owned(),
    })
}

/// The sections read so far.
#[derive(Default)]
struct DocumentDraft {
    headings: collections::BTreeSet<String>,
    name: Option<String>,
    applied_by: Vec<documents::AppliedMark>,
    models: collections::BTreeMap<ids::ModelName, documents::ModelSection>,
    services: collections::BTreeMap<ids::ServiceName, documents::ServiceSection>,
    data_centres: collections::BTreeMap<ids::DataCentreName, documents::DataCentreSection>,
    customers: collections::BTreeMap<ids::CustomerName, documents::CustomerSection>,
    limits: Option<documents::LimitSection>,
    drained: collections::BTreeMap<ids::VmName, String>,
}

impl DocumentDraft {
    fn read_section(
        &mut self,
        heading: Option<&str>,
        properties: &ini::Properties,
        faults: &mut Vec<faults::EntryFault>,
    ) {
        let Some(heading) = heading else {
            for (key, _value) in properties {
                let found = "an entry before the first section".to_owned();
                faults.push(fault("", key, found, "entries within sections"));
            }
            return;
        };
        let (kind, name) = heading.split_once(' ').unwrap_or((heading, ""));
        let heading = format!("{kind} {}", name.trim());
        let heading = heading.trim();
        if !self.headings.insert(heading.to_owned()) {
            let found = "the section twice".to_owned();
            faults.push(fault(heading, "", found, "each section once"));
            return;
        }
        match (kind, name.trim()) {
            ("document", "") => self.read_document(heading, properties, faults),
            ("limits", "") => {
                let reader = section_reader::SectionReader::new(heading, properties, faults);
                self.limits = limit_parser::parse(reader);
            }
            ("drained", "") => self.read_drained(heading, properties, faults),
            ("model", name) => read_named(
                heading,
                name,
                properties,
                faults,
                &mut self.models,
                model_parser::parse,
            ),
            ("service", name) => read_named(
                heading,
                name,
                properties,
                faults,
                &mut self.services,
                service_parser::parse,
            ),
            ("data-centre", name) => read_named(
                heading,
                name,
                properties,
                faults,
                &mut self.data_centres,
                data_centre_parser::parse,
            ),
            ("customer", name) => read_named(
                heading,
                name,
                properties,
                faults,
                &mut self.customers,
                customer_parser::parse,
            ),
            _ => faults.push(fault(
                heading,
                "",
                "an unknown section".to_owned(),
                HEADINGS,
            )),
        }
    }

    fn read_document(
        &mut self,
        heading: &str,
        properties: &ini::Properties,
        faults: &mut Vec<faults::EntryFault>,
    ) {
        let mut reader = section_reader::SectionReader::new(heading, properties, faults);
        self.name = reader.text("name");
        self.applied_by = reader.names("applied-by");
        reader.finish("");
    }

    fn read_drained(
        &mut self,
        heading: &str,
        properties: &ini::Properties,
        faults: &mut Vec<faults::EntryFault>,
    ) {
        let mut reader = section_reader::SectionReader::new(heading, properties, faults);
        for (vm, reason) in reader.take_prefixed("target.") {
            if let (Ok(vm), Some(reason)) = (vm.parse(), section_reader::plain_text(reason)) {
                self.drained.insert(vm, reason);
            } else {
                let key = format!("target.{vm}");
                let allowed = format!("target.VM = {}", section_reader::TEXT_ALLOWED);
                reader.add_fault(&key, section_reader::quote(reason), &allowed);
            }
        }
        reader.finish("target.VM");
    }

    fn finish(self, faults: &mut Vec<faults::EntryFault>) -> Option<documents::ConfigDocument> {
        for heading in ["document", "limits"] {
            if !self.headings.contains(heading) {
                faults.push(fault(
                    heading,
                    "",
                    "no section".to_owned(),
                    "the section once",
                ));
            }
        }
        Some(documents::ConfigDocument {
            name: self.name?,
            applied_by: self.applied_by,
            models: self.models,
            services: self.services,
            data_centres: self.data_centres,
            customers: self.customers,
            limits: self.limits?,
            drained: self.drained,
        })
    }
}

/// Reads a section with a name in its heading.
fn read_named<'a, N, S>(
    heading: &str,
    name: &str,
    properties: &'a ini::Properties,
    faults: &'a mut Vec<faults::EntryFault>,
    sections: &mut collections::BTreeMap<N, S>,
    parse: impl FnOnce(section_reader::SectionReader<'a>) -> Option<S>,
) where
    N: str::FromStr + Ord,
{
    let Ok(name) = name.parse::<N>() else {
        let found = format!("the name {}", section_reader::quote(name));
        let allowed = "a name of 1 to 128 characters out of A-Z a-z 0-9 . _ -";
        faults.push(fault(heading, "", found, allowed));
        return;
    };
    let reader = section_reader::SectionReader::new(heading, properties, faults);
    if let Some(section) = parse(reader) {
        sections.insert(name, section);
    }
}

fn fault(section: &str, key: &str, found: String, allowed: &str) -> faults::EntryFault {
    faults::EntryFault {
        section: section.to_owned(),
        key: key.to_owned(),
        found,
        allowed: allowed.to_owned(),
    }
}
