//! `[model NAME]`.

use pier_types::{ids, sizes};

use crate::documents;

/// One model and the shape of its replica groups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSection {
    /// The version of the weights, as the engines know it.
    pub version: String,
    /// VMs in one replica group.
    pub members: sizes::VmCount,
    /// What each member does.
    pub roles: documents::RoleLayout,
    /// Adapters that every replica loads.
    pub adapters: Vec<ids::AdapterName>,
    /// Requests in flight that a warm group bears.
    pub warm_limit: sizes::RequestCount,
    /// Requests in flight that a cold group bears.
    pub cold_limit: sizes::RequestCount,
    /// Tokens of prompt and answer together.
    pub context_tokens: sizes::TokenCount,
    /// Tokens of one answer.
    pub max_tokens: sizes::TokenCount,
    /// Size of one request's body.
    pub max_body: sizes::ByteSize,
    /// Bytes that one VM reads from the weight store to load the model.
    pub weight_bytes: sizes::ByteSize,
    /// Whether requests go where their prompt's prefix is cached.
    pub prefix_affinity: bool,
}
