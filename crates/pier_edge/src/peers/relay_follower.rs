//! Follows the store through the relay messages of the data centre's steward.

use std::time;

use pier_types::{epochs, ids, times};

use crate::peers;

/// Follows the steward's view of the store.
#[derive(Debug, Default)]
pub(crate) struct RelayFollower {
    last_relay: Option<ReceivedRelay>,
    /// Version of the store up to which the registrations are known.
    version: Option<epochs::ObjectVersion>,
    is_behind: bool,
}

#[derive(Debug)]
struct ReceivedRelay {
    node: ids::NodeName,
    /// Version of the document that the steward has in force; `None` for a build that serves none.
    document: Option<epochs::ConfigVersion>,
    received_at: times::BootTime,
    store_age: time::Duration,
}

impl RelayFollower {
    /// Records the version up to which this node has read the registrations from the store.
    pub(crate) fn set_version(&mut self, version: epochs::ObjectVersion) {
        self.version = Some(self.version.map_or(version, |known| known.max(version)));
        self.is_behind = false;
    }

    /// Returns the version of the store up to which the registrations are known.
    pub(crate) const fn version(&self) -> Option<epochs::ObjectVersion> {
        self.version
    }

    /// Applies a relay message and returns the changes to apply; none if changes before them were
    /// missed.
    pub(crate) fn apply_beat(
        &mut self,
        beat: peers::RelayBeat,
        document: Option<epochs::ConfigVersion>,
        now: times::BootTime,
    ) -> Vec<peers::TargetChange> {
        self.last_relay = Some(ReceivedRelay {
            node: beat.node,
            document,
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

    /// Returns the version of the document that the steward has in force, while its relay messages
    /// are recent enough to rely on and its build serves what it has read.
    pub(crate) fn document(
        &self,
        limits: peers::FollowLimits,
        now: times::BootTime,
    ) -> Option<epochs::ConfigVersion> {
        let last_relay = self.last_relay.as_ref()?;
        last_relay
            .document
            .filter(|_version| self.is_following(limits, now))
    }

    /// Returns whether the relay messages are recent enough to rely on. Those of a steward that has
    /// just been replaced count, until its successor's come.
    pub(crate) fn is_following(&self, limits: peers::FollowLimits, now: times::BootTime) -> bool {
        let Some(last_relay) = &self.last_relay else {
            return false;
        };
        let silence = now.since(last_relay.received_at);
        silence < limits.silence && last_relay.store_age + silence < limits.store_age
    }

    /// Returns whether the steward is alive but has not reached the store for [`peers::MAX_STORE_AGE`].
    pub(crate) fn is_cut_off(&self, steward: Option<&ids::NodeName>, now: times::BootTime) -> bool {
        let Some(last_relay) = &self.last_relay else {
            return false;
        };
        let silence = now.since(last_relay.received_at);
        steward == Some(&last_relay.node)
            && silence < peers::FollowLimits::SHORT.silence
            && last_relay.store_age + silence >= peers::MAX_STORE_AGE
    }

    /// Returns whether the store answers the steward again after an outage, according to a relay
    /// message.
    pub(crate) fn shows_return(&self, beat: &peers::RelayBeat) -> bool {
        let age = time::Duration::from_millis(u64::from(beat.store_age_ms));
        let last_relay = self.last_relay.as_ref();
        let last_relay = last_relay.filter(|last_relay| last_relay.node == beat.node);
        age < peers::MAX_STORE_AGE
            && last_relay.is_some_and(|last_relay| last_relay.store_age >= peers::MAX_STORE_AGE)
    }

    /// Returns how long ago the last relay message came, and how old the store's answer to the steward
    /// is by now.
    pub(crate) fn ages(
        &self,
        now: times::BootTime,
    ) -> (Option<time::Duration>, Option<time::Duration>) {
        let last_relay = self.last_relay.as_ref();
        let silence = last_relay.map(|last_relay| now.since(last_relay.received_at));
        let store_age = last_relay.zip(silence);
        let store_age = store_age.map(|(last_relay, silence)| last_relay.store_age + silence);
        (silence, store_age)
    }

    /// Returns whether changes were missed, so that the whole list has to be read.
    pub(crate) const fn is_behind(&self) -> bool {
        self.is_behind || self.version.is_none()
    }
}
