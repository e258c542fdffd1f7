//! How fast a service's engines work, as their operators publish it.

use std::time;

use pier_types::{ids, sizes};

use crate::documents;

/// Published times of one engine's passes, its memory and its models.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests that a group runs at once.
    pub batch: sizes::RequestCount,
    /// Tokens that fit a group's memory.
    pub memory: sizes::TokenCount,
    /// Token steps in one pass.
    pub steps_per_pass: u32,
    /// Milliseconds of a token step without requests.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    pub request_ms: f64,
    /// Milliseconds that each thousand tokens of context add to a step.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// Most prompt tokens read in one step.
    pub chunk: sizes::TokenCount,
    /// Mean tokens of a prompt.
    pub usual_prompt: f64,
    /// Mean tokens of an answer.
    pub usual_answer: f64,
    /// Weight loads that may begin in a second, over all VMs.
    pub loads_per_second: f64,
    /// Weight loads that run at full speed at once, over all VMs.
    pub loads_at_once: u32,
    /// From the order to open until a group serves.
    pub open_time: time::Duration,
    /// The models that groups may run.
    pub models: Vec<documents::ModelSpec>,
}

impl EngineSpec {
    /// Returns a model of this engine by its name.
    pub fn model(&self, name: &ids::ModelName) -> Option<&documents::ModelSpec> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Returns the milliseconds of one token step with so many requests of usual context.
    pub fn step_time_ms(&self, running: f64) -> f64 {
        let context = self.usual_prompt + self.usual_answer / 2.0;
        let each = self.request_ms + self.context_ms * context / 1_000.0;
        self.step_ms + each * running
    }
}
