//! The section `[model NAME]`.

use pier_types::{ids, sizes};

use crate::documents;

/// One model and the layout of its replica groups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSection {
    /// The version of the weights, as passed to the engines.
    pub version: String,
    /// Number of VMs in one replica group.
    pub members: sizes::VmCount,
    /// The roles of the members.
    pub roles: documents::RoleLayout,
    /// Adapters that every replica loads.
    pub adapters: Vec<ids::AdapterName>,
    /// Maximum in-flight requests of a warm group.
    pub warm_limit: sizes::RequestCount,
    /// Maximum in-flight requests of a cold group.
    pub cold_limit: sizes::RequestCount,
    /// Context length: maximum tokens of prompt and answer together.
    pub context_tokens: sizes::TokenCount,
    /// Maximum tokens of one answer.
    pub max_tokens: sizes::TokenCount,
    /// Maximum body size of one request.
    pub max_body: sizes::ByteSize,
    /// Bytes that one VM reads from the weight store to load the model.
    pub weight_bytes: sizes::ByteSize,
    /// Whether requests are routed to the group that has their prompt's prefix in its KV cache.
    pub prefix_affinity: bool,
}
