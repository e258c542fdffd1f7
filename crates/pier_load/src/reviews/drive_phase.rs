//! The parts of a drive.

use std::{fmt, time};

use pier_types::times;

/// A part of a drive, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrivePhase {
    /// The load has just begun, and shares do not follow it yet; judged, but not compared.
    Lead,
    /// All data centres serve.
    Before,
    /// One was just taken out.
    Leaving,
    /// It gets no new work.
    Out,
    /// It was just taken back.
    Returning,
    /// It has its whole part again.
    After,
}

impl DrivePhase {
    /// The phases that are compared, in order.
    pub const COMPARED: [Self; 5] = [
        Self::Before,
        Self::Leaving,
        Self::Out,
        Self::Returning,
        Self::After,
    ];
}

impl fmt::Display for DrivePhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Lead => "lead",
            Self::Before => "before",
            Self::Leaving => "leaving",
            Self::Out => "out",
            Self::Returning => "returning",
            Self::After => "after",
        })
    }
}

/// How long each phase lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PhaseTimes {
    /// From the first call until shares follow the load.
    pub lead: time::Duration,
    /// Before the change.
    pub before: time::Duration,
    /// From the change until no new work is expected.
    pub leaving: time::Duration,
    /// From then until it is taken back.
    pub out: time::Duration,
    /// From then until it should have its whole part.
    pub returning: time::Duration,
    /// The rest.
    pub after: time::Duration,
}

impl PhaseTimes {
    /// Returns the length of all phases together.
    pub fn total(&self) -> time::Duration {
        self.returns_at() + self.returning + self.after
    }

    /// Returns when the data centre is taken out, from the start.
    pub fn leaves_at(&self) -> time::Duration {
        self.lead + self.before
    }

    /// Returns when no new work is expected any more, from the start.
    pub fn out_at(&self) -> time::Duration {
        self.leaves_at() + self.leaving
    }

    /// Returns when the data centre is taken back, from the start.
    pub fn returns_at(&self) -> time::Duration {
        self.out_at() + self.out
    }

    /// Returns the phase of a moment.
    pub fn phase(&self, start: times::BootTime, at: times::BootTime) -> DrivePhase {
        let elapsed = at.since(start);
        if elapsed < self.lead {
            DrivePhase::Lead
        } else if elapsed < self.leaves_at() {
            DrivePhase::Before
        } else if elapsed < self.out_at() {
            DrivePhase::Leaving
        } else if elapsed < self.returns_at() {
            DrivePhase::Out
        } else if elapsed < self.returns_at() + self.returning {
            DrivePhase::Returning
        } else {
            DrivePhase::After
        }
    }
}
