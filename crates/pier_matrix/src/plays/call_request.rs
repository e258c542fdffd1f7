//! The request of one call of a play.

use pier_types::times;

use crate::{bench, cases};

/// Deadline of a call when the play gives none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// The request that a caller of a play sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// Name of the node to which it is sent.
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
    /// Text in the request by which the call is found in the records of the targets.
    ///
    /// Calls share it only if the play gives them the same mark.
    pub mark: String,
    /// Deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the caller sends the call again after a delay when it was refused as not run.
    pub retries_not_run: bool,
}

impl CallRequest {
    /// Parses a `send` line.
    ///
    /// # Errors
    ///
    /// Fails when an argument is missing or the kind of call is unknown.
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
            other => anyhow::bail!("unknown kind of call {other:?}"),
        }
        Ok(call)
    }
}
