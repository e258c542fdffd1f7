//! The sends of one request that have brought no answer yet.

use std::{future, pin, sync, time};

use futures_util::{StreamExt as _, stream};
use pier_types::ids;
use tokio::sync::watch;

use crate::state;

/// Pause before looking again for a target that takes a request whose other ones are silent.
const SEARCH_PAUSE: time::Duration = time::Duration::from_millis(60);

/// The sends of one request that are open at the same time.
///
/// A silent target may be sound and go on, so its send stays open while the request is sent to
/// another target. The first answer counts; dropping the others closes their connections.
#[derive(Debug)]
pub(super) struct OpenSends<F> {
    sends: stream::FuturesUnordered<F>,
    vms: Vec<ids::VmName>,
    /// The VMs among these whose sends have ended.
    ended_vms: Vec<ids::VmName>,
    search: TargetSearch,
}

/// What happened next to the open sends.
#[derive(Debug)]
pub(super) enum SendEvent<T> {
    /// A send ended with this outcome.
    Ended(T),
    /// The target of the newest send is silent, or its group no longer serves.
    Silent(sync::Arc<state::TargetSlot>),
    /// It is time to look for another target.
    Search,
}

/// Whether another target is to be found for a request that has open sends.
#[derive(Debug)]
enum TargetSearch {
    /// The newest target counts as silent when it is found stuck, or after this time.
    Waiting {
        slot: sync::Arc<state::TargetSlot>,
        stuck: watch::Receiver<u64>,
        patience: pin::Pin<Box<tokio::time::Sleep>>,
    },
    Searching,
    /// No other target may be asked.
    Over,
}

impl<F: future::Future> Default for OpenSends<F> {
    fn default() -> Self {
        Self {
            sends: stream::FuturesUnordered::new(),
            vms: Vec::new(),
            ended_vms: Vec::new(),
            search: TargetSearch::Searching,
        }
    }
}

impl<F: future::Future> OpenSends<F> {
    pub(super) fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.sends.len()).unwrap_or(u32::MAX)
    }

    /// Returns the VMs to which the request was sent.
    pub(super) fn vms(&self) -> &[ids::VmName] {
        &self.vms
    }

    /// Returns whether a send to this VM is open.
    pub(super) fn is_open_at(&self, vm: &ids::VmName) -> bool {
        self.vms.contains(vm) && !self.ended_vms.contains(vm)
    }

    /// Returns whether another target is to be found now.
    pub(super) fn needs_target(&self) -> bool {
        self.sends.is_empty() || self.is_searching()
    }

    /// Returns whether another target is being looked for.
    pub(super) const fn is_searching(&self) -> bool {
        matches!(self.search, TargetSearch::Searching)
    }

    /// Adds a send; its target counts as silent after `patience`.
    pub(super) fn push(
        &mut self,
        slot: &sync::Arc<state::TargetSlot>,
        patience: time::Duration,
        send: F,
    ) {
        self.ended_vms.retain(|vm| *vm != slot.vm);
        self.vms.push(slot.vm.clone());
        self.sends.push(send);
        self.search = TargetSearch::Waiting {
            slot: sync::Arc::clone(slot),
            stuck: slot.watch_stuck(),
            patience: Box::pin(tokio::time::sleep(patience)),
        };
    }

    /// Looks for another target after a send ended without an answer, unless it was not the newest
    /// one: the newest target may still answer.
    pub(super) fn replace(&mut self, ended: &sync::Arc<state::TargetSlot>) {
        self.ended_vms.push(ended.vm.clone());
        let is_older = matches!(
            &self.search,
            TargetSearch::Waiting { slot, .. } if !sync::Arc::ptr_eq(slot, ended)
        );
        if !is_older {
            self.start_search();
        }
    }

    /// Looks for another target from now on.
    pub(super) fn start_search(&mut self) {
        self.search = TargetSearch::Searching;
    }

    /// Looks for no other target any more: the open sends decide.
    pub(super) fn end_search(&mut self) {
        self.search = TargetSearch::Over;
    }

    /// Waits for the next event.
    pub(super) async fn next(&mut self) -> SendEvent<F::Output> {
        let has_sends = !self.sends.is_empty();
        let search = &mut self.search;
        let searching = async {
            match search {
                TargetSearch::Waiting {
                    slot,
                    stuck,
                    patience,
                } => {
                    tokio::select! {
                        Ok(()) = stuck.changed() => {}
                        () = patience.as_mut() => {}
                    }
                    SendEvent::Silent(sync::Arc::clone(slot))
                }
                TargetSearch::Searching => {
                    tokio::time::sleep(SEARCH_PAUSE).await;
                    SendEvent::Search
                }
                TargetSearch::Over => future::pending().await,
            }
        };
        tokio::select! {
            Some(outcome) = self.sends.next(), if has_sends => SendEvent::Ended(outcome),
            event = searching => event,
        }
    }
}
