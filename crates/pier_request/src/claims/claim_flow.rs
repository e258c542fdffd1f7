//! The state machine that claims a key.

use pier_types::{codes, epochs, times};

use crate::claims;

/// The version that a write expects when the object must not exist.
const ABSENT: epochs::ObjectVersion = epochs::ObjectVersion::new(0);

/// State machine that claims a key for one request; the driver carries out its actions.
///
/// The request may be dispatched only if the platform confirmed the conditional write of this
/// request's nonce, or if a read returned that nonce. This holds for at most one request of a key,
/// since only its owner replaces a claim.
///
/// ```
/// use pier_request::claims;
/// use pier_types::{epochs, ids, times};
///
/// let request = claims::ClaimRequest {
///     fingerprint: ids::RequestFingerprint::of("college", "/services/lodge", b"{}"),
///     nonce: ids::WriteNonce::new(7),
///     node: "node-1".parse()?,
///     claimed_at: times::WallTime::from_millis(1_000),
///     active_until: times::WallTime::from_millis(9_000),
///     dispatch_by: times::BootTime::from_millis(5_000),
/// };
/// let now = times::BootTime::from_millis(0);
/// let (mut flow, action) = claims::ClaimFlow::start(request, now);
/// assert!(matches!(action, claims::ClaimAction::Write(_)));
/// let version = epochs::ObjectVersion::new(1);
/// let wall = times::WallTime::from_millis(1_001);
/// let action = flow.handle(claims::ClaimEvent::Written { version }, now, wall);
/// assert!(matches!(action, claims::ClaimAction::Dispatch(_)));
/// # Ok::<(), ids::NameError>(())
/// ```
#[derive(Debug)]
pub struct ClaimFlow {
    request: claims::ClaimRequest,
    step: ClaimStep,
    calls: u32,
    may_be_written: bool,
}

/// The kind of platform call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimStep {
    Writing,
    Reading,
    Ended,
}

impl ClaimFlow {
    /// Starts with a write that takes effect only if no claim of the key exists.
    pub fn start(
        request: claims::ClaimRequest,
        now: times::BootTime,
    ) -> (Self, claims::ClaimAction) {
        let mut flow = Self {
            request,
            step: ClaimStep::Writing,
            calls: 0,
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
        if record.nonce == self.request.nonce {
            return self.grant(version, now);
        }
        if record.fingerprint != self.request.fingerprint {
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
        if self.is_exhausted(now) {
            return self.give_up(None);
        }
        self.calls += 1;
        self.step = ClaimStep::Writing;
        claims::ClaimAction::Write(claims::ClaimWrite {
            if_version,
            record: self.request.record(),
        })
    }

    fn read(&mut self, now: times::BootTime) -> claims::ClaimAction {
        if self.is_exhausted(now) {
            return self.give_up(None);
        }
        self.calls += 1;
        self.step = ClaimStep::Reading;
        claims::ClaimAction::Read {
            backoff: claims::backoff_after(self.calls - 1),
        }
    }

    fn grant(
        &mut self,
        version: epochs::ObjectVersion,
        now: times::BootTime,
    ) -> claims::ClaimAction {
        if now > self.request.dispatch_by {
            // Past `dispatch_by` an earlier claim of the key may have expired and been deleted, so
            // that owning this one does not prove that the request never ran.
            self.may_be_written = true;
            return self.give_up(Some(version));
        }
        self.step = ClaimStep::Ended;
        claims::ClaimAction::Dispatch(claims::ClaimGrant::new(
            version,
            self.request.record(),
            self.request.dispatch_by,
        ))
    }

    fn is_exhausted(&self, now: times::BootTime) -> bool {
        now > self.request.dispatch_by || self.calls >= claims::MAX_CALLS
    }

    fn give_up(&mut self, version: Option<epochs::ObjectVersion>) -> claims::ClaimAction {
        self.step = ClaimStep::Ended;
        let record = self
            .request
            .record()
            .with_state(claims::ClaimState::Released);
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
