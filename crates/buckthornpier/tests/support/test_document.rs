//! The configuration document of the tests.

use pier_config::documents;

/// Name of the model.
pub const MODEL: &str = "redactor";

/// Name of the service that is not a model.
pub const SERVICE: &str = "libro";

/// Bearer key of a customer that allows its completions to be repeated.
pub const REPEAT_KEY: &str = "key-of-a-customer-that-repeats";

/// Bearer key of a customer that allows no request to be repeated.
pub const NO_REPEAT_KEY: &str = "key-of-a-customer-that-does-not";

/// Returns a configuration document with one data centre.
pub fn document_text(nodes: usize, groups: usize, members: usize) -> String {
    let repeating_customer = documents::KeyHash::of(REPEAT_KEY);
    let customer_without_repeat = documents::KeyHash::of(NO_REPEAT_KEY);
    let text = format!(
        "[document]
name = tests
[model {MODEL}]
version = 1
members = {members}
warm-limit = 24
cold-limit = 8
context-tokens = 1000000
max-tokens = 100000
weight-bytes = 1000
[service {SERVICE}]
warm-limit = 24
cold-limit = 8
repeatable-methods = GET, HEAD
one-time-paths = /charges
[data-centre mvd-a]
region = mvd
state = in-service
entry-slots = {nodes}
replicas.{MODEL} = {groups}
[customer repeats]
key-sha256 = {repeating_customer}
weight = 1
max-priority = normal
models = {MODEL}
services = {SERVICE}
repeat = completions, GET
retry-percent = 100
[customer does-not]
key-sha256 = {customer_without_repeat}
weight = 1
max-priority = normal
models = {MODEL}
services = {SERVICE}
repeat = none
retry-percent = 0
[limits]
weight-store-bytes-per-second = 1500000000
"
    );
    let parsed = text.parse::<documents::ConfigDocument>();
    assert!(parsed.is_ok(), "{parsed:?}");
    text
}
