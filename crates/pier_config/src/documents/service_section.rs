//! The section `[service NAME]`.

use std::collections;

use pier_types::sizes;

/// One plain service: an HTTP service without a model, run by single VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSection {
    /// Maximum in-flight requests of a warm VM.
    pub warm_limit: sizes::RequestCount,
    /// Maximum in-flight requests of a cold VM.
    pub cold_limit: sizes::RequestCount,
    /// Maximum body size of one request.
    pub max_body: sizes::ByteSize,
    /// HTTP methods, in capitals, that the service declares idempotent.
    pub repeatable_methods: collections::BTreeSet<String>,
    /// Path prefixes whose calls run at most once, whatever the method.
    pub one_time_paths: Vec<String>,
}

impl ServiceSection {
    /// Returns whether a call may safely be run again.
    ///
    /// If the service has one-time paths, a path that could resolve to another one (`..`, `//` or
    /// percent escapes) is never retried.
    pub fn may_repeat(&self, method: &str, path: &str) -> bool {
        if !self.repeatable_methods.contains(method) {
            return false;
        }
        let path = path.split(['?', '#']).next().unwrap_or_default();
        if self.one_time_paths.is_empty() {
            return true;
        }
        let ambiguous = path.contains("..") || path.contains("//") || path.contains('%');
        !ambiguous
            && !self
                .one_time_paths
                .iter()
                .any(|prefix| is_under(path, prefix))
    }
}

fn is_under(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
