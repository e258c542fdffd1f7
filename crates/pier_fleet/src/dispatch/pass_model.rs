//! Predicts the timing of an engine's passes.

use std::time;

use crate::{dispatch, documents};

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Predicts when a group answers, from its published times and its load.
///
/// A group works in passes. Each pass runs several decode steps for the running requests and
/// prefills waiting prompts between them. A new request waits for the current pass to end.
#[derive(Debug, Clone, Copy)]
pub struct PassModel<'a> {
    engine: &'a documents::EngineSpec,
    pace: f64,
}

impl<'a> PassModel<'a> {
    /// Creates the model of a group; `pace` is a factor on all published times of the engine, so
    /// that above 1 is slower.
    pub const fn new(engine: &'a documents::EngineSpec, pace: f64) -> Self {
        Self { engine, pace }
    }

    /// Returns the time between two events of a stream at a group with `running` streams and
    /// `prefill_tokens` prompt tokens to prefill.
    pub fn pass_time(&self, running: u32, prefill_tokens: u64) -> time::Duration {
        let batch = self.engine.batch.get();
        let steps = f64::from(self.engine.steps_per_pass);
        let decode_ms = steps * self.engine.decode_step_ms(f64::from(running.min(batch)));
        let max_prefill = self.engine.chunk.get() as f64 * steps;
        let prefill_ms =
            (prefill_tokens as f64).min(max_prefill) / self.engine.prefill_tokens_per_ms;
        self.scaled(decode_ms + prefill_ms)
    }

    /// Returns the longest time between two events of a stream: a pass that prefills as many
    /// prompt tokens as fit.
    pub fn longest_pass(&self, running: u32) -> time::Duration {
        self.pass_time(running, u64::MAX)
    }

    /// Returns the expected time to the first event of a request with `prompt_tokens` prompt
    /// tokens.
    pub fn first_event(&self, load: &dispatch::LoadFacts, prompt_tokens: u64) -> time::Duration {
        let steps = f64::from(self.engine.steps_per_pass);
        let running = load.running.min(self.engine.batch.get());
        let decode_ms = steps * self.engine.decode_step_ms(f64::from(running));
        let backlog = (load.waiting_prompt + prompt_tokens) as f64;
        let passes = (backlog / (self.engine.chunk.get() as f64 * steps)).max(1.0);
        let prefill_ms = backlog / self.engine.prefill_tokens_per_ms;
        // The wait for the current pass to end is taken as half of its decode time.
        let current_ms = if load.running == 0 {
            0.0
        } else {
            decode_ms / 2.0
        };
        let in_batch_ms = current_ms + passes * decode_ms + prefill_ms;
        let total_ms = (in_batch_ms + self.slot_wait_ms(load)) * load.slowness;
        self.scaled(total_ms)
    }

    /// Returns the part of [`Self::first_event`] that a request waits for a place in the batch.
    pub fn slot_wait(&self, load: &dispatch::LoadFacts) -> time::Duration {
        self.scaled(self.slot_wait_ms(load) * load.slowness)
    }

    /// Returns the requests a second that a group ends while it processes `running`.
    pub fn end_rate(&self, running: f64) -> f64 {
        let decode_ms = self.engine.decode_step_ms(running) * self.pace;
        let answer_ms = (self.engine.mean_answer_tokens * decode_ms).max(1.0);
        running * MILLIS_PER_SECOND / answer_ms
    }

    /// Returns the delay that one more request ahead, with `prompt_tokens` prompt tokens, adds to the
    /// time to first event once the group has got `added` requests that its load does not count.
    pub fn added_wait(
        &self,
        load: &dispatch::LoadFacts,
        added: u32,
        prompt_tokens: f64,
    ) -> time::Duration {
        let prefill_ms = prompt_tokens / self.engine.prefill_tokens_per_ms;
        let slot_ms = if load.in_flight().saturating_add(added) >= self.engine.batch.get() {
            let batch = f64::from(self.engine.batch.get().max(1));
            self.engine.mean_answer_tokens * self.engine.decode_step_ms(batch) / batch
        } else {
            0.0
        };
        self.scaled((prefill_ms + slot_ms) * load.slowness)
    }

    /// Returns the milliseconds until a slot in the batch is free.
    fn slot_wait_ms(&self, load: &dispatch::LoadFacts) -> f64 {
        let batch = f64::from(self.engine.batch.get().max(1));
        let ahead = f64::from(load.in_flight()) + 1.0 - batch;
        if ahead <= 0.0 {
            return 0.0;
        }
        let answer_ms = self.engine.mean_answer_tokens * self.engine.decode_step_ms(batch);
        ahead * answer_ms / batch
    }

    fn scaled(&self, millis: f64) -> time::Duration {
        time::Duration::from_secs_f64((millis * self.pace / MILLIS_PER_SECOND).clamp(0.0, 3_600.0))
    }
}
