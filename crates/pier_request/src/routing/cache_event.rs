//! What an engine says of its prefix cache.

use pier_types::epochs;

use crate::routing;

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// One numbered event of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Its number; the engine counts from 1 without leaving one out.
    pub sequence: epochs::EventSequence,
    /// What happened.
    pub change: routing::CacheChange,
    /// The prefix.
    pub prefix: routing::PrefixHash,
}
