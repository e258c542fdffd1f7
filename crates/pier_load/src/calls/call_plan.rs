//! One call that is to be sent.

use std::time;

use pier_fakes::engine;
use pier_types::priorities;
use serde_json::json;

/// Characters of a prompt that are shared: as many as name a prefix.
const PREFIX_CHARS: usize = 256;

/// One call of a schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPlan {
    /// Its number in the schedule.
    pub number: usize,
    /// When it is sent, counted from the start of the schedule.
    pub at: time::Duration,
    /// Draws the node that its caller reaches.
    pub node_index: usize,
    /// Which shared prefix its prompt begins with.
    pub prefix: u32,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub is_streamed: bool,
    /// How urgent it is.
    pub priority: priorities::RequestPriority,
    /// Time that its caller waits.
    pub deadline: time::Duration,
}

impl CallPlan {
    /// Returns the text that no other call of the schedule carries.
    pub fn mark(&self) -> String {
        format!("call-{:07}.", self.number)
    }

    /// Returns the prompt: a shared start and the mark.
    pub fn prompt(&self) -> String {
        let start = format!("template {:04} ", self.prefix);
        let mut prompt = start.repeat(PREFIX_CHARS / start.len() + 1);
        prompt.truncate(PREFIX_CHARS);
        prompt + &self.mark()
    }

    /// Returns the body; the mark stands first, so that engines' records keep it.
    pub fn body(&self, model: &str) -> String {
        let (user, model, prompt) = (json!(self.mark()), json!(model), json!(self.prompt()));
        let (tokens, stream) = (self.tokens, self.is_streamed);
        format!(
            "{{\"user\":{user},\"model\":{model},\"max_tokens\":{tokens},\"stream\":{stream},\
             \"prompt\":{prompt}}}"
        )
    }

    /// Returns the one right answer.
    pub fn answer(&self) -> String {
        engine::AnswerText::new(&self.prompt(), self.tokens).whole()
    }
}
