//! A fault and the calls to which it applies.

use serde::{Deserialize, Serialize};

use crate::fault;

/// A fault, how often it applies, and to which calls.
///
/// ```
/// use pier_fakes::fault;
///
/// let text = r#"{"kind": "slow", "ms": 50, "count": 2, "path": "objects/claim"}"#;
/// let spec: fault::FaultSpec = serde_json::from_str(text)?;
/// assert_eq!(spec.kind, fault::FaultKind::Slow { ms: 50 });
/// assert!(spec.matches("PUT", "objects/claim/a/1"));
/// assert!(!spec.matches("GET", "vms"));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultSpec {
    /// The fault.
    #[serde(flatten)]
    pub kind: fault::FaultKind,
    /// How often it applies; without a count, until it is cleared.
    #[serde(default)]
    pub count: Option<u32>,
    /// The method of the calls to which it applies; without one, all.
    #[serde(default)]
    pub method: Option<String>,
    /// The path prefix of the calls, without the leading slash; without one, all.
    #[serde(default)]
    pub path: Option<String>,
}

impl FaultSpec {
    /// Creates a fault that applies to every call.
    pub fn new(kind: fault::FaultKind) -> Self {
        Self {
            kind,
            count: None,
            method: None,
            path: None,
        }
    }

    /// Sets how often it applies.
    #[must_use]
    pub fn count(mut self, count: u32) -> Self {
        self.count = Some(count);
        self
    }

    /// Restricts it to calls with a method.
    #[must_use]
    pub fn method(mut self, method: &str) -> Self {
        self.method = Some(method.to_owned());
        self
    }

    /// Restricts it to calls whose path starts with `path`.
    #[must_use]
    pub fn path(mut self, path: &str) -> Self {
        self.path = Some(path.to_owned());
        self
    }

    /// Returns whether the method and path of a call match.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let same_method = self.method.as_ref().is_none_or(|wanted| wanted == method);
        let start = self.path.as_deref().unwrap_or("");
        same_method && path.starts_with(start)
    }
}
