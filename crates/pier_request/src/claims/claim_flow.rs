//! The steps from a caller's key to the right to dispatch.

use pier_types::{codes, epochs, times};

use crate::claims;

/// The version that stands for an absent object.
const ABSENT: epochs::ObjectVersion = epochs::ObjectVersion::new(0);

/// Claims one key for one request of one caller.
///
/// Only two facts grant the right to dispatch: the platform said that the conditional write of this
/// order's nonce took effect, or a read showed that nonce. Both hold at most for one order of a
/// key, since a claim is replaced only by its owner.
///
/// ```
/// use pier_request::claims;
/// use pier_types::{epochs, ids, times};
///
/// let order = claims::ClaimOrder {
///     fingerprint: ids::RequestFingerprint::of("college", "/services/lodge", b"{}"),
///     nonce: ids::WriteNonce::new(7),
///     node: "node-1".parse()?,
///     claimed_at: times::WallTime::from_millis(1_000),
///     active_until: times::WallTime::from_millis(9_000),
///     dispatch_by: times::BootTime::from_millis(5_000),
/// };
/// let now = times::BootTime::from_millis(0);
/// let (mut flow, action) = claims::ClaimFlow::start(order, now);
/// assert!(matches!(action, claims::ClaimAction::Write(_)));
/// let version = epochs::ObjectVersion::new(1);
/// let wall = times::WallTime::from_millis(1_001);
/// let action = flow.handle(claims::ClaimEvent::Written { version }, now, wall);
/// assert!(matches!(action, claims::ClaimAction::Dispatch(_)));
/// # Ok::<(), ids::NameError>(())
/// ```
#[derive(Debug)]
pub struct ClaimFlow {
    order: claims::ClaimOrder,
    step: ClaimStep,
    rounds: u32,
    may_be_written: bool,
}

/// The platform call whose result is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimStep {
    Writing,
    Reading,
    Ended,
}

impl ClaimFlow {
    /// Begins with a write that takes effect only if the key was never claimed.
    pub fn start(order: claims::ClaimOrder, now: times::BootTime) -> (Self, claims::ClaimAction) {
        let mut flow = Self {
            order,
            step: ClaimStep::Writing,
            rounds: 0,
            may_be_written: false,
        };
        let action = flow.write(ABSENT, now);
        (flow, action)
    }

    /// Takes the result of the last action and returns the next one.
    pub fn handle(
        &mut self,
        event: claims::ClaimEvent,
        now: times::BootTime,
        wall: times::WallTime,
    ) -> claims::ClaimAction {
        match (self.step, event) {
            (ClaimStep::Writing, event) => self.after_write(&event, now),
            (ClaimStep::Reading, claims::ClaimEvent::Found { version, record }) => {
                self.after_found(version, record, now, wall)
            }
            (ClaimStep::Reading, claims::ClaimEvent::Absent) => self.write(ABSENT, now),
            (ClaimStep::Reading, claims::ClaimEvent::Unreadable) => {
                self.refuse(codes::ResultCode::EarlierOutcomeUnknown)
            }
            (ClaimStep::Reading, _) => self.read(now),
            (ClaimStep::Ended, _) => self.refuse(codes::ResultCode::InternalFault),
        }
    }

    fn after_write(
        &mut self,
        event: &claims::ClaimEvent,
        now: times::BootTime,
    ) -> claims::ClaimAction {
        match event {
            claims::ClaimEvent::Written { version } => self.grant(*version, now),
            claims::ClaimEvent::NotSent if !self.may_be_written => {
                self.refuse(codes::ResultCode::PlatformUnavailable)
            }
            claims::ClaimEvent::Conflict | claims::ClaimEvent::NotSent => self.read(now),
            _ => {
                self.may_be_written = true;
                self.read(now)
            }
        }
    }

    fn after_found(
        &mut self,
        version: epochs::ObjectVersion,
        record: claims::ClaimRecord,
        now: times::BootTime,
        wall: times::WallTime,
    ) -> claims::ClaimAction {
        if record.nonce == self.order.nonce {
            return self.grant(version, now);
        }
        if record.fingerprint != self.order.fingerprint {
            return self.refuse(codes::ResultCode::ReusedKey);
        }
        match record.state {
            claims::ClaimState::Released => self.write(version, now),
            claims::ClaimState::Finished { answer } => {
                self.step = ClaimStep::Ended;
                claims::ClaimAction::Reply(answer)
            }
            claims::ClaimState::Claimed if wall < record.active_until => {
                self.refuse(codes::ResultCode::EarlierRunActive)
            }
            claims::ClaimState::Claimed
            | claims::ClaimState::FinishedUnkept
            | claims::ClaimState::Lost => self.refuse(codes::ResultCode::EarlierOutcomeUnknown),
        }
    }

    fn write(
        &mut self,
        if_version: epochs::ObjectVersion,
        now: times::BootTime,
    ) -> claims::ClaimAction {
        if self.is_over(now) {
            return self.give_up(None);
        }
        self.rounds += 1;
        self.step = ClaimStep::Writing;
        claims::ClaimAction::Write(claims::ClaimWrite {
            if_version,
            record: self.order.record(),
        })
    }

    fn read(&mut self, now: times::BootTime) -> claims::ClaimAction {
        if self.is_over(now) {
            return self.give_up(None);
        }
        self.rounds += 1;
        self.step = ClaimStep::Reading;
        claims::ClaimAction::Read {
            pause: claims::pause_after(self.rounds - 1),
        }
    }

    fn grant(
        &mut self,
        version: epochs::ObjectVersion,
        now: times::BootTime,
    ) -> claims::ClaimAction {
        if now > self.order.dispatch_by {
            // After the margin, an earlier claim of the key may have been deleted.
            self.may_be_written = true;
            return self.give_up(Some(version));
        }
        self.step = ClaimStep::Ended;
        claims::ClaimAction::Dispatch(claims::ClaimGrant::new(
            version,
            self.order.record(),
            self.order.dispatch_by,
        ))
    }

    fn is_over(&self, now: times::BootTime) -> bool {
        now > self.order.dispatch_by || self.rounds >= claims::ROUND_LIMIT
    }

    fn give_up(&mut self, version: Option<epochs::ObjectVersion>) -> claims::ClaimAction {
        self.step = ClaimStep::Ended;
        let record = self.order.record().with_state(claims::ClaimState::Released);
        let cleanup = self
            .may_be_written
            .then(|| claims::OutcomeFlow::new(version, record));
        claims::ClaimAction::Refuse {
            code: codes::ResultCode::ClaimUnknown,
            cleanup,
        }
    }

    fn refuse(&mut self, code: codes::ResultCode) -> claims::ClaimAction {
        self.step = ClaimStep::Ended;
        claims::ClaimAction::Refuse {
            code,
            cleanup: None,
        }
    }
}
