//! Published timing and capacity of a service's engines.

use std::time;

use pier_types::{ids, sizes};
use serde::{Deserialize, Serialize};

use crate::documents;

/// Published pass times, memory and models of an engine, as its operators state them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that a group runs in one batch.
    pub batch: sizes::RequestCount,
    /// Tokens that fit into a group's KV cache.
    pub kv_cache_size: sizes::TokenCount,
    /// Decode steps in one pass.
    pub steps_per_pass: u32,
    /// Milliseconds of a decode step without requests.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a decode step.
    pub request_ms: f64,
    /// Milliseconds that each thousand tokens of context add to a decode step.
    pub context_ms: f64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Most prompt tokens prefilled in one step.
    pub chunk: sizes::TokenCount,
    /// Mean tokens of a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean tokens of an answer.
    pub mean_answer_tokens: f64,
    /// Weight loads that may start per second, over all VMs.
    pub loads_per_second: f64,
    /// Weight loads that can run at full speed concurrently, over all VMs.
    pub loads_at_once: u32,
    /// Time from the order to open until a group serves.
    pub open_time: time::Duration,
    /// The models that groups may run.
    pub models: Vec<documents::ModelSpec>,
}

impl EngineSpec {
    /// Returns a model of this engine by its name.
    pub fn model(&self, name: &ids::ModelName) -> Option<&documents::ModelSpec> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Returns the milliseconds of one decode step with `running` requests of mean context length.
    pub fn decode_step_ms(&self, running: f64) -> f64 {
        let context = self.mean_prompt_tokens + self.mean_answer_tokens / 2.0;
        let each = self.request_ms + self.context_ms * context / 1_000.0;
        self.step_ms + each * running
    }
}
