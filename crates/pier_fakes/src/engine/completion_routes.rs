//! Completions of an engine.

use bytes::Bytes;
use pier_types::times::clocks;
use serde_json::json;
use tokio::sync::mpsc;

use crate::{engine, record, serve};

/// Parts that wait between a run and its reply.
const PART_LIMIT: usize = 64;

impl engine::EngineApp {
    /// Runs a completion, or refuses it before it starts.
    pub(crate) async fn complete(
        &self,
        request: &serve::FakeRequest,
        chat: bool,
    ) -> serve::FakeReply {
        let sequence = self.record.arrive(request);
        let body = match serde_json::from_slice::<engine::CompletionRequest>(&request.body) {
            Ok(body) => body,
            Err(error) => {
                self.record
                    .close(sequence, record::RunEnd::Refused, "malformed body");
                return not_started(400, &error.to_string());
            }
        };
        let admitted = serve::lock(&self.model)
            .admit(run_request(request, &body, sequence), clocks::boot_now());
        if let Err(refusal) = admitted {
            self.record
                .close(sequence, record::RunEnd::Refused, refusal.text());
            return not_started(503, refusal.text());
        }
        let Some(app) = self.this.upgrade() else {
            return not_started(503, "stopping");
        };
        let (sender, receiver) = mpsc::channel(PART_LIMIT);
        let task = engine::RunTask {
            app,
            sequence,
            answer: engine::AnswerText::new(&body.prompt_text(), body.answer_length()),
            resume_from: request.parsed_header("x-resume-from").unwrap_or(0),
            prefix: body.prefix(),
            sender,
        };
        tokio::spawn(task.run());
        let text = engine::EventText {
            chat,
            id: format!("run-{sequence}"),
            model: body.model.map(String::from).unwrap_or_default(),
        };
        reply(receiver, text, body.stream).await
    }
}

/// Returns what the engine decides about a request from.
fn run_request(
    request: &serve::FakeRequest,
    body: &engine::CompletionRequest,
    sequence: u64,
) -> engine::RunRequest {
    let priority = match request.header("x-priority") {
        Some("high") => 2,
        Some("low") => 0,
        _ => 1,
    };
    engine::RunRequest {
        sequence,
        attempt: request.header("x-attempt-id").map(str::to_owned),
        priority,
        group: request.parsed_header("x-group"),
        generation: request.parsed_header("x-generation"),
        model: body.model.clone(),
        prefix: body.prefix(),
    }
}

fn not_started(status: u16, reason: &str) -> serve::FakeReply {
    serve::FakeReply::json(status, &json!({"error": reason})).header("X-Not-Started", 1)
}

/// Replies once the run has started, or with the reason why it did not.
async fn reply(
    mut receiver: mpsc::Receiver<engine::RunPart>,
    text: engine::EventText,
    stream: bool,
) -> serve::FakeReply {
    match receiver.recv().await {
        Some(engine::RunPart::Started) if stream => stream_reply(receiver, text),
        Some(engine::RunPart::Started) => whole_reply(receiver, text).await,
        Some(engine::RunPart::Dropped) => not_started(503, "dropped"),
        _ => serve::FakeReply::json(500, &json!({"error": "broken off"})),
    }
}

fn stream_reply(
    mut receiver: mpsc::Receiver<engine::RunPart>,
    text: engine::EventText,
) -> serve::FakeReply {
    let (sender, events) = mpsc::channel::<Bytes>(1);
    tokio::spawn(async move {
        while let Some(part) = receiver.recv().await {
            let event = match part {
                engine::RunPart::Token {
                    index,
                    text: token,
                    last,
                } => text.token(index, &token, last),
                engine::RunPart::Done => engine::EventText::done(),
                _ => break,
            };
            if sender.send(event).await.is_err() {
                break;
            }
        }
    });
    serve::FakeReply::events(events)
}

async fn whole_reply(
    mut receiver: mpsc::Receiver<engine::RunPart>,
    text: engine::EventText,
) -> serve::FakeReply {
    let mut answer = String::new();
    let mut tokens = 0;
    while let Some(part) = receiver.recv().await {
        match part {
            engine::RunPart::Token { text: token, .. } => {
                answer.push_str(&token);
                tokens += 1;
            }
            engine::RunPart::Done => {
                return serve::FakeReply::json(200, &text.whole(&answer, tokens));
            }
            _ => break,
        }
    }
    serve::FakeReply::json(500, &json!({"error": "broken off"}))
}
