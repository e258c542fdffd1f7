//! The configuration of a test bench.

use std::fmt::Write as _;

use pier_config::documents;

/// Bearer key of the bench's only customer.
pub const BEARER_KEY: &str = "bench-key";

/// The configuration document of a bench.
#[derive(Debug, Clone)]
pub struct BenchDocument {
    text: String,
}

impl BenchDocument {
    /// Creates the document for the data centres; each wants one replica group of two members.
    pub fn new<'a>(data_centres: impl IntoIterator<Item = &'a str>) -> Self {
        let mut text = HEAD.to_owned();
        for data_centre in data_centres {
            let _infallible = write!(
                text,
                "[data-centre {data_centre}]\nregion = bench\nstate = in-service\n\
                 entry-slots = 3\nreplicas.draft = 1\n\n"
            );
        }
        let hash = documents::KeyHash::of(BEARER_KEY);
        let _infallible = write!(text, "[customer bench]\nkey-sha256 = {hash}\n{CUSTOMER}");
        Self { text }
    }

    /// Returns the text of the document.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Replaces every occurrence of `from` by `to`; does nothing when there is none.
    pub fn replace(&mut self, from: &str, to: &str) {
        self.text = self.text.replace(from, to);
    }
}

const HEAD: &str = "[document]
name = bench

[model draft]
version = 1
members = 2
roles = unified
warm-limit = 12
cold-limit = 3
context-tokens = 32768
max-tokens = 4096
max-body-bytes = 1048576
weight-bytes = 1000000
prefix-affinity = yes

[service ledger]
warm-limit = 12
cold-limit = 6
max-body-bytes = 65536
repeatable-methods = GET, HEAD
one-time-paths = /charges

";

const CUSTOMER: &str = "weight = 1
max-priority = high
models = draft
services = ledger
repeat = completions, GET
retry-percent = 50

[limits]
weight-store-bytes-per-second = 1000000000
claim-retention-hours = 1
freshness-ms = 1500
deadline-default-ms = 20000
max-body-bytes = 1048576
";
