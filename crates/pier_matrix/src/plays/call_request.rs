//! One call of a play.

use pier_types::times;

use crate::{bench, cases};

/// Time a caller waits when the play names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// What a caller of a play sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// The node that the caller reaches.
    pub node: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// Bearer key.
    pub bearer: String,
    /// The body.
    pub body: String,
    /// Text found in the stand-ins' record of this call and no other.
    pub mark: String,
    /// Time the caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the caller sends again, after a pause, what was refused as not run.
    pub retries_not_run: bool,
}

impl CallRequest {
    /// Reads what a line sends.
    ///
    /// # Errors
    ///
    /// Fails when the line lacks a word or names no known call.
    pub(super) fn read(
        line: &cases::PlayLine,
        label: &str,
        keys_issued_at: times::WallTime,
    ) -> anyhow::Result<Self> {
        let mark = line.option("mark").unwrap_or(label);
        let mark = format!("mark-{mark}.");
        let kind = line.word(2)?;
        let deadline_ms = line.option("deadline-ms").map(str::parse).transpose()?;
        let mut call = Self {
            node: line.word(1)?.to_owned(),
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            key: line
                .option("key")
                .map(|name| format!("{keys_issued_at}-{name:0>8}")),
            bearer: line
                .option("bearer")
                .unwrap_or(bench::BEARER_KEY)
                .to_owned(),
            body: String::new(),
            mark: mark.clone(),
            deadline_ms: deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
            retries_not_run: line.option("comes-back") == Some("yes"),
        };
        let tokens: u64 = line.option("tokens").unwrap_or("8").parse()?;
        let fields = serde_json::json!({
            "model": "draft", "prompt": mark, "max_tokens": tokens, "stream": kind == "stream"
        });
        match kind {
            "draft" | "stream" => call.body = fields.to_string(),
            "charge" => {
                "/services/ledger/charges".clone_into(&mut call.path);
                call.body = serde_json::json!({ "for": mark }).to_string();
            }
            "balance" => {
                "GET".clone_into(&mut call.method);
                call.path = format!("/services/ledger/balance/{mark}");
            }
            other => anyhow::bail!("no call {other:?}"),
        }
        Ok(call)
    }
}
