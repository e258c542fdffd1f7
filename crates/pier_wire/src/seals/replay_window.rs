//! The recently received sequence numbers of one sender.

/// Number of sequence numbers up to the highest that are remembered one by one.
const WINDOW_BITS: u64 = 128;

/// Remembers which of the 128 sequence numbers up to the highest were received.
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
    /// Records a sequence number; returns false if it was seen before or is too old to tell.
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
