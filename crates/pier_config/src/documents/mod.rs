//! The typed content of the document.

mod applied_mark;
mod config_document;
mod customer_section;
mod data_centre_section;
mod data_centre_state;
mod document_entry;
mod entry_list;
mod key_hash;
mod limit_section;
mod model_section;
mod repeat_policy;
mod replica_count;
mod retry_percent;
mod role_layout;
mod service_section;

pub use applied_mark::AppliedMark;
pub use config_document::{ConfigDocument, DOCUMENT_KEY, HISTORY_PREFIX};
pub use customer_section::CustomerSection;
pub use data_centre_section::DataCentreSection;
pub use data_centre_state::DataCentreState;
pub use document_entry::DocumentEntry;
pub use key_hash::KeyHash;
pub use limit_section::LimitSection;
pub use model_section::ModelSection;
pub use repeat_policy::RepeatPolicy;
pub use replica_count::ReplicaCount;
pub use retry_percent::RetryPercent;
pub use role_layout::RoleLayout;
pub use service_section::ServiceSection;
