//! Which calls may be retried.

use std::{collections, fmt, str};

/// Word that stands for calls of a model; the other words are HTTP methods.
const COMPLETIONS: &str = "completions";
/// HTTP methods that a policy may name.
const KNOWN_METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// Which calls may be retried; all others are sent at most once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RepeatPolicy {
    /// Whether calls of a model may be retried.
    pub completions: bool,
    /// HTTP methods, in capitals, of calls to plain services that may be retried.
    pub methods: collections::BTreeSet<String>,
}

impl fmt::Display for RepeatPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let completions = self.completions.then_some(COMPLETIONS);
        let methods = self.methods.iter().map(String::as_str);
        let words = completions.into_iter().chain(methods).collect::<Vec<_>>();
        if words.is_empty() {
            return f.write_str("none");
        }
        f.write_str(&words.join(", "))
    }
}

impl str::FromStr for RepeatPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut policy = Self::default();
        if text == "none" {
            return Ok(policy);
        }
        for item in text.split(',').map(str::trim) {
            if item == COMPLETIONS {
                policy.completions = true;
            } else if KNOWN_METHODS.contains(&item) {
                policy.methods.insert(item.to_owned());
            } else {
                return Err(format!("{item:?} is neither completions nor a method"));
            }
        }
        Ok(policy)
    }
}
