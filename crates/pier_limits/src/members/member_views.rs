//! Queries of a member table.

use std::collections;

use pier_types::{epochs, ids, times};
use pier_wire::messages;

use crate::members;

impl members::MemberTable {
    /// Returns all known nodes except this one, with their health.
    pub fn views(
        &self,
        now: times::BootTime,
    ) -> Vec<(&messages::MemberEntry, members::MemberHealth)> {
        self.records
            .values()
            .map(|record| (&record.entry, record.health(&self.policy, now)))
            .collect()
    }

    /// Returns the live nodes of this node's data centre, except this node.
    pub fn live_peers(
        &self,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::NodeName, messages::MemberEntry> {
        self.live(&self.own.data_centre, now)
            .map(|record| (record.entry.node.clone(), record.entry.clone()))
            .collect()
    }

    /// Returns the live nodes of a data centre that are not draining and were recently heard from
    /// directly. Requests are forwarded only to these.
    pub fn forward_peers(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> Vec<messages::MemberEntry> {
        let direct = |record: &&members::MemberRecord| {
            record
                .direct_at
                .is_some_and(|at| now.since(at) <= self.policy.suspect_after)
        };
        self.live(data_centre, now)
            .filter(direct)
            .filter(|record| !record.entry.beat.draining)
            .map(|record| record.entry.clone())
            .collect()
    }

    /// Returns when a node of this node's data centre was last heard from directly.
    pub fn peer_heard_at(&self) -> Option<times::BootTime> {
        self.records
            .values()
            .filter(|record| record.entry.data_centre == self.own.data_centre)
            .filter_map(|record| record.direct_at)
            .max()
    }

    /// Returns the highest configuration version that any node has reported.
    pub fn highest_config(&self) -> epochs::ConfigVersion {
        self.records
            .values()
            .map(|record| record.entry.beat.config)
            .fold(self.own.beat.config, epochs::ConfigVersion::max)
    }

    pub(super) fn live(
        &self,
        data_centre: &ids::DataCentreName,
        now: times::BootTime,
    ) -> impl Iterator<Item = &members::MemberRecord> {
        self.records.values().filter(move |record| {
            record.entry.data_centre == *data_centre
                && record.health(&self.policy, now) == members::MemberHealth::Alive
        })
    }
}
