//! Rendezvous hashing: each pair of names gets a score, and the highest scores are chosen.

use xxhash_rust::xxh3;

/// Returns the score of a pair of byte strings; it is the same on every node.
pub(crate) fn score(first: &[u8], second: &[u8]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&(first.len() as u64).to_le_bytes());
    hasher.update(first);
    hasher.update(second);
    hasher.digest()
}
