//! A group that serves requests by its published times.

use std::time;

use pier_fleet::{dispatch, documents, locality, urgency};

/// A request as a group gets it.
#[derive(Debug, Clone, Copy)]
pub struct GroupRequest {
    /// Position of its kind.
    pub kind: usize,
    pub rank: u8,
    pub prompt: u64,
    pub answer_tokens: u32,
    pub objective: time::Duration,
    /// Milliseconds at which the caller sent it first.
    pub asked_ms: f64,
    /// Milliseconds at which it came to the group.
    pub sent_ms: f64,
    /// Milliseconds that the sender expected to the first event, without the learned delay.
    pub predicted_ms: f64,
    /// The node that sent it.
    pub node: usize,
}

/// A group whose passes run decode steps for the running requests and read waiting prompts. Free
/// places go to the most urgent request, and then to the one that came first.
#[derive(Debug, Default)]
pub struct SimulatedGroup {
    queue: Vec<GroupRequest>,
    /// Requests in the batch whose prompts are read, with the tokens left.
    reading: Vec<(GroupRequest, f64)>,
    /// Answer tokens left of the running requests.
    running: Vec<f64>,
    /// The end of the current pass in milliseconds.
    pass_end: f64,
}

impl SimulatedGroup {
    pub fn push(&mut self, request: GroupRequest) {
        self.queue.push(request);
    }

    /// Runs all passes that begin before `until_ms` and returns the requests whose first event came,
    /// with its time in milliseconds.
    pub fn advance(
        &mut self,
        engine: &documents::EngineSpec,
        until_ms: f64,
    ) -> Vec<(GroupRequest, f64)> {
        let mut started = Vec::new();
        while self.pass_end < until_ms {
            started.extend(self.run_pass(engine, until_ms));
        }
        started
    }

    fn run_pass(
        &mut self,
        engine: &documents::EngineSpec,
        until_ms: f64,
    ) -> Vec<(GroupRequest, f64)> {
        let begin = self.pass_end;
        let batch = usize::try_from(engine.batch.get()).unwrap();
        self.queue.sort_by_key(|request| request.rank);
        while self.running.len() + self.reading.len() < batch {
            let mut queue = self.queue.iter();
            let Some(next) = queue.position(|request| request.sent_ms <= begin) else {
                break;
            };
            let request = self.queue.remove(next);
            self.reading.push((request, request.prompt as f64));
        }
        if self.running.is_empty() && self.reading.is_empty() {
            let next = self.queue.iter().map(|request| request.sent_ms);
            self.pass_end = next.fold(until_ms, f64::min).max(begin + 0.1);
            return Vec::new();
        }
        let steps = f64::from(engine.steps_per_pass);
        let room = engine.chunk.get() as f64 * steps;
        let mut read = 0.0;
        for (_request, left) in &mut self.reading {
            let part = left.min(room - read);
            *left -= part;
            read += part;
        }
        let running = self.running.len() as f64;
        let decode_ms = if self.running.is_empty() {
            0.0
        } else {
            steps * engine.decode_step_ms(running)
        };
        self.pass_end = begin + (decode_ms + read / engine.prefill_tokens_per_ms).max(0.1);
        for left in &mut self.running {
            *left -= steps;
        }
        self.running.retain(|left| *left > 0.0);
        let mut started = Vec::new();
        self.reading.retain(|(request, left)| {
            if *left <= 0.0 {
                started.push((*request, self.pass_end));
            }
            *left > 0.0
        });
        let answers = started.iter();
        self.running
            .extend(answers.map(|(request, _at)| f64::from(request.answer_tokens)));
        started
    }

    /// Returns the load as nodes tell it.
    pub fn load(&self, batch: u32) -> dispatch::LoadFacts {
        let reading = self.reading.iter().map(|(request, _left)| request);
        let mut waiting = urgency::WaitingWork::default();
        let mut mix = urgency::WaitingMix::default();
        for request in self.queue.iter().chain(reading) {
            let work = urgency::WaitingWork {
                requests: 1,
                prompt: request.prompt,
            };
            waiting += work;
            match urgency::UrgencyClass::of_rank(request.rank) {
                urgency::UrgencyClass::Urgent => mix.urgent += work,
                urgency::UrgencyClass::Middle => {}
                urgency::UrgencyClass::Deferred => mix.deferred += work,
            }
        }
        dispatch::LoadFacts {
            running: u32::try_from(self.running.len()).unwrap(),
            waiting: waiting.requests,
            waiting_prompt: waiting.prompt,
            mix,
            slots: batch,
            slowness: 1.0,
            failure_rate: 0.0,
            is_local: true,
            centre: locality::CentreFacts::default(),
            is_unavailable: false,
            answer_time: time::Duration::from_millis(60),
        }
    }
}
