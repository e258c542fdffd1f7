//! The configuration document.

use std::{collections, str};

use pier_types::ids;

use crate::{documents, faults, parsing};

/// Key of the document in the platform's object store.
pub const DOCUMENT_KEY: &str = "config/document";

/// Prefix of the keys under which commands keep earlier versions, to explain conflicts.
pub const HISTORY_PREFIX: &str = "config/history/";

/// The validated configuration document.
///
/// ```
/// use pier_config::documents;
///
/// let refused = "[document]\nnmae = first\n".parse::<documents::ConfigDocument>();
/// assert!(refused.is_err_and(|error| error.to_string().contains("[document] nmae")));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Name that operators give the document.
    pub name: String,
    /// Marks of the commands that wrote the most recent versions, newest first.
    pub applied_by: Vec<documents::AppliedMark>,
    /// The models.
    pub models: collections::BTreeMap<ids::ModelName, documents::ModelSection>,
    /// The plain services.
    pub services: collections::BTreeMap<ids::ServiceName, documents::ServiceSection>,
    /// The data centres.
    pub data_centres: collections::BTreeMap<ids::DataCentreName, documents::DataCentreSection>,
    /// The customers.
    pub customers: collections::BTreeMap<ids::CustomerName, documents::CustomerSection>,
    /// System-wide limits.
    pub limits: documents::LimitSection,
    /// VMs that operators drained, each with the reason; they get no new work.
    pub drained: collections::BTreeMap<ids::VmName, String>,
}

impl ConfigDocument {
    /// Returns the customer that a bearer key belongs to.
    pub fn customer_of(
        &self,
        key: &str,
    ) -> Option<(&ids::CustomerName, &documents::CustomerSection)> {
        let hash = documents::KeyHash::of(key);
        self.customers
            .iter()
            .find(|(_name, section)| section.key_hash == hash)
    }

    /// Returns whether a VM may get new work: its data centre is in service and it is not drained.
    pub fn admits(&self, data_centre: &ids::DataCentreName, vm: &ids::VmName) -> bool {
        self.is_in_service(data_centre) && !self.drained.contains_key(vm)
    }

    /// Returns whether the document names a data centre and has it in service.
    pub fn is_in_service(&self, data_centre: &ids::DataCentreName) -> bool {
        let section = self.data_centres.get(data_centre);
        section.is_some_and(|section| section.state == documents::DataCentreState::InService)
    }
}

impl str::FromStr for ConfigDocument {
    type Err = faults::DocumentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parsing::parse_document(text)
    }
}
