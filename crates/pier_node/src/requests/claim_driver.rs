//! Performs the platform calls of a claim.

use std::time;

use pier_platform::objects;
use pier_request::claims;
use pier_types::{codes, times::clocks};

/// Time-out of one call to the platform.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Reads and writes one claim record on the platform.
#[derive(Debug, Clone)]
pub(super) struct ClaimDriver {
    objects: objects::ObjectClient,
    key: String,
}

/// Whether a claimed request may be dispatched.
#[derive(Debug)]
pub(super) enum ClaimDecision {
    /// The request may be dispatched.
    Dispatch(claims::ClaimGrant),
    /// The request has already run; this is its stored answer.
    Reply(claims::StoredAnswer),
    /// The request must not be dispatched.
    Refuse {
        /// The result code for the caller.
        code: codes::ResultCode,
        /// The writes that release the key, if it has to be released.
        cleanup: Option<claims::OutcomeFlow>,
    },
}

impl ClaimDriver {
    /// Creates the driver for the claim record at a key.
    pub(super) fn new(objects: &objects::ObjectClient, key: String) -> Self {
        let objects = objects.clone().with_call_timeout(CALL_TIMEOUT);
        Self { objects, key }
    }

    /// Tries to claim the key.
    pub(super) async fn claim(&self, request: claims::ClaimRequest) -> ClaimDecision {
        let (mut flow, mut action) = claims::ClaimFlow::start(request, clocks::boot_now());
        loop {
            let event = match action {
                claims::ClaimAction::Write(write) => self.write(&write).await,
                claims::ClaimAction::Read { backoff } => self.read(backoff).await,
                claims::ClaimAction::Dispatch(grant) => return ClaimDecision::Dispatch(grant),
                claims::ClaimAction::Reply(answer) => return ClaimDecision::Reply(answer),
                claims::ClaimAction::Refuse { code, cleanup } => {
                    return ClaimDecision::Refuse { code, cleanup };
                }
            };
            action = flow.handle(event, clocks::boot_now(), clocks::wall_now());
        }
    }

    /// Writes the claim record once.
    pub(super) async fn write(&self, write: &claims::ClaimWrite) -> claims::ClaimEvent {
        let Ok(bytes) = write.record.to_bytes() else {
            return claims::ClaimEvent::NotSent;
        };
        let written = self
            .objects
            .write(&self.key, write.if_version, bytes.into());
        match written.await {
            objects::WriteResult::Written(version) => claims::ClaimEvent::Written { version },
            objects::WriteResult::Conflict(_version) => claims::ClaimEvent::Conflict,
            objects::WriteResult::Unreached { .. } => claims::ClaimEvent::NotSent,
            objects::WriteResult::Unsettled { .. } => claims::ClaimEvent::ReplyLost,
        }
    }

    /// Reads the claim record after a back-off.
    pub(super) async fn read(&self, backoff: time::Duration) -> claims::ClaimEvent {
        tokio::time::sleep(backoff).await;
        match self.objects.read(&self.key).await {
            objects::ReadResult::Found { version, bytes } => claims::ClaimRecord::from_bytes(
                &bytes,
            )
            .map_or_else(
                |error| {
                    log::error!(event = "claim-unreadable", key = self.key, cause:% = error; "");
                    claims::ClaimEvent::Unreadable
                },
                |record| claims::ClaimEvent::Found { version, record },
            ),
            objects::ReadResult::Absent => claims::ClaimEvent::Absent,
            objects::ReadResult::Unavailable { .. } => claims::ClaimEvent::ReplyLost,
        }
    }
}
