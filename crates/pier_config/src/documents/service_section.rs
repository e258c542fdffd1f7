//! `[service NAME]`.

use std::collections;

use pier_types::sizes;

/// One plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSection {
    /// Requests in flight that a warm VM bears.
    pub warm_limit: sizes::RequestCount,
    /// Requests in flight that a cold VM bears.
    pub cold_limit: sizes::RequestCount,
    /// Size of one request's body.
    pub max_body: sizes::ByteSize,
    /// Methods that the service declares idempotent, in capitals.
    pub repeatable_methods: collections::BTreeSet<String>,
    /// Paths, with all below them, whose calls run at most once whatever the method.
    pub one_time_paths: Vec<String>,
}

impl ServiceSection {
    /// Tells whether the service bears a second run of a call.
    ///
    /// A path in a form that may hide another (dots, double slashes, escapes) is not repeated
    /// where any path is one-time.
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
