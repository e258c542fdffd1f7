//! Rendezvous hashing: each pair of names gets a score, the highest scores are chosen.

use xxhash_rust::xxh3;

/// Scores a pair of texts; equal on every node.
pub(crate) fn score(first: &[u8], second: &[u8]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&(first.len() as u64).to_le_bytes());
    hasher.update(first);
    hasher.update(second);
    hasher.digest()
}
