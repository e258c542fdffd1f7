//! The load of a candidate target.

use std::time;

use crate::{locality, urgency};

/// State of one candidate target. The counts include requests from all nodes, as far as this node
/// has received their load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadFacts {
    /// Requests whose first part has arrived.
    pub running: u32,
    /// Requests that were sent and have not produced a first part yet.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests.
    pub waiting_prompt: u64,
    /// The waiting requests by urgency.
    pub mix: urgency::WaitingMix,
    /// Requests that the target processes concurrently.
    pub slots: u32,
    /// Factor by which the target is slower than its published times, 1 or more.
    pub slowness: f64,
    /// Share of recent answers that failed, 0 to 1.
    pub failure_rate: f64,
    /// Whether the target is in this node's data centre.
    pub is_local: bool,
    /// The links to a target in another data centre, and the age of its load.
    pub centre: locality::CentreFacts,
    /// Whether this node may not send to the target now: its connections are full, it is stuck, or
    /// this node's share of its cold rate is used up.
    pub is_unavailable: bool,
    /// Mean time of an answer; used for plain (non-streaming) targets.
    pub answer_time: time::Duration,
}

impl LoadFacts {
    /// Returns the number of requests in flight.
    pub const fn in_flight(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Returns the load that a request of this urgency finds ahead of it at a target that processes
    /// `batch` requests at a time.
    ///
    /// Less urgent requests are ahead of it only where places are free for them: they start at once
    /// and are not interrupted. Those that wait for a place are overtaken.
    #[must_use]
    pub fn ahead_of(self, class: urgency::UrgencyClass, batch: u32) -> Self {
        let waiting = urgency::WaitingWork {
            requests: self.waiting,
            prompt: self.waiting_prompt,
        };
        let mut ahead = self.mix.up_to(class, waiting);
        let places = batch.saturating_sub(self.running);
        let started = places.saturating_sub(ahead.requests);
        ahead += waiting.without(ahead).part(started);
        Self {
            waiting: ahead.requests,
            waiting_prompt: ahead.prompt,
            ..self
        }
    }
}
