//! The edits that operators make by one command.

use pier_types::ids;

use crate::{changes, documents, edits};

/// Section that lists drained targets.
const DRAINED_SECTION: &str = "drained";

/// One change that holds whatever else changes in the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentEdit {
    /// Takes a data centre out of service or back.
    DataCentre {
        /// The data centre.
        name: ids::DataCentreName,
        /// Its new state.
        state: documents::DataCentreState,
        /// Whether the last one in service may go out too.
        even_last: bool,
    },
    /// Takes a target out.
    DrainTarget {
        /// The VM.
        vm: ids::VmName,
        /// Why, for other operators.
        reason: String,
    },
    /// Lets a target come back.
    UndrainTarget {
        /// The VM.
        vm: ids::VmName,
    },
}

impl DocumentEdit {
    /// Returns the edited text, which parses and differs from the base in just this edit.
    ///
    /// # Errors
    ///
    /// Fails when the base is refused, when the edit makes no sense there, or when the text is laid
    /// out so that a change by line would do something else.
    pub fn apply(&self, base: &str) -> Result<String, edits::EditError> {
        let document = parse(base).map_err(edits::EditError::BaseInvalid)?;
        self.check(&document)?;
        let mut text = edits::DocumentText::new(base);
        let (section, key) = self.location();
        match self.new_value() {
            Some(value) => text.set(&section, &key, &value),
            None => {
                text.remove(&section, &key);
            }
        }
        let text = text.to_string();
        let edited = parse(&text).map_err(edits::EditError::ResultInvalid)?;
        if !self.is_only_change(&document, &edited) {
            return Err(edits::EditError::ResultUnexpected);
        }
        Ok(text)
    }

    fn check(&self, document: &documents::ConfigDocument) -> Result<(), edits::EditError> {
        match self {
            Self::DataCentre {
                name,
                state,
                even_last,
            } => {
                let sections = &document.data_centres;
                if !sections.contains_key(name) {
                    return Err(edits::EditError::UnknownDataCentre {
                        name: name.clone(),
                        known: sections.keys().cloned().collect(),
                    });
                }
                let mut others = sections.keys().filter(|other| *other != name);
                let another = others.any(|other| document.is_in_service(other));
                let takes_out = *state == documents::DataCentreState::OutOfService;
                if takes_out && !another && !even_last {
                    return Err(edits::EditError::LastDataCentre(name.clone()));
                }
            }
            Self::DrainTarget { .. } => {}
            Self::UndrainTarget { vm } => {
                if !document.drained.contains_key(vm) {
                    return Err(edits::EditError::NotDrained(vm.clone()));
                }
            }
        }
        Ok(())
    }

    /// Returns the section and key of the entry.
    fn location(&self) -> (String, String) {
        match self {
            Self::DataCentre { name, .. } => (format!("data-centre {name}"), "state".to_owned()),
            Self::DrainTarget { vm, .. } | Self::UndrainTarget { vm } => {
                (DRAINED_SECTION.to_owned(), format!("target.{vm}"))
            }
        }
    }

    /// Returns the entry's new value; none when it is to go.
    fn new_value(&self) -> Option<String> {
        match self {
            Self::DataCentre { state, .. } => Some(state.to_string()),
            Self::DrainTarget { reason, .. } => Some(reason.clone()),
            Self::UndrainTarget { .. } => None,
        }
    }

    /// Tells whether two documents differ in this edit at most, and the edit is in place.
    fn is_only_change(
        &self,
        before: &documents::ConfigDocument,
        after: &documents::ConfigDocument,
    ) -> bool {
        let (section, key) = self.location();
        let diff = changes::DocumentDiff::between(before, after);
        let mut others = diff.changes.iter();
        let others = others.any(|change| change.section != section || change.key != key);
        let entries = after.entries();
        let mut candidates = entries.iter();
        let entry = candidates.find(|entry| entry.section == section && entry.key == key);
        !others && entry.map(|entry| entry.value.clone()) == self.new_value()
    }
}

fn parse(text: &str) -> Result<documents::ConfigDocument, crate::faults::DocumentError> {
    text.parse()
}
