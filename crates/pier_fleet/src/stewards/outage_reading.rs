//! Decides when a node whose call to the store failed calls it again.

use std::time;

/// Delay after the first failed call.
const MIN_DELAY: time::Duration = time::Duration::from_millis(60);

/// Longest delay of a node on which nobody depends. Together with the call itself it is well under
/// the two seconds after an outage within which the registrations have to be complete again.
const MAX_DELAY: time::Duration = time::Duration::from_secs(1);

/// Longest delay at a steward, whose data centre's nodes depend on its relay messages.
const STEWARD_MAX_DELAY: time::Duration = time::Duration::from_millis(400);

/// Longest delay of a node that neither replaces a steward nor hears one.
const LONE_MAX_DELAY: time::Duration = time::Duration::from_secs(2);

/// Range of the delays of a node that hears a steward, whose messages show when the store answers again.
/// It calls only in case the store refuses the steward and those who would replace it.
const FOLLOWER_DELAYS: (time::Duration, time::Duration) = (
    time::Duration::from_millis(500),
    time::Duration::from_secs(4),
);

/// Failures in a row after which only one loop of a node keeps calling the store.
const MAX_OWN_RETRIES: u32 = 2;

/// Longest time that a loop waits for the success of the loop that calls, since the store may fail
/// for one connection only.
const MAX_RETURN_WAIT: time::Duration = time::Duration::from_millis(2_500);

/// Longest time that a loop waits while the calls of the other loop fail as well.
pub const MAX_OUTAGE_WAIT: time::Duration = time::Duration::from_secs(10);

/// What others expect of a node whose call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// The nodes of its data centre depend on its relay messages.
    Steward,
    /// It is among the first to read the store when the steward fails, as all nodes of small fleets
    /// are.
    FirstReader,
    /// It hears from its data centre's steward, however old that one's answers are.
    Follower,
    /// It hears no steward.
    Lone,
}

/// What a node knows as a call to the store has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutageFacts {
    /// Failed calls of this loop in a row.
    pub failures: u32,
    /// What others expect of the node.
    pub role: ReaderRole,
    /// Whether this loop is the one of its node that keeps calling the store.
    pub is_probe: bool,
    /// Whether the last call of that loop failed.
    pub is_probe_failing: bool,
}

/// What a loop does after a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageStep {
    /// It calls again after this time.
    Retry(time::Duration),
    /// It calls again once another loop's call succeeds, or after this time.
    AwaitReturn(time::Duration),
}

/// Returns what a loop does after a failed call; `draw` is a random number from 0 to 1.
///
/// An outage is found and its end noticed with few calls: by the stewards and those who replace them
/// at short intervals, and by one loop of each other node now and then.
pub fn outage_step(facts: OutageFacts, draw: f64) -> OutageStep {
    if facts.is_probe {
        return OutageStep::Retry(probe_delay(facts, draw));
    }
    if facts.is_probe_failing {
        return OutageStep::AwaitReturn(MAX_OUTAGE_WAIT);
    }
    let is_first = matches!(facts.role, ReaderRole::Steward | ReaderRole::FirstReader);
    if is_first && facts.failures <= MAX_OWN_RETRIES {
        return OutageStep::Retry(probe_delay(facts, draw));
    }
    OutageStep::AwaitReturn(MAX_RETURN_WAIT)
}

fn probe_delay(facts: OutageFacts, draw: f64) -> time::Duration {
    let (first, longest) = match facts.role {
        ReaderRole::Steward => (MIN_DELAY, STEWARD_MAX_DELAY),
        ReaderRole::FirstReader => (MIN_DELAY, MAX_DELAY),
        ReaderRole::Follower => FOLLOWER_DELAYS,
        ReaderRole::Lone => (MIN_DELAY * 2, LONE_MAX_DELAY),
    };
    grown_delay(first, longest, facts.failures, draw)
}

/// Returns the delay after some failed calls in a row, at least one, of a node on which nobody
/// depends; `draw` is a random number from 0 to 1.
pub fn retry_delay(failures: u32, draw: f64) -> time::Duration {
    grown_delay(MIN_DELAY, MAX_DELAY, failures, draw)
}

/// Doubles the first delay with each further failure and applies a random reduction of up to one
/// half.
fn grown_delay(
    first: time::Duration,
    longest: time::Duration,
    failures: u32,
    draw: f64,
) -> time::Duration {
    let doublings = failures.saturating_sub(1).min(u32::BITS - 1);
    let delay = first.saturating_mul(1 << doublings).min(longest);
    delay.mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0)
}
