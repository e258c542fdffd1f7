//! Edits that operators make with a single command.

use pier_types::ids;

use crate::{changes, documents, edits};

/// Section that lists the drained targets.
const DRAINED_SECTION: &str = "drained";

/// A change to one entry, which can be made whatever the rest of the document contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentEdit {
    /// Takes a data centre out of service or puts it back.
    DataCentre {
        /// The data centre.
        name: ids::DataCentreName,
        /// Its new state.
        state: documents::DataCentreState,
        /// Whether the last data centre in service may be taken out too.
        even_last: bool,
    },
    /// Drains a target.
    DrainTarget {
        /// The VM.
        vm: ids::VmName,
        /// The reason, shown to other operators.
        reason: String,
    },
    /// Ends the drain of a target.
    UndrainTarget {
        /// The VM.
        vm: ids::VmName,
    },
}

impl DocumentEdit {
    /// Returns the edited text, which is valid and differs from the base in this entry alone.
    ///
    /// # Errors
    ///
    /// Fails if the base is invalid, if the edit is not possible in it, or if changing a single
    /// line of this text would not give the intended document.
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

    /// Returns the entry's new value, or `None` to remove the entry.
    fn new_value(&self) -> Option<String> {
        match self {
            Self::DataCentre { state, .. } => Some(state.to_string()),
            Self::DrainTarget { reason, .. } => Some(reason.clone()),
            Self::UndrainTarget { .. } => None,
        }
    }

    /// Returns whether `after` contains this edit and differs from `before` in no other entry.
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
