//! Reports targets that were lost while they ran a request.

use std::sync;

use pier_request::quarantine;
use pier_types::times;

use crate::{crashes, links, serving, state};

impl<P: links::FleetPlatform> serving::RequestJob<P> {
    /// Reports a target that was lost while it ran this request.
    ///
    /// # Errors
    ///
    /// Fails when the request is held back and must not be sent again.
    pub(super) async fn report_fault(
        &self,
        slot: &sync::Arc<state::TargetSlot>,
        fault: &serving::SendFault,
    ) -> Result<(), serving::Refusal> {
        match fault {
            serving::SendFault::MayHaveRun(_) => self.report_closed(slot).await,
            serving::SendFault::Stuck | serving::SendFault::TimedOut => self.report_silent(slot),
            serving::SendFault::Unreached(_) | serving::SendFault::NotSent(_) => Ok(()),
        }
    }

    /// Reports a target that closed this request's connection, and finds out why.
    ///
    /// # Errors
    ///
    /// Fails when the request is held back and must not be sent again.
    pub(super) async fn report_closed(
        &self,
        slot: &sync::Arc<state::TargetSlot>,
    ) -> Result<(), serving::Refusal> {
        let now = times::clocks::boot_now();
        let target = slot.as_lost();
        let registered = self
            .state
            .with_registry(|registry| crashes::registered_cause(registry, &target, now));
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
        let checked_at = times::clocks::boot_now();
        let loss = self.loss(slot);
        self.state.crashes().record_loss(loss, cause, checked_at);
        self.check_held()
    }

    /// Reports a target that no longer answers; whether it crashed shows when it registers again.
    ///
    /// # Errors
    ///
    /// Fails when the request is held back and must not be sent again.
    pub(super) fn report_silent(
        &self,
        slot: &sync::Arc<state::TargetSlot>,
    ) -> Result<(), serving::Refusal> {
        let now = times::clocks::boot_now();
        let cause = Some(quarantine::LossCause::Unreachable);
        self.state
            .crashes()
            .record_loss(self.loss(slot), cause, now);
        self.check_held()
    }

    fn loss(&self, slot: &state::TargetSlot) -> crashes::RequestLoss {
        crashes::RequestLoss {
            fingerprint: self.fingerprint,
            lost: slot.as_lost(),
            suspects: slot.gauge.running() + slot.gauge.waiting(),
        }
    }

    fn check_held(&self) -> Result<(), serving::Refusal> {
        let now = times::clocks::boot_now();
        let held = self.state.crashes().held_for(self.fingerprint, now);
        held.map_or(Ok(()), |retry_after| {
            Err(serving::Refusal::HeldBack { retry_after })
        })
    }

    /// Records that the request was answered completely, so that it crashed no target.
    pub(super) fn report_completion(&self) {
        let now = times::clocks::boot_now();
        self.state
            .crashes()
            .record_completion(self.fingerprint, now);
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
