//! What a node knows of the way to a data centre.

use std::time;

/// Age up to which loads count as told: about twice the usual age of a digest.
const FRESH_AGE: time::Duration = time::Duration::from_millis(200);

/// Age from which loads tell nothing. Hubs drop another hub's digest after the same time.
const MAX_AGE: time::Duration = time::Duration::from_millis(1_500);

/// The state of the links to a target's data centre, and of the loads known of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CentreFacts {
    /// Age of the loads of the data centre's targets.
    pub load_age: time::Duration,
    /// Time by which answers from there come later than those of this data centre.
    pub distance: time::Duration,
    /// Whether requests are to go there at all while targets are available here.
    pub is_open: bool,
}

impl CentreFacts {
    /// Returns the requests in flight to assume at a target where `seen` were told and `slots` fit.
    ///
    /// Fresh loads are taken as they are; with their age the assumed load grows towards a full
    /// target.
    pub(super) fn assumed_in_flight(&self, seen: u32, slots: u32) -> f64 {
        let unknown = self.load_age.saturating_sub(FRESH_AGE).as_secs_f64();
        let span = MAX_AGE.saturating_sub(FRESH_AGE).as_secs_f64();
        let grown = f64::from(slots) * (unknown / span).min(1.0);
        f64::from(seen).max(grown)
    }

    /// Returns whether requests may go there: the links work and the loads are known.
    pub(super) fn is_usable(&self) -> bool {
        self.is_open && self.load_age < MAX_AGE
    }
}

impl Default for CentreFacts {
    fn default() -> Self {
        Self {
            load_age: time::Duration::ZERO,
            distance: time::Duration::ZERO,
            is_open: true,
        }
    }
}
