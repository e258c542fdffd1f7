//! An admitted request and its attempts.

use std::{future, sync, time};

use pier_request::{admission, attempts, claims, quarantine, retries, routing};
use pier_types::{codes, ids, sizes, times, times::clocks};

use crate::{callers, handle, requests, telemetry};

/// Retry-after hint for a request that did not run, in milliseconds.
const RETRY_AFTER_MILLIS: u64 = 1_000;

/// Minimum back-off after a target may have crashed; by its end the crash monitor has found out.
const CRASH_BACKOFF: time::Duration = time::Duration::from_millis(150);

/// An admitted request: its admission permit and the state of its attempts.
#[derive(Debug)]
pub(super) struct RequestRun {
    /// The node.
    pub(super) handle: handle::NodeHandle,
    /// The request.
    pub(super) plan: sync::Arc<requests::RequestPlan>,
    /// The parent of the attempts' trace spans.
    pub(super) parent: telemetry::TraceParent,
    /// The right to dispatch a one-time request.
    pub(super) grant: Option<claims::ClaimGrant>,
    admission_permit: admission::AdmissionPermit,
    worst_outcome: attempts::WorstOutcome,
    tried: Vec<ids::TargetId>,
    attempts: u32,
    // Keeps the node from stopping while the request runs, even if its caller has disconnected.
    _guard: handle::RequestGuard,
}

impl RequestRun {
    /// Creates the run of an admitted request and counts it in the retry budgets.
    pub(super) fn new(
        handle: handle::NodeHandle,
        plan: sync::Arc<requests::RequestPlan>,
        parent: telemetry::TraceParent,
        admission_permit: admission::AdmissionPermit,
    ) -> Self {
        let run = Self {
            plan,
            parent,
            grant: None,
            admission_permit,
            worst_outcome: attempts::WorstOutcome::default(),
            tried: Vec::new(),
            attempts: 0,
            _guard: handle.begin_request(),
            handle,
        };
        run.with_budgets(|customer, node| {
            customer.record_request();
            node.record_request();
        });
        run
    }

    /// Chooses a target for the next attempt.
    ///
    /// # Errors
    ///
    /// Fails when the deadline is too close, or when no target can take the request.
    pub(super) fn choose(&mut self) -> Result<routing::RoutePermit, callers::ErrorBody> {
        let now = clocks::boot_now();
        let may_dispatch = self
            .grant
            .as_ref()
            .is_none_or(|grant| grant.may_dispatch(now));
        if now >= self.plan.deadline || !may_dispatch {
            let code = codes::ResultCode::DeadlineTooClose;
            return Err(self.final_error(code, "it is too late to send the request"));
        }
        let chosen = self.choose_target(now);
        self.attempts += 1;
        chosen.map_err(|refusal| self.final_error(refusal.code(), refusal.code().meaning()))
    }

    /// Creates the call of an attempt at a chosen target.
    pub(super) fn call(
        &self,
        permit: &routing::RoutePermit,
        attempt: ids::AttemptId,
        resume_from: sizes::TokenCount,
    ) -> requests::AttemptCall {
        requests::AttemptCall {
            handle: self.handle.clone(),
            plan: sync::Arc::clone(&self.plan),
            target: sync::Arc::clone(permit.target()),
            process: requests::TargetProcess::probed(&self.handle, permit.target()),
            attempt,
            resume_from,
        }
    }

    /// Waits until the watched group is broken and another target has room for the request, and
    /// chooses that target; the attempts in progress go on, as their targets may be sound.
    ///
    /// Never returns for requests that may not be repeated.
    pub(super) async fn choose_other(
        &mut self,
        watch: &mut requests::GroupWatch,
        delivered: sizes::TokenCount,
    ) -> routing::RoutePermit {
        if self.plan.rule != retries::RepeatRule::Repeatable {
            return future::pending().await;
        }
        loop {
            watch.wait_until_broken().await;
            if let Some(permit) = self.find_other(watch, delivered, clocks::boot_now()) {
                return permit;
            }
        }
    }

    fn find_other(
        &mut self,
        watch: &requests::GroupWatch,
        delivered: sizes::TokenCount,
        now: times::BootTime,
    ) -> Option<routing::RoutePermit> {
        let mut excluded = self.tried.clone();
        excluded.push(watch.call().target.target.clone());
        // Without another target, budget or quarantine in its way, the request goes on where it is.
        let permit = self.choose_except(&excluded, now).ok()?;
        if self.is_quarantined() {
            return None;
        }
        let decision = self.decide(attempts::AttemptEnd::Broken, delivered);
        if !matches!(decision, retries::RetryDecision::Retry { .. }) {
            return None;
        }
        self.count_decision(decision);
        self.attempts += 1;
        self.tried = excluded;
        log::info!(
            event = "silent-group-another-asked",
            target:% = watch.call().target.target,
            other:% = permit.target().target;
            ""
        );
        Some(permit)
    }

    /// Records that an attempt was given up because another target answered first; the request may
    /// have run there.
    pub(super) fn record_outrun(&mut self) {
        self.worst_outcome.record(attempts::AttemptEnd::Broken);
    }

    /// Records a failed attempt and returns the back-off before the next one.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller when no further attempt is allowed.
    pub(super) fn next_backoff(
        &mut self,
        fault: &requests::AttemptFault,
        permit: &routing::RoutePermit,
        delivered: sizes::TokenCount,
    ) -> Result<time::Duration, callers::ErrorBody> {
        self.record_end(fault, permit);
        let decision = self.decide(fault.end, delivered);
        self.count_decision(decision);
        match decision {
            // Nothing reached a target, so another node may still serve the request.
            retries::RetryDecision::BudgetSpent(_code)
                if fault.end == attempts::AttemptEnd::NotConnected =>
            {
                let code = codes::ResultCode::NoServingTarget;
                Err(self.final_error(code, &fault.cause))
            }
            retries::RetryDecision::Stop(code) | retries::RetryDecision::BudgetSpent(code) => {
                Err(self.final_error(code, &fault.cause))
            }
            retries::RetryDecision::Retry { .. } if self.is_quarantined() => {
                let code = codes::ResultCode::RequestQuarantined;
                Err(self.final_error(code, code.meaning()))
            }
            // After this back-off it is known whether the request crashed the target.
            retries::RetryDecision::Retry { backoff, .. } if fault.may_have_crashed => {
                Ok(backoff.max(CRASH_BACKOFF))
            }
            retries::RetryDecision::Retry { backoff, .. } => Ok(backoff),
        }
    }

    /// Records that the answer is complete.
    pub(super) fn succeed(&self, started_at: times::BootTime) {
        let metrics = self.handle.metrics().requests();
        metrics.count_attempt(telemetry::AttemptOutcome::Whole);
        self.admission_permit
            .record_service_time(clocks::boot_now().since(started_at));
        let fingerprint = self.plan.fingerprint;
        let state = self.handle.requests();
        if state.quarantine().is_implicated(fingerprint) {
            state.send_crash(requests::CrashEvent::Completed(fingerprint));
        }
    }

    /// Returns whether it is certain that no attempt ran.
    pub(super) fn is_not_run(&self) -> bool {
        self.worst_outcome.is_not_run()
    }

    /// Returns the error for the caller when no further attempt is made.
    pub(super) fn final_error(
        &self,
        refusal: codes::ResultCode,
        message: &str,
    ) -> callers::ErrorBody {
        let code = self.worst_outcome.final_code(refusal);
        let error = callers::ErrorBody::new(code, message);
        if code.outcome() == codes::RunOutcome::NotRun {
            return error.retry_after_ms(RETRY_AFTER_MILLIS);
        }
        error
    }

    /// Records how an attempt ended, and reports crash and warm-up evidence about its target.
    pub(super) fn record_end(
        &mut self,
        fault: &requests::AttemptFault,
        permit: &routing::RoutePermit,
    ) {
        self.worst_outcome.record(fault.end);
        self.tried.push(permit.target().target.clone());
        self.record_link(fault, permit);
        let metrics = self.handle.metrics().requests();
        metrics.count_attempt(fault.end.into());
        if fault.may_have_crashed {
            self.send_crash(permit);
        }
        if fault.is_target_failure() {
            let signal = requests::WarmthSignal::Failure;
            let evidence =
                requests::WarmthEvidence::of(permit.target(), signal, clocks::boot_now());
            self.handle.requests().send_warmth(evidence);
        }
    }

    /// Doubts the link to a target that this node could not reach, or that closed its connection.
    fn record_link(&self, fault: &requests::AttemptFault, permit: &routing::RoutePermit) {
        let address = permit.target().address;
        if fault.end == attempts::AttemptEnd::NotConnected {
            let state = requests::LinkState::Refusing;
            requests::LinkMonitor::record_failed_connect(&self.handle, address, state);
        } else if fault.may_have_crashed {
            requests::LinkMonitor::doubt(&self.handle, address);
        }
    }

    fn decide(
        &self,
        end: attempts::AttemptEnd,
        delivered: sizes::TokenCount,
    ) -> retries::RetryDecision {
        self.with_budgets(|customer_budget, node_budget| {
            let context = retries::RetryContext {
                rule: self.plan.rule,
                end,
                attempts: self.attempts,
                delivered,
                can_resume: self.plan.can_resume(),
                deadline: self.plan.deadline,
                customer_budget,
                node_budget,
            };
            retries::RetryPolicy::default().decide(&context, clocks::boot_now())
        })
    }

    fn count_decision(&self, decision: retries::RetryDecision) {
        let outcome = match decision {
            retries::RetryDecision::Retry { .. } => telemetry::RetryOutcome::Granted,
            retries::RetryDecision::BudgetSpent(_code) => telemetry::RetryOutcome::BudgetSpent,
            retries::RetryDecision::Stop(_code) => return,
        };
        self.handle.metrics().requests().count_retry(outcome);
    }

    fn choose_target(
        &self,
        now: times::BootTime,
    ) -> Result<routing::RoutePermit, routing::RouteRefusal> {
        let chosen = self.choose_except(&self.tried, now);
        if chosen.is_err() && !self.tried.is_empty() {
            // Trying the same target again is better than failing.
            return self.choose_except(&[], now);
        }
        chosen
    }

    fn choose_except(
        &self,
        tried: &[ids::TargetId],
        now: times::BootTime,
    ) -> Result<routing::RoutePermit, routing::RouteRefusal> {
        let state = self.handle.requests();
        let targets = state.targets();
        let pool = targets.pool(&self.plan.pool, self.plan.freshness, now);
        let pool = pool.ok_or(routing::RouteRefusal::NoTarget)?;
        let prefixes = state.prefixes();
        let entries = pool.entries().map(|entry| &entry.target);
        let unreachable = entries.filter(|target| state.links().is_down(target.address));
        let unreachable: Vec<_> = unreachable.map(|target| target.target.clone()).collect();
        let excluded = [tried, &unreachable].concat();
        let request = routing::RouteRequest {
            tried: &excluded,
            holders: self.plan.prefix.and_then(|prefix| prefixes.holders(prefix)),
            random: rand::random(),
            now,
        };
        pool.choose(&request)
    }

    fn send_crash(&self, permit: &routing::RoutePermit) {
        let target = permit.target();
        let own_in_flight = permit.in_flight().get();
        let process = requests::TargetProcess::probed(&self.handle, target);
        let event = requests::CrashEvent::ConnectionClosed {
            target: target.target.clone(),
            generation: target.generation,
            fingerprint: self.plan.fingerprint,
            suspects: own_in_flight.max(target.load.running.get()),
            address: target.address,
            incarnation: process.map(|process| process.incarnation()),
        };
        self.handle.requests().send_crash(event);
    }

    fn is_quarantined(&self) -> bool {
        let set = self.handle.requests().quarantine();
        let set: &quarantine::QuarantineSet = &set;
        set.remaining(self.plan.fingerprint, clocks::boot_now())
            .is_some()
    }

    /// Calls a function with the retry budgets of the customer and of the node.
    ///
    /// For a customer without a budget, the node's budget is passed in both places.
    fn with_budgets<T>(
        &self,
        use_both: impl FnOnce(&retries::RetryBudget, &retries::RetryBudget) -> T,
    ) -> T {
        let state = self.handle.requests();
        let customers = state.customers();
        let node = state.node_budget();
        let customer = customers.budget_of(&self.plan.customer);
        use_both(customer.map_or(node, |budget| budget), node)
    }
}
