//! A call that is to be sent.

use std::time;

use pier_fakes::engine;
use pier_types::priorities;
use serde_json::json;

/// Characters of a prompt that are shared: as many as make up a cached prefix.
const PREFIX_CHARS: usize = 256;

/// One call of a schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPlan {
    /// Number of the call in the schedule.
    pub number: usize,
    /// When it is sent, counted from the start of the schedule.
    pub at: time::Duration,
    /// Selects the node to which it is sent, modulo the number of nodes.
    pub node_index: usize,
    /// Which shared prefix its prompt begins with.
    pub prefix: u32,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub is_streamed: bool,
    /// Priority.
    pub priority: priorities::RequestPriority,
    /// Deadline, counted from sending.
    pub deadline: time::Duration,
}

impl CallPlan {
    /// Returns the mark: a text that no other call of the schedule contains.
    pub fn mark(&self) -> String {
        format!("call-{:07}.", self.number)
    }

    /// Returns the prompt: a shared prefix, then the mark.
    pub fn prompt(&self) -> String {
        let start = format!("template {:04} ", self.prefix);
        let mut prompt = start.repeat(PREFIX_CHARS / start.len() + 1);
        prompt.truncate(PREFIX_CHARS);
        prompt + &self.mark()
    }

    /// Returns the body; the mark comes first, since engines record only the start of a body.
    pub fn body(&self, model: &str) -> String {
        let (user, model, prompt) = (json!(self.mark()), json!(model), json!(self.prompt()));
        let (tokens, stream) = (self.tokens, self.is_streamed);
        format!(
            "{{\"user\":{user},\"model\":{model},\"max_tokens\":{tokens},\"stream\":{stream},\
             \"prompt\":{prompt}}}"
        )
    }

    /// Returns the expected answer.
    pub fn answer(&self) -> String {
        engine::AnswerText::new(&self.prompt(), self.tokens).whole()
    }
}
