//! The events that an engine reports about its prefix cache.

use pier_types::epochs;

use crate::routing;

/// A change of one prefix in the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// One numbered cache event of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// The sequence number; the engine counts from 1 without gaps.
    pub sequence: epochs::EventSequence,
    /// What happened to the prefix.
    pub change: routing::CacheChange,
    /// The prefix.
    pub prefix: routing::PrefixHash,
}
