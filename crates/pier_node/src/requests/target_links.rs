//! The links from this node to targets that are in doubt.

use std::{collections, net, sync};

use arc_swap::ArcSwap;

/// What is known of a link that is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// It is being checked, or was sound a moment ago.
    Checked,
    /// The target, or the network on the way to it, refuses or resets connections.
    Refusing,
    /// No connection is made in time; what was sent on older connections is not answered either.
    Silent,
}

impl LinkState {
    /// Returns whether no request is to be sent over the link.
    pub(super) const fn is_down(self) -> bool {
        !matches!(self, Self::Checked)
    }
}

/// The state of each link that is in doubt, by the address of its target; all others are sound.
#[derive(Debug, Default)]
pub(super) struct TargetLinks {
    states: ArcSwap<collections::BTreeMap<net::SocketAddr, LinkState>>,
}

impl TargetLinks {
    /// Returns the state of a link; `None` if nothing casts doubt on it.
    pub(super) fn state(&self, address: net::SocketAddr) -> Option<LinkState> {
        self.states.load().get(&address).copied()
    }

    /// Returns whether no request is to be sent to a target.
    pub(super) fn is_down(&self, address: net::SocketAddr) -> bool {
        self.state(address).is_some_and(LinkState::is_down)
    }

    /// Stores the state of a link; returns the former one.
    pub(super) fn set(&self, address: net::SocketAddr, state: LinkState) -> Option<LinkState> {
        let change = |states: &sync::Arc<collections::BTreeMap<_, _>>| {
            let mut states = collections::BTreeMap::clone(states);
            states.insert(address, state);
            states
        };
        self.states.rcu(change).get(&address).copied()
    }

    /// Puts a link in doubt; returns whether it was not in doubt before.
    pub(super) fn doubt(&self, address: net::SocketAddr) -> bool {
        if self.states.load().contains_key(&address) {
            return false;
        }
        let change = |states: &sync::Arc<collections::BTreeMap<_, _>>| {
            let mut states = collections::BTreeMap::clone(states);
            states.entry(address).or_insert(LinkState::Checked);
            states
        };
        !self.states.rcu(change).contains_key(&address)
    }

    /// Ends the doubt about a link that is not down; returns whether it ended.
    pub(super) fn clear(&self, address: net::SocketAddr) -> bool {
        self.remove_if(address, |state| !state.is_down())
    }

    /// Forgets a link to a target that is no longer listed.
    pub(super) fn forget(&self, address: net::SocketAddr) {
        self.remove_if(address, |_state| true);
    }

    fn remove_if(&self, address: net::SocketAddr, may_remove: impl Fn(LinkState) -> bool) -> bool {
        let change = |states: &sync::Arc<collections::BTreeMap<_, _>>| {
            let mut states = collections::BTreeMap::clone(states);
            if states.get(&address).is_some_and(|state| may_remove(*state)) {
                states.remove(&address);
            }
            states
        };
        let former = self.states.rcu(change);
        former.get(&address).is_none_or(|state| may_remove(*state))
    }
}
