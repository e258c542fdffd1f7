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
    document: epochs::ConfigVersion,
}

/// What a node applies of a steward's word.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct FollowerNews {
    pub changes: Vec<peers::TargetChange>,
    /// Whether the steward has a newer document.
    pub newer_document: bool,
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

    /// Takes in the steward's word and returns what is new in it.
    pub(crate) fn hear(
        &mut self,
        beat: peers::RelayBeat,
        own_document: epochs::ConfigVersion,
        now: times::BootTime,
    ) -> FollowerNews {
        self.heard = Some(HeardRelay {
            node: beat.node,
            heard_at: now,
            store_age: time::Duration::from_millis(u64::from(beat.store_age_ms)),
            document: beat.document,
        });
        let newer_document = beat.document > own_document;
        let Some(at) = self.at.filter(|at| *at < beat.to) else {
            return FollowerNews {
                newer_document,
                ..FollowerNews::default()
            };
        };
        if at < beat.from {
            self.is_behind = true;
            return FollowerNews {
                newer_document,
                ..FollowerNews::default()
            };
        }
        self.at = Some(beat.to);
        FollowerNews {
            changes: beat.changes,
            newer_document,
        }
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

    /// Tells whether changes were missed, so that the whole list has to be read.
    pub(crate) const fn is_behind(&self) -> bool {
        self.is_behind || self.at.is_none()
    }

    /// Returns the version of the steward's document.
    pub(crate) fn document(&self) -> Option<epochs::ConfigVersion> {
        self.heard.as_ref().map(|heard| heard.document)
    }
}
