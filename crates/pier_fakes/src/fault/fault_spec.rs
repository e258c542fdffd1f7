//! A fault and the calls that it strikes.

use serde::{Deserialize, Serialize};

use crate::fault;

/// A fault, how often it strikes and which calls.
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
    /// How often it strikes; without a number, until it is cleared.
    #[serde(default)]
    pub count: Option<u32>,
    /// The method of the calls that it strikes; without one, all.
    #[serde(default)]
    pub method: Option<String>,
    /// The start of their paths, without the leading slash; without one, all.
    #[serde(default)]
    pub path: Option<String>,
}

impl FaultSpec {
    /// Makes a fault that strikes every call.
    pub fn new(kind: fault::FaultKind) -> Self {
        Self {
            kind,
            count: None,
            method: None,
            path: None,
        }
    }

    /// Sets how often it strikes.
    #[must_use]
    pub fn count(mut self, count: u32) -> Self {
        self.count = Some(count);
        self
    }

    /// Sets the method of the calls that it strikes.
    #[must_use]
    pub fn method(mut self, method: &str) -> Self {
        self.method = Some(method.to_owned());
        self
    }

    /// Sets the start of the paths that it strikes.
    #[must_use]
    pub fn path(mut self, path: &str) -> Self {
        self.path = Some(path.to_owned());
        self
    }

    /// Tells whether it strikes a call.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let same_method = self.method.as_ref().is_none_or(|wanted| wanted == method);
        let start = self.path.as_deref().unwrap_or("");
        same_method && path.starts_with(start)
    }
}
