//! The generated text of an answer.

use xxhash_rust::xxh3;

/// Words from which tokens are made.
const WORDS: [&str; 16] = [
    "senate", "letter", "record", "college", "meter", "charge", "tenant", "cabinet", "draft",
    "review", "ledger", "invoice", "paper", "degree", "power", "notice",
];

/// An answer that depends on the prompt alone, so that any engine can resume it.
///
/// ```
/// use pier_fakes::engine;
///
/// let answer = engine::AnswerText::new("Draft a letter", 3);
/// assert_eq!(answer.token(1), engine::AnswerText::new("Draft a letter", 9).token(1));
/// assert_eq!(answer.whole(), answer.token(0) + &answer.token(1) + &answer.token(2));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerText {
    seed: u64,
    length: u64,
}

impl AnswerText {
    /// Creates the answer to a prompt, with `length` tokens.
    pub fn new(prompt: &str, length: u64) -> Self {
        Self {
            seed: xxh3::xxh3_64(prompt.as_bytes()),
            length,
        }
    }

    /// Returns the number of tokens.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the token at `index`; each but the first begins with a space.
    pub fn token(&self, index: u64) -> String {
        let hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        let word = usize::try_from(hash % WORDS.len() as u64).unwrap_or(0);
        let space = if index == 0 { "" } else { " " };
        format!("{space}{}{}", WORDS[word], (hash >> 8) % 1_000)
    }

    /// Returns the whole text.
    pub fn whole(&self) -> String {
        (0..self.length).map(|index| self.token(index)).collect()
    }
}
