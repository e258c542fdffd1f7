//! Names and identifiers.

mod group_id;
mod name_error;
mod names;
mod prompt_part;
mod request_fingerprint;
mod target_id;
mod tokens;

pub use group_id::GroupId;
pub use name_error::NameError;
pub(crate) use name_error::check_name;
pub use names::{
    AdapterName, CustomerName, DataCentreName, DomainName, GroupName, ModelName, NodeName,
    RegionName, ServiceName, VmName,
};
pub use prompt_part::PromptPart;
pub use request_fingerprint::RequestFingerprint;
pub use target_id::TargetId;
pub use tokens::{AttemptId, TraceId, WriteNonce};
