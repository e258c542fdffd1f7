//! Routing: chooses the target of an attempt and never exceeds the target's share.
//!
//! A decision takes no lock: it reads an immutable [`RoutingView`] and acquires a [`RoutePermit`]
//! with an atomic update. See `docs/design/routing.md`.

mod cache_event;
mod counter_registry;
mod pool_view;
mod prefix_hash;
mod prefix_index;
mod prefix_snapshot;
mod recent_sends;
mod route_entry;
mod route_permit;
mod route_refusal;
mod route_request;
mod routing_view;
mod target_counter;
mod target_prefixes;

pub use cache_event::{CacheChange, CacheEvent};
pub use counter_registry::CounterRegistry;
pub use pool_view::PoolView;
pub use prefix_hash::PrefixHash;
pub use prefix_index::PrefixIndex;
pub use prefix_snapshot::PrefixSnapshot;
use recent_sends::RecentSends;
pub use route_entry::RouteEntry;
pub use route_permit::RoutePermit;
pub use route_refusal::RouteRefusal;
pub use route_request::RouteRequest;
pub use routing_view::RoutingView;
pub use target_counter::TargetCounter;
use target_prefixes::TargetPrefixes;

/// Returns the next number of a `SplitMix64` pseudo-random sequence.
pub(crate) const fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Maps a random number to an index below a length, without a division.
pub(crate) fn index_below(random: u64, length: usize) -> usize {
    let wide = u128::from(random) * length as u128;
    usize::try_from(wide >> 64).unwrap_or(0)
}
