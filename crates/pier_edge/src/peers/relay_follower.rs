//! What a node knows from its data centre's steward.

use std::time;

use pier_types::{epochs, ids, times};

use crate::peers;

/// Silence of a steward after which a node reads the store itself.
const RELAY_LIFE: time::Duration = time::Duration::from_millis(600);

/// Age of the steward's last answer from the store after which a node reads the store itself: more
/// than the steward's shortest watch, and well under the two seconds in which a leaving target has to
/// be known everywhere.
const STORE_LIFE: time::Duration = time::Duration::from_millis(1_300);

/// Follows the steward's view of the store.
#[derive(Debug, Default)]
pub(crate) struct RelayFollower {
    heard: Option<HeardRelay>,
    /// Version of the store up to which this node knows the registrations.
    at: Option<epochs::ObjectVersion>,
    is_behind: bool,
}

#[derive(Debug)]
struct HeardRelay {
    node: ids::NodeName,
    heard_at: times::BootTime,
    store_age: time::Duration,
}

impl RelayFollower {
    /// Sets up to which version this node has read the registrations itself.
    pub(crate) fn set_read(&mut self, at: epochs::ObjectVersion) {
        self.at = Some(self.at.map_or(at, |known| known.max(at)));
        self.is_behind = false;
    }

    /// Returns the version up to which this node knows the registrations.
    pub(crate) const fn read(&self) -> Option<epochs::ObjectVersion> {
        self.at
    }

    /// Takes in the steward's word and returns the changes that are new in it.
    pub(crate) fn hear(
        &mut self,
        beat: peers::RelayBeat,
        now: times::BootTime,
    ) -> Vec<peers::TargetChange> {
        self.heard = Some(HeardRelay {
            node: beat.node,
            heard_at: now,
            store_age: time::Duration::from_millis(u64::from(beat.store_age_ms)),
        });
        let Some(at) = self.at.filter(|at| *at < beat.to) else {
            return Vec::new();
        };
        if at < beat.from {
            self.is_behind = true;
            return Vec::new();
        }
        self.at = Some(beat.to);
        beat.changes
    }

    /// Tells whether this node relies on a steward's word now.
    pub(crate) fn is_following(
        &self,
        steward: Option<&ids::NodeName>,
        now: times::BootTime,
    ) -> bool {
        let Some(heard) = &self.heard else {
            return false;
        };
        let silence = now.since(heard.heard_at);
        steward == Some(&heard.node)
            && silence < RELAY_LIFE
            && heard.store_age + silence < STORE_LIFE
    }

    /// Tells whether the steward is heard of and has not reached the store for a while.
    pub(crate) fn is_parted(&self, steward: Option<&ids::NodeName>, now: times::BootTime) -> bool {
        let Some(heard) = &self.heard else {
            return false;
        };
        let silence = now.since(heard.heard_at);
        steward == Some(&heard.node)
            && silence < RELAY_LIFE
            && heard.store_age + silence >= STORE_LIFE
    }

    /// Tells whether changes were missed, so that the whole list has to be read.
    pub(crate) const fn is_behind(&self) -> bool {
        self.is_behind || self.at.is_none()
    }
}
