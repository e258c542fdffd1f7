//! The task that produces the tokens of one request.

use std::{process, sync, time};

use pier_types::times::clocks;
use tokio::sync::mpsc;

use crate::{engine, fault, record, serve, serve::FakeApp as _};

/// Longest time between two checks of a run's state.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Exit code of a process that crashes on a prompt.
const CRASH_EXIT: i32 = 70;

/// How a fault truncates an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HalfAnswer {
    /// Tokens that are sent before the end.
    pub tokens: u64,
    /// Whether the HTTP reply ends normally; otherwise the connection is cut.
    pub clean_end: bool,
}

/// One admitted request.
#[derive(Debug)]
pub(crate) struct RunTask {
    /// The engine.
    pub app: sync::Arc<engine::EngineApp>,
    /// The request's sequence in the record.
    pub sequence: u64,
    /// The answer.
    pub answer: engine::AnswerText,
    /// Index of the first token to produce; the caller already has the ones before it.
    pub resume_from: u64,
    /// The hash of the prompt's prefix.
    pub prefix: String,
    /// The fault that crashes the engine on this prompt, if any.
    pub crash: Option<fault::FaultKind>,
    /// Where a fault truncates the answer, if any.
    pub half: Option<HalfAnswer>,
    /// Sends events to the reply; closed once the caller has disconnected.
    pub sender: mpsc::Sender<engine::RunEvent>,
}

impl RunTask {
    /// Runs the request and writes its outcome into the record.
    pub(crate) async fn run(self) {
        let ended = self.produce_tokens().await;
        let (run_event, run_end, effect) = match ended {
            Ok(()) => (
                engine::RunEvent::Done,
                record::RunEnd::Finished,
                "answered".to_owned(),
            ),
            Err(engine::RunState::Dropped(loss)) => (
                engine::RunEvent::Dropped,
                record::RunEnd::Refused,
                format!("dropped: {}", loss.text()),
            ),
            Err(engine::RunState::Lost(loss)) => (
                engine::RunEvent::Lost,
                record::RunEnd::Broken,
                format!("broken off: {}", loss.text()),
            ),
            Err(state) => (
                engine::RunEvent::Lost,
                record::RunEnd::Broken,
                format!("{state:?}"),
            ),
        };
        serve::lock(&self.app.simulator).finish(self.sequence, ended.is_ok(), clocks::boot_now());
        self.app.core.record.close(self.sequence, run_end, &effect);
        let _receiver_gone = self.sender.send(run_event).await;
    }

    /// Produces every token.
    ///
    /// # Errors
    ///
    /// Returns the state that ended the run early.
    async fn produce_tokens(&self) -> Result<(), engine::RunState> {
        self.wait_for_slot().await?;
        self.app
            .core
            .record
            .update(self.sequence, |entry| entry.started = true);
        self.send(engine::RunEvent::Started).await?;
        let (token_time, prefill_time) = self.token_and_prefill_time();
        self.simulate_work(prefill_time).await?;
        self.crash_if_marked()?;
        for index in self.resume_from..self.answer.length() {
            if self.half.is_some_and(|half| index >= half.tokens) {
                return Err(engine::RunState::Lost(engine::RunLoss::EngineDown));
            }
            self.simulate_work(token_time).await?;
            let last = index + 1 == self.answer.length();
            let text = self.answer.token(index);
            self.app
                .core
                .record
                .update(self.sequence, |entry| entry.tokens += 1);
            self.send(engine::RunEvent::Token { index, text, last })
                .await?;
        }
        Ok(())
    }

    /// Restarts the engine or exits the process if a crash fault matched the prompt.
    fn crash_if_marked(&self) -> Result<(), engine::RunState> {
        let Some(fault::FaultKind::CrashOnPrompt { for_ms, exit, .. }) = self.crash else {
            return Ok(());
        };
        if exit {
            process::exit(CRASH_EXIT);
        }
        let restart = fault::FaultKind::Restart { for_ms };
        self.app.set_fault(fault::FaultSpec::new(restart));
        Err(engine::RunState::Lost(engine::RunLoss::EngineDown))
    }

    async fn wait_for_slot(&self) -> Result<(), engine::RunState> {
        while self.active_state()? == engine::RunState::Queued {
            if self.sender.is_closed() {
                return Err(engine::RunState::Dropped(engine::RunLoss::Disconnected));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the time per token and the prefill time, which is zero for a cached prefix.
    ///
    /// Stores the prefix in the cache.
    fn token_and_prefill_time(&self) -> (time::Duration, time::Duration) {
        let mut simulator = serve::lock(&self.app.simulator);
        let held = simulator.cache.touch(&self.prefix, clocks::boot_now());
        let settings = &simulator.settings;
        let prefill_time = if held {
            time::Duration::ZERO
        } else {
            settings.prefill_time
        };
        (settings.token_time, prefill_time)
    }

    /// Waits for `time` of simulated work, not counting pauses; fails if the run ends meanwhile.
    async fn simulate_work(&self, time: time::Duration) -> Result<(), engine::RunState> {
        let mut left = time;
        while !left.is_zero() {
            self.app.core.proxy.wait_unpaused().await;
            self.active_state()?;
            let step = left.min(POLL_INTERVAL);
            tokio::time::sleep(step).await;
            left = left.saturating_sub(step);
        }
        self.active_state().map(|_state| ())
    }

    /// Returns the state of a queued or running request, or as an error the state that ended it.
    fn active_state(&self) -> Result<engine::RunState, engine::RunState> {
        let lost = engine::RunState::Lost(engine::RunLoss::EngineDown);
        let state = serve::lock(&self.app.simulator).run_state(self.sequence);
        match state.unwrap_or(lost) {
            state @ (engine::RunState::Queued | engine::RunState::Running) => Ok(state),
            ended => Err(ended),
        }
    }

    async fn send(&self, event: engine::RunEvent) -> Result<(), engine::RunState> {
        let sent = self.sender.send(event).await;
        sent.map_err(|_closed| engine::RunState::Lost(engine::RunLoss::Disconnected))
    }
}
