//! How a member table chooses the receivers and the contents of gossip.

use std::{collections, net};

use pier_types::{ids, times};
use pier_wire::messages;

use crate::{hashing, members};

impl members::MemberTable {
    /// Returns the nodes of this data centre that exchange gossip with other data centres,
    /// according to this node's view.
    pub fn delegates(&self, now: times::BootTime) -> collections::BTreeSet<ids::NodeName> {
        let peers = self.live(&self.own.data_centre, now);
        let mut scored = peers
            .filter(|record| !record.entry.beat.draining)
            .map(|record| &record.entry.node)
            .chain([&self.own.node])
            .map(|node| {
                (
                    hashing::score(b"delegate", node.as_str().as_bytes()),
                    node.clone(),
                )
            })
            .collect::<Vec<_>>();
        scored.sort_unstable_by(|one, two| two.cmp(one));
        scored.truncate(self.policy.delegates);
        scored.into_iter().map(|(_, node)| node).collect()
    }

    /// Plans one round. The receivers are a few nodes of this data centre, a few of other data
    /// centres if this node is a delegate, and one of `seeds`, the addresses from the settings.
    /// They differ from round to round.
    pub fn gossip(
        &mut self,
        seeds: &[net::SocketAddr],
        now: times::BootTime,
    ) -> members::GossipPlan {
        self.round = self.round.wrapping_add(1);
        let (near, far) = self
            .records
            .values()
            .partition::<Vec<_>, _>(|record| record.entry.data_centre == self.own.data_centre);
        let fanout = self.policy.fanout;
        let mut receivers = self.addresses(&near, "near", fanout);
        if self.delegates(now).contains(&self.own.node) {
            receivers.extend(self.addresses(&far, "far", fanout));
        }
        receivers.extend(choose(seeds, &self.seed("seed"), self.round, 1));
        receivers.remove(&self.own.address);
        members::GossipPlan {
            receivers,
            entries: self.sample(now),
        }
    }

    fn addresses(
        &self,
        records: &[&members::MemberRecord],
        purpose: &str,
        count: usize,
    ) -> collections::BTreeSet<net::SocketAddr> {
        let chosen = choose(records, &self.seed(purpose), self.round, count);
        chosen
            .into_iter()
            .map(|record| record.entry.address)
            .collect()
    }

    /// Returns this node's own entry and those of some other live nodes.
    fn sample(&self, now: times::BootTime) -> Vec<messages::MemberEntry> {
        let known = self
            .records
            .values()
            .filter(|record| record.health(&self.policy, now) == members::MemberHealth::Alive)
            .collect::<Vec<_>>();
        let chosen = choose(&known, &self.seed("entry"), self.round, self.policy.sample);
        let others = chosen.into_iter().map(|record| record.entry.clone());
        [self.own.clone()].into_iter().chain(others).collect()
    }

    fn seed(&self, purpose: &str) -> Vec<u8> {
        [purpose.as_bytes(), self.own.node.as_str().as_bytes()].concat()
    }
}

/// Chooses a few items, different ones in each round.
///
/// The choice hashes the seed, the round and the item's index, so that receivers and entries are
/// chosen independently of each other. A rotation of fixed length would send a receiver the same
/// entries each time.
fn choose<T: Copy>(items: &[T], seed: &[u8], round: usize, count: usize) -> Vec<T> {
    let mut scored = items
        .iter()
        .enumerate()
        .map(|(index, item)| (hashing::score(seed, &round_and_index(round, index)), *item))
        .collect::<Vec<_>>();
    scored.sort_unstable_by_key(|(score, _)| *score);
    scored.truncate(count);
    scored.into_iter().map(|(_, item)| item).collect()
}

fn round_and_index(round: usize, index: usize) -> Vec<u8> {
    [round.to_le_bytes(), index.to_le_bytes()].concat()
}
