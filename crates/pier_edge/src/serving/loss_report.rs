//! Reports targets that were lost while they ran a request.

use std::sync;

use pier_request::quarantine;
use pier_types::times;

use crate::{crashes, links, serving, state};

impl<P: links::FleetPlatform> serving::RequestJob<P> {
    /// Finds out whether a target that closed this request's connection has ended.
    pub(super) async fn report_loss(&self, slot: &sync::Arc<state::TargetSlot>) {
        let now = times::clocks::boot_now();
        let lost = slot.as_lost();
        let registered = self
            .state
            .with_registry(|registry| crashes::registered_cause(registry, &lost, now));
        let cause = match registered {
            Some(cause) => Some(cause),
            None => slot.loss_check.run(&slot.connections, now).await,
        };
        let label = label(cause);
        self.state.metrics().count_loss(label);
        log::info!(
            event = "target-closed-connection",
            attempt = self.head.attempt.as_str(),
            fingerprint:% = self.fingerprint,
            target_vm:% = slot.vm,
            born:% = slot.born,
            cause = label;
            ""
        );
    }
}

const fn label(cause: Option<quarantine::LossCause>) -> &'static str {
    match cause {
        None => "still-listening",
        Some(quarantine::LossCause::ProcessLost) => "process-lost",
        Some(quarantine::LossCause::Unreachable) => "unreachable",
        Some(quarantine::LossCause::Ordered) => "leaving",
    }
}
