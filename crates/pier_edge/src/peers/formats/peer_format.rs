//! The number of a format of the messages between nodes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Which fields and kinds of messages a node understands. Each format has those of the earlier
/// ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct PeerFormat(u8);

impl PeerFormat {
    /// Heartbeats without the port for other nodes' requests.
    pub(crate) const FIRST: Self = Self(0);

    /// The messages before formats were numbered.
    pub(crate) const UNNUMBERED: Self = Self(1);

    /// Numbered messages with an extension; summaries of data centres; the steward's list and
    /// document for its followers.
    pub(crate) const SUMMARIES: Self = Self(2);

    /// When the steward found the store back after an outage, in its relay messages.
    pub(crate) const OUTAGES: Self = Self(3);

    /// Rates of targets, with notices of leaving targets.
    pub(crate) const LIMITS: Self = Self(4);

    /// Loads at targets by urgency, with heartbeats, reports and digests.
    pub(crate) const URGENCY: Self = Self(5);

    /// The format that this build sends.
    pub(crate) const CURRENT: Self = Self::URGENCY;

    pub(crate) const fn new(number: u8) -> Self {
        Self(number)
    }

    pub(crate) const fn get(self) -> u8 {
        self.0
    }

    /// Returns whether a node of this format understands summaries, and serves what it knows of the
    /// store to other nodes.
    pub(crate) fn has_summaries(self) -> bool {
        self >= Self::SUMMARIES
    }

    /// Returns whether messages of this format carry the rates of targets.
    pub(crate) fn has_limits(self) -> bool {
        self >= Self::LIMITS
    }

    /// Returns whether loads in messages of this format have their urgency in the extension.
    pub(crate) fn has_urgency(self) -> bool {
        self >= Self::URGENCY
    }

    /// Returns whether relay messages of this format carry outages of the store.
    pub(crate) fn has_outages(self) -> bool {
        self >= Self::OUTAGES
    }
}

impl fmt::Display for PeerFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
