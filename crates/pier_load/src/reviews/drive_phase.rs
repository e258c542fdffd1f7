//! The phases of a drive.

use std::{fmt, time};

use pier_types::times;

/// A phase of a drive, in order of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrivePhase {
    /// The load has just begun and shares do not follow it yet; its calls are checked, but its
    /// figures are not compared with other phases.
    Lead,
    /// All data centres serve.
    Before,
    /// One was just taken out of service.
    Leaving,
    /// It receives no new work.
    Out,
    /// It was just put back into service.
    Returning,
    /// It has its full part of the load again.
    After,
}

impl DrivePhase {
    /// The phases whose figures are compared, in order.
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
    /// Until the data centre is taken out.
    pub before: time::Duration,
    /// From then until it should receive no new work.
    pub leaving: time::Duration,
    /// From then until it is put back.
    pub out: time::Duration,
    /// From then until it should have its full part of the load.
    pub returning: time::Duration,
    /// From then until the end of the load.
    pub after: time::Duration,
}

impl PhaseTimes {
    /// Returns the total length of all phases.
    pub fn total(&self) -> time::Duration {
        self.returns_at() + self.returning + self.after
    }

    /// Returns when the data centre is taken out, from the start.
    pub fn leaves_at(&self) -> time::Duration {
        self.lead + self.before
    }

    /// Returns when no more new work is expected, from the start.
    pub fn out_at(&self) -> time::Duration {
        self.leaves_at() + self.leaving
    }

    /// Returns when the data centre is put back, from the start.
    pub fn returns_at(&self) -> time::Duration {
        self.out_at() + self.out
    }

    /// Returns the phase at the time `at` of a drive that began at `start`.
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
