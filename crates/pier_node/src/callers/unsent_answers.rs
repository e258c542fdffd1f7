//! The answers that callers have yet to take while the node stops.

use std::{collections, net, time};

use pier_types::times;

/// Time without progress after which a connection is not waited for: its caller takes nothing.
const STALL_TIME: time::Duration = time::Duration::from_secs(5);

/// Follows what is left of the answers to each caller.
#[derive(Debug, Default)]
pub struct UnsentAnswers {
    rests: collections::BTreeMap<Option<net::SocketAddr>, AnswerRest>,
}

/// What is left for one connection.
#[derive(Debug, Clone, Copy)]
struct AnswerRest {
    left: u64,
    changed_at: times::BootTime,
}

impl UnsentAnswers {
    /// Records how many bytes the kernel has yet to send on each connection, and how many answers
    /// the node has yet to give to the kernel.
    ///
    /// A connection has one answer at a time, so that answers beyond the connections with unsent
    /// bytes belong to connections that are not known.
    pub fn record(
        &mut self,
        unsent: &collections::BTreeMap<net::SocketAddr, u32>,
        answers: usize,
        now: times::BootTime,
    ) {
        let unknown = answers.saturating_sub(unsent.len());
        let unknown = u64::try_from(unknown).unwrap_or(u64::MAX);
        let known = unsent.iter();
        let known = known.map(|(caller, bytes)| (Some(*caller), u64::from(*bytes)));
        let present = known.chain((unknown > 0).then_some((None, unknown)));
        let rests = present.map(|(caller, left)| {
            let former = self.rests.get(&caller);
            let former = former.filter(|rest| rest.left == left);
            let changed_at = former.map_or(now, |rest| rest.changed_at);
            (caller, AnswerRest { left, changed_at })
        });
        self.rests = rests.collect();
    }

    /// Returns whether a caller is still taking an answer.
    pub fn is_any_taken(&self, now: times::BootTime) -> bool {
        let mut rests = self.rests.values();
        rests.any(|rest| now.since(rest.changed_at) < STALL_TIME)
    }

    /// Returns how many connections have something left.
    pub fn count(&self) -> usize {
        self.rests.len()
    }
}
