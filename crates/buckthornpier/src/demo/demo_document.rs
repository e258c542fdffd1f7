//! The configuration document of the demonstration.

use pier_config::documents;

/// Name of the model.
pub(super) const MODEL: &str = "drafter";

/// Name of the service that is not a model.
pub(super) const SERVICE: &str = "ledger";

/// Name of the data centre.
pub(super) const DATA_CENTRE: &str = "demo-a";

/// The bearer key of the only customer.
pub(super) const CALLER_KEY: &str = "demo-key";

/// Number of nodes.
pub(super) const NODES: usize = 2;

/// VMs in each replica group.
pub(super) const MEMBERS: usize = 2;

/// Number of replica groups.
pub(super) const GROUPS: usize = 2;

/// Returns the text of the document.
pub(super) fn text() -> String {
    let key_hash = documents::KeyHash::of(CALLER_KEY);
    format!(
        "[document]
name = demo
[model {MODEL}]
version = 1
members = {MEMBERS}
warm-limit = 16
cold-limit = 8
context-tokens = 8192
max-tokens = 1024
weight-bytes = 1000
[service {SERVICE}]
warm-limit = 16
cold-limit = 8
repeatable-methods = GET, HEAD
one-time-paths = /charges
[data-centre {DATA_CENTRE}]
region = demo
state = in-service
entry-slots = {NODES}
replicas.{MODEL} = {GROUPS}
[customer demo]
key-sha256 = {key_hash}
weight = 1
max-priority = normal
models = {MODEL}
services = {SERVICE}
repeat = completions, GET
retry-percent = 100
[limits]
weight-store-bytes-per-second = 1000000000
"
    )
}
