//! The attempts of one request that are in progress at the same time.

use std::{future, mem};

use futures_util::Stream;
use pier_request::routing;
use pier_types::sizes;

use crate::{requests, telemetry};

/// An attempt, and another one beside it while the group of the first is broken and silent.
///
/// A silent group may be sound and go on, so its attempt ends only when the other target has
/// answered. The target that answers first goes on; the attempt at the other one is cancelled.
#[derive(Debug)]
pub(super) struct AttemptRace<F, S> {
    send: F,
    current: requests::OpenAttempt<S>,
    other: Option<requests::OpenAttempt<S>>,
    watch: requests::GroupWatch,
}

impl<T, F, S> AttemptRace<F, S>
where
    F: Fn(requests::AttemptCall, telemetry::TraceParent) -> S,
    S: Stream<Item = Result<T, requests::AttemptFault>>,
{
    /// Starts the first attempt; `send` returns the parts of an attempt's answer.
    pub(super) fn start(
        run: &requests::RequestRun,
        permit: routing::RoutePermit,
        delivered: sizes::TokenCount,
        send: F,
    ) -> Self {
        let current = requests::OpenAttempt::start(run, permit, delivered, &send);
        Self {
            watch: requests::GroupWatch::new(current.call().clone()),
            current,
            other: None,
            send,
        }
    }

    /// Returns the attempt to which the latest part belongs.
    pub(super) const fn current(&self) -> &requests::OpenAttempt<S> {
        &self.current
    }

    /// Ends the current attempt.
    pub(super) fn into_current(self) -> requests::OpenAttempt<S> {
        self.current
    }

    /// Waits for the next part of an answer, of which `delivered` tokens have been relayed; asks
    /// another target while the current one is silent.
    ///
    /// # Errors
    ///
    /// Fails with the fault of the current attempt when no other one is in progress.
    pub(super) async fn next(
        &mut self,
        run: &mut requests::RequestRun,
        delivered: sizes::TokenCount,
    ) -> Result<T, requests::AttemptFault> {
        loop {
            let is_alone = self.other.is_none();
            tokio::select! {
                part = self.current.next() => match (part, self.other.take()) {
                    (Ok(part), other) => {
                        if let Some(other) = other {
                            run.record_outrun();
                            other.cancel_outrun();
                        }
                        self.watch = self.watch_current();
                        return Ok(part);
                    }
                    (Err(fault), Some(other)) => {
                        let failed = mem::replace(&mut self.current, other);
                        run.record_end(&fault, &failed.fail(&fault));
                    }
                    (Err(fault), None) => return Err(fault),
                },
                part = next_of(&mut self.other) => match (part, self.other.take()) {
                    (Ok(part), Some(other)) => {
                        run.record_outrun();
                        mem::replace(&mut self.current, other).cancel_outrun();
                        return Ok(part);
                    }
                    (Err(fault), Some(other)) => {
                        run.record_end(&fault, &other.fail(&fault));
                        self.watch = self.watch_current();
                    }
                    (_part, None) => {}
                },
                permit = run.choose_other(&mut self.watch, delivered), if is_alone => {
                    let other = requests::OpenAttempt::start(run, permit, delivered, &self.send);
                    self.watch = requests::GroupWatch::new(other.call().clone());
                    self.other = Some(other);
                }
            }
        }
    }

    fn watch_current(&self) -> requests::GroupWatch {
        requests::GroupWatch::new(self.current.call().clone())
    }
}

/// Waits for the next part of an attempt; never returns without one.
async fn next_of<T, S>(
    attempt: &mut Option<requests::OpenAttempt<S>>,
) -> Result<T, requests::AttemptFault>
where
    S: Stream<Item = Result<T, requests::AttemptFault>>,
{
    match attempt {
        Some(attempt) => attempt.next().await,
        None => future::pending().await,
    }
}
