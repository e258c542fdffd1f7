//! The task that produces the tokens of one request.

use std::{sync, time};

use pier_types::times::clocks;
use tokio::sync::mpsc;

use crate::{engine, record, serve};

/// Longest time between two looks at a run's state.
const POLL_TIME: time::Duration = time::Duration::from_millis(5);

/// One admitted request on its way.
#[derive(Debug)]
pub(crate) struct RunTask {
    /// The engine.
    pub app: sync::Arc<engine::EngineApp>,
    /// The request's place in the record.
    pub sequence: u64,
    /// The answer.
    pub answer: engine::AnswerText,
    /// Tokens that the caller has already.
    pub resume_from: u64,
    /// The prompt's prefix, by its hash.
    pub prefix: String,
    /// Where parts go; closed when nobody waits any more.
    pub sender: mpsc::Sender<engine::RunPart>,
}

impl RunTask {
    /// Runs to the end and writes the outcome into the record.
    pub(crate) async fn run(self) {
        let end = self.produce().await;
        let (part, run_end, effect) = match end {
            Ok(()) => (engine::RunPart::Done, record::RunEnd::Finished, "answered"),
            Err(engine::RunState::Dropped(_loss)) => {
                (engine::RunPart::Dropped, record::RunEnd::Refused, "dropped")
            }
            Err(_state) => (engine::RunPart::Lost, record::RunEnd::Broken, "broken off"),
        };
        serve::lock(&self.app.model).end(self.sequence, end.is_ok(), clocks::boot_now());
        self.app.record.close(self.sequence, run_end, effect);
        let _unheard = self.sender.send(part).await;
    }

    /// Produces every token; returns the state that ended the run early.
    async fn produce(&self) -> Result<(), engine::RunState> {
        self.wait_for_place().await?;
        self.app
            .record
            .update(self.sequence, |entry| entry.started = true);
        self.send(engine::RunPart::Started).await?;
        let (token_time, prefill_time) = self.times();
        self.pass(prefill_time).await?;
        for index in self.resume_from..self.answer.length() {
            self.pass(token_time).await?;
            let last = index + 1 == self.answer.length();
            let text = self.answer.token(index);
            self.app
                .record
                .update(self.sequence, |entry| entry.tokens += 1);
            self.send(engine::RunPart::Token { index, text, last })
                .await?;
        }
        Ok(())
    }

    async fn wait_for_place(&self) -> Result<(), engine::RunState> {
        while self.check()? == engine::RunState::Queued {
            if self.sender.is_closed() {
                return Err(engine::RunState::Dropped(engine::RunLoss::Cancelled));
            }
            tokio::time::sleep(POLL_TIME).await;
        }
        Ok(())
    }

    /// Returns the time for each token and for the prompt.
    fn times(&self) -> (time::Duration, time::Duration) {
        let mut model = serve::lock(&self.app.model);
        let held = model.cache.touch(&self.prefix, clocks::boot_now());
        let settings = &model.settings;
        let prefill_time = if held {
            time::Duration::ZERO
        } else {
            settings.prefill_time
        };
        (settings.token_time, prefill_time)
    }

    /// Lets time pass while the run goes on.
    async fn pass(&self, time: time::Duration) -> Result<(), engine::RunState> {
        let mut left = time;
        while !left.is_zero() {
            self.check()?;
            let step = left.min(POLL_TIME);
            tokio::time::sleep(step).await;
            left = left.saturating_sub(step);
        }
        self.check().map(|_state| ())
    }

    /// Returns the state of a run that waits or runs, or the state that ended it.
    fn check(&self) -> Result<engine::RunState, engine::RunState> {
        let lost = engine::RunState::Lost(engine::RunLoss::EngineDown);
        let state = serve::lock(&self.app.model).run_state(self.sequence);
        match state.unwrap_or(lost) {
            state @ (engine::RunState::Queued | engine::RunState::Running) => Ok(state),
            ended => Err(ended),
        }
    }

    async fn send(&self, part: engine::RunPart) -> Result<(), engine::RunState> {
        let sent = self.sender.send(part).await;
        sent.map_err(|_closed| engine::RunState::Lost(engine::RunLoss::Cancelled))
    }
}
