//! Which numbers of one sender were seen.

/// Numbers below the highest that are still told apart.
const WINDOW_BITS: u64 = 128;

/// Remembers the highest sequence number and the 128 up to it.
///
/// ```
/// use pier_wire::seals;
///
/// let mut window = seals::ReplayWindow::default();
/// assert!(window.accept(7));
/// assert!(window.accept(5));
/// assert!(!window.accept(7));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    seen: u128,
}

impl ReplayWindow {
    /// Takes a number in; false if it was seen or lies too far behind.
    pub const fn accept(&mut self, sequence: u64) -> bool {
        if self.seen == 0 || sequence > self.highest {
            self.advance(sequence);
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW_BITS {
            return false;
        }
        let bit = 1_u128 << behind;
        let fresh = self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }

    const fn advance(&mut self, sequence: u64) {
        let step = sequence.saturating_sub(self.highest);
        self.seen = if step >= WINDOW_BITS {
            1
        } else {
            (self.seen << step) | 1
        };
        self.highest = sequence;
    }
}
