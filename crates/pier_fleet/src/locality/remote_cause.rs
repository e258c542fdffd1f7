//! Why a request leaves its data centre, and whether the operators let it.

use crate::dispatch;

/// Percentage that leaves no request out.
const ALL_PERCENT: u32 = 100;

/// Multiplier of the hash that decorrelates this use of a draw from others.
const HASH_MULTIPLIER: u32 = 0x9E37_79B1;

/// Why a request is sent to another data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemoteCause {
    /// The own data centre has no target of the service.
    NoTarget,
    /// No target of the own data centre is available.
    Unavailable,
    /// Leaving pays: the own data centre would answer later by more than the price.
    Gain,
}

impl RemoteCause {
    /// Returns why a request with these candidates leaves.
    pub fn of(candidates: &[dispatch::LoadFacts]) -> Self {
        let mut local = candidates.iter().filter(|load| load.is_local).peekable();
        if local.peek().is_none() {
            Self::NoTarget
        } else if local.all(|load| load.is_unavailable) {
            Self::Unavailable
        } else {
            Self::Gain
        }
    }

    /// Returns the name in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::Unavailable => "unavailable",
            Self::Gain => "gain",
        }
    }
}

/// Returns whether a target of the own data centre is available.
pub fn has_local(candidates: &[dispatch::LoadFacts]) -> bool {
    let mut candidates = candidates.iter();
    candidates.any(|load| load.is_local && !load.is_unavailable)
}

/// Returns whether a request may leave when `percent` of all may; `draw` is uniformly distributed.
pub fn may_leave(percent: u32, draw: u32) -> bool {
    let hashed = draw.wrapping_mul(HASH_MULTIPLIER) >> 16;
    hashed % ALL_PERCENT < percent
}
