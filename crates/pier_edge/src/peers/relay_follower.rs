//! What a node knows from its data centre's steward.

use std::time;

use pier_types::{epochs, ids, times};

use crate::peers;

/// Silence of a steward after which a node reads the store itself.
const RELAY_LIFETIME: time::Duration = time::Duration::from_millis(600);

/// Age of the steward's last answer from the store after which a node reads the store itself: more
/// than the steward's shortest watch, and well under the two seconds in which a leaving target has to
/// be known everywhere.
const STORE_LIFETIME: time::Duration = time::Duration::from_millis(1_300);

/// Follows the steward's view of the store.
#[derive(Debug, Default)]
pub(crate) struct RelayFollower {
    last_relay: Option<ReceivedRelay>,
    /// Version of the store up to which this node knows the registrations.
    version: Option<epochs::ObjectVersion>,
    is_behind: bool,
}

#[derive(Debug)]
struct ReceivedRelay {
    node: ids::NodeName,
    received_at: times::BootTime,
    store_age: time::Duration,
}

impl RelayFollower {
    /// Sets up to which version this node has read the registrations itself.
    pub(crate) fn set_version(&mut self, version: epochs::ObjectVersion) {
        self.version = Some(self.version.map_or(version, |known| known.max(version)));
        self.is_behind = false;
    }

    /// Returns the version up to which this node knows the registrations.
    pub(crate) const fn version(&self) -> Option<epochs::ObjectVersion> {
        self.version
    }

    /// Takes in the steward's word and returns the changes that are new in it.
    pub(crate) fn apply_beat(
        &mut self,
        beat: peers::RelayBeat,
        now: times::BootTime,
    ) -> Vec<peers::TargetChange> {
        self.last_relay = Some(ReceivedRelay {
            node: beat.node,
            received_at: now,
            store_age: time::Duration::from_millis(u64::from(beat.store_age_ms)),
        });
        let Some(version) = self.version.filter(|version| *version < beat.to) else {
            return Vec::new();
        };
        if version < beat.from {
            self.is_behind = true;
            return Vec::new();
        }
        self.version = Some(beat.to);
        beat.changes
    }

    /// Tells whether this node relies on a steward's word now.
    pub(crate) fn is_following(
        &self,
        steward: Option<&ids::NodeName>,
        now: times::BootTime,
    ) -> bool {
        let Some(last_relay) = &self.last_relay else {
            return false;
        };
        let silence = now.since(last_relay.received_at);
        steward == Some(&last_relay.node)
            && silence < RELAY_LIFETIME
            && last_relay.store_age + silence < STORE_LIFETIME
    }

    /// Tells whether the steward is heard of and has not reached the store for a while.
    pub(crate) fn is_cut_off(&self, steward: Option<&ids::NodeName>, now: times::BootTime) -> bool {
        let Some(last_relay) = &self.last_relay else {
            return false;
        };
        let silence = now.since(last_relay.received_at);
        steward == Some(&last_relay.node)
            && silence < RELAY_LIFETIME
            && last_relay.store_age + silence >= STORE_LIFETIME
    }

    /// Tells whether changes were missed, so that the whole list has to be read.
    pub(crate) const fn is_behind(&self) -> bool {
        self.is_behind || self.version.is_none()
    }
}
