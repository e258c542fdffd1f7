//! The current VM list.

use std::sync;

use pier_wire::messages;

use crate::relays;

/// The current list, when it was read, and the history of its changes.
#[derive(Debug)]
pub(crate) struct CurrentList {
    current: Option<ReadList>,
    history: relays::ListHistory,
}

#[derive(Debug)]
struct ReadList {
    list: sync::Arc<relays::VmMap>,
    digest: messages::ListDigest,
    span: relays::ReadingSpan,
}

impl CurrentList {
    /// Creates an instance without a list.
    pub(crate) const fn new() -> Self {
        Self {
            current: None,
            history: relays::ListHistory::new(),
        }
    }

    /// Returns the list.
    pub(crate) fn list(&self) -> Option<&sync::Arc<relays::VmMap>> {
        self.current.as_ref().map(|current| &current.list)
    }

    /// Returns the list's digest.
    pub(crate) fn digest(&self) -> Option<messages::ListDigest> {
        self.current.as_ref().map(|current| current.digest)
    }

    /// Returns the time span in which the list was read.
    pub(crate) fn span(&self) -> Option<relays::ReadingSpan> {
        self.current.as_ref().map(|current| current.span)
    }

    /// Returns whether a reading certainly came after all readings that returned the current
    /// list.
    pub(crate) fn is_followed_by(&self, span: relays::ReadingSpan) -> bool {
        self.span().is_none_or(|current| span.follows(current))
    }

    /// Returns how the list differs from the one with the known digest; `None` without a list.
    pub(crate) fn difference(
        &self,
        known: Option<messages::ListDigest>,
    ) -> Option<messages::ListDifference> {
        let current = self.current.as_ref()?;
        let Some(known) = known else {
            return Some(messages::ListDifference::Behind);
        };
        if known == current.digest {
            return Some(messages::ListDifference::Same);
        }
        let changes = self.history.changes_since(known, &current.list);
        let digest = current.digest;
        Some(changes.map_or(messages::ListDifference::Behind, |changes| {
            messages::ListDifference::Changes { digest, changes }
        }))
    }

    /// Returns the list with changes applied; `None` without a list.
    pub(crate) fn changed_by(&self, changes: Vec<messages::ListChange>) -> Option<relays::VmMap> {
        let mut list = self.list()?.as_ref().clone();
        for change in changes {
            match change {
                messages::ListChange::Put(entry) => list.insert(entry.name.clone(), entry),
                messages::ListChange::Gone(vm) => list.remove(&vm),
            };
        }
        Some(list)
    }

    /// Replaces the list if the other one was certainly read later.
    pub(crate) fn replace(
        &mut self,
        list: relays::VmMap,
        span: relays::ReadingSpan,
    ) -> relays::RelayEvent {
        let digest = messages::ListDigest::of(list.values());
        if self.digest() == Some(digest) {
            return self.confirm(span);
        }
        if !self.is_followed_by(span) {
            return relays::RelayEvent::Ignored;
        }
        if let Some(current) = &self.current {
            self.history.record(current.digest, &current.list, &list);
        }
        self.current = Some(ReadList {
            list: sync::Arc::new(list),
            digest,
            span,
        });
        relays::RelayEvent::Changed
    }

    /// Records that a reading returned the current list again.
    pub(crate) fn confirm(&mut self, span: relays::ReadingSpan) -> relays::RelayEvent {
        let Some(current) = &mut self.current else {
            return relays::RelayEvent::Ignored;
        };
        if span.from <= current.span.from {
            return relays::RelayEvent::Ignored;
        }
        current.span = current.span.joined(span);
        relays::RelayEvent::Confirmed
    }
}
