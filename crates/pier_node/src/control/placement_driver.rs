//! Follows the placement object, and writes it for the lease holder.

use pier_control::placements;
use pier_platform::objects;
use pier_types::{epochs, ids};

use crate::{control, handle};

/// Tracks the newest placement that this node knows and makes the calls on the object.
#[derive(Debug)]
pub(super) struct PlacementDriver {
    handle: handle::NodeHandle,
    events: control::EventSender,
    /// Version of the object; none until it was read.
    version: Option<epochs::ObjectVersion>,
    /// The last placement that parsed; it stays in force while later ones do not parse.
    placement: Option<placements::DataCentrePlacement>,
    /// Whether the newest value does not parse or belongs to another data centre; it is then never
    /// overwritten.
    is_blocked: bool,
    /// The write in progress.
    writing: Option<placements::DataCentrePlacement>,
}

impl PlacementDriver {
    /// Creates a driver that has no placement yet, and starts to follow the object.
    pub(super) fn new(handle: handle::NodeHandle, events: control::EventSender) -> Self {
        control::placement_calls::follow(&handle, &events);
        Self {
            handle,
            events,
            version: None,
            placement: None,
            is_blocked: false,
            writing: None,
        }
    }

    /// Returns the placement in force, if there is one.
    pub(super) fn placement(&self) -> Option<&placements::DataCentrePlacement> {
        self.placement.as_ref()
    }

    /// Returns the newest placement as the basis of the next plan, or `None` while it is unknown,
    /// invalid or being written. An absent object counts as an empty placement.
    pub(super) fn plannable(&self) -> Option<placements::DataCentrePlacement> {
        if self.version.is_none() || self.is_blocked || self.writing.is_some() {
            return None;
        }
        let empty = || placements::DataCentrePlacement::empty(self.data_centre().clone());
        Some(self.placement.clone().unwrap_or_else(empty))
    }

    /// Returns whether the object was deleted.
    pub(super) fn is_deleted(&self) -> bool {
        self.version == Some(epochs::ObjectVersion::default()) && self.placement.is_some()
    }

    /// Starts a write that replaces the newest placement.
    pub(super) fn write(&mut self, placement: placements::DataCentrePlacement) {
        let Some(version) = self.version else {
            return;
        };
        control::placement_calls::write(&self.handle, &self.events, &placement, version);
        self.writing = Some(placement);
    }

    /// Records the result of a read or a watch.
    pub(super) fn record_read(&mut self, result: objects::ReadResult) {
        match result {
            objects::ReadResult::Found { version, bytes } => self.record_value(version, &bytes),
            objects::ReadResult::Absent => self.record_absent(),
            objects::ReadResult::Unavailable { reason } => {
                log::warn!(event = "placement-unread", cause:% = reason; "");
            }
        }
    }

    /// Records the result of a write; unless it succeeded, reads the object again.
    pub(super) fn record_write(&mut self, result: objects::WriteResult) {
        let written = self.writing.take();
        match (result, written) {
            (objects::WriteResult::Written(version), Some(placement)) => {
                if self.version.is_none_or(|known| version > known) {
                    self.adopt(version, placement);
                }
            }
            (result, _) => {
                log::warn!(event = "placement-unwritten", result:? = result; "");
                control::placement_calls::read(&self.handle, &self.events);
            }
        }
    }

    fn record_value(&mut self, version: epochs::ObjectVersion, bytes: &[u8]) {
        if self.version.is_some_and(|known| version <= known) {
            return;
        }
        match placements::DataCentrePlacement::parse(bytes) {
            Ok(placement) if placement.data_centre() == self.data_centre() => {
                self.adopt(version, placement);
            }
            Ok(placement) => {
                let found = placement.data_centre();
                log::error!(event = "placement-foreign", version:% = version, found:% = found; "");
                self.block(version);
            }
            Err(error) => {
                log::error!(event = "placement-unreadable", version:% = version, cause:% = error; "");
                self.block(version);
            }
        }
    }

    /// Records that the object is absent. A deleted one is written again from the last valid
    /// placement, so that its counters continue.
    fn record_absent(&mut self) {
        self.version = Some(epochs::ObjectVersion::default());
        self.is_blocked = false;
    }

    fn block(&mut self, version: epochs::ObjectVersion) {
        self.version = Some(version);
        self.is_blocked = true;
    }

    fn adopt(
        &mut self,
        version: epochs::ObjectVersion,
        placement: placements::DataCentrePlacement,
    ) {
        self.version = Some(version);
        self.is_blocked = false;
        self.placement = Some(placement);
    }

    fn data_centre(&self) -> &ids::DataCentreName {
        &self.handle.settings().data_centre
    }
}
