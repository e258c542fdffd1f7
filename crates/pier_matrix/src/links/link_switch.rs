//! Cuts and restores one direction of a link.

use std::sync;

use tokio::sync::watch;

/// Whether one direction of a link is cut; clones share the state.
#[derive(Debug, Clone)]
pub(super) struct LinkSwitch {
    is_cut: sync::Arc<watch::Sender<bool>>,
}

impl Default for LinkSwitch {
    fn default() -> Self {
        Self {
            is_cut: sync::Arc::new(watch::Sender::new(false)),
        }
    }
}

impl LinkSwitch {
    /// Cuts or restores the direction.
    pub(super) fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }

    /// Returns whether the direction is cut.
    pub(super) fn is_cut(&self) -> bool {
        *self.is_cut.borrow()
    }

    /// Waits until the direction is not cut.
    pub(super) async fn wait_open(&self) {
        let mut is_cut = self.is_cut.subscribe();
        let _closed = is_cut.wait_for(|is_cut| !is_cut).await;
    }
}
