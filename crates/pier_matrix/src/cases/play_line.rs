//! One line of a play or of its expectations.

use std::str;

use crate::cases;

/// A verb, its positional arguments, and its `name=value` options.
///
/// ```
/// use pier_matrix::cases;
///
/// let line: cases::PlayLine = "send A node-1 POST /charge key=k1".parse()?;
/// assert_eq!(line.verb, "send");
/// assert_eq!(line.option("key"), Some("k1"));
/// # Ok::<(), cases::CaseError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlayLine {
    /// The action or expectation.
    pub verb: String,
    /// The positional arguments.
    pub words: Vec<String>,
    options: Vec<(String, String)>,
}

impl PlayLine {
    /// Returns the value of an option.
    pub fn option(&self, name: &str) -> Option<&str> {
        let mut options = self.options.iter();
        let option = options.find(|(found, _value)| found == name)?;
        Some(&option.1)
    }

    /// Returns a positional argument by its index.
    ///
    /// # Errors
    ///
    /// Fails when the line has too few of them.
    pub fn word(&self, index: usize) -> Result<&str, cases::CaseError> {
        let missing =
            || cases::CaseError::new(format!("{} is missing argument {}", self.verb, index + 1));
        self.words
            .get(index)
            .map(String::as_str)
            .ok_or_else(missing)
    }

    /// Returns the positional arguments from `index` on, joined by spaces.
    pub fn rest(&self, index: usize) -> String {
        self.words.get(index..).unwrap_or_default().join(" ")
    }
}

impl str::FromStr for PlayLine {
    type Err = cases::CaseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split_whitespace();
        let verb = parts.next();
        let verb = verb.ok_or_else(|| cases::CaseError::new("an empty line"))?;
        let mut line = Self {
            verb: verb.to_owned(),
            words: Vec::new(),
            options: Vec::new(),
        };
        for part in parts {
            match part.split_once('=') {
                Some((name, value)) if is_option(name) => {
                    line.options.push((name.to_owned(), value.to_owned()));
                }
                _ => line.words.push(part.to_owned()),
            }
        }
        Ok(line)
    }
}

fn is_option(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'-')
}
