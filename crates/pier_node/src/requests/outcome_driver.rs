//! Records the outcome of a claimed request.

use std::time;

use pier_request::claims;

use crate::requests;

/// Time between two tries while the platform is unavailable.
const RETRY_PERIOD: time::Duration = time::Duration::from_secs(5);

/// Maximum number of tries; after them the claim stays without an outcome.
const MAX_TRIES: u32 = 60;

/// Performs the platform calls that record an outcome.
#[derive(Debug, Clone)]
pub(super) struct OutcomeDriver {
    driver: requests::ClaimDriver,
}

impl OutcomeDriver {
    /// Creates a driver that uses the platform client of a claim.
    pub(super) const fn new(driver: requests::ClaimDriver) -> Self {
        Self { driver }
    }

    /// Records an outcome, trying again while the platform is unavailable.
    pub(super) async fn record(&self, flow: claims::OutcomeFlow) {
        for _ in 0..MAX_TRIES {
            if self.record_once(flow.clone()).await {
                return;
            }
            tokio::time::sleep(RETRY_PERIOD).await;
        }
        log::error!(event = "claim-outcome-lost"; "");
    }

    /// Returns whether the outcome was recorded, or the platform answered that it cannot be.
    async fn record_once(&self, mut flow: claims::OutcomeFlow) -> bool {
        let mut action = flow.start();
        let mut was_reached = true;
        loop {
            let event = match action {
                claims::OutcomeAction::Write(write) => self.driver.write(&write).await,
                claims::OutcomeAction::Read { backoff } => self.driver.read(backoff).await,
                claims::OutcomeAction::Done { recorded } => return recorded || was_reached,
            };
            was_reached = !matches!(
                event,
                claims::ClaimEvent::ReplyLost | claims::ClaimEvent::NotSent
            );
            action = flow.handle(event);
        }
    }
}
