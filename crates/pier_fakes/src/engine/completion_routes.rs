//! The completion routes of an engine.

use pier_types::times::clocks;
use serde_json::json;
use tokio::sync::mpsc;

use crate::{engine, fault, record, serve};

/// Events that are buffered between a run and its reply.
const MAX_BUFFERED_EVENTS: usize = 64;

impl engine::EngineApp {
    /// Runs a completion, or refuses it before it starts.
    pub(crate) async fn complete(
        &self,
        request: &serve::FakeRequest,
        chat: bool,
    ) -> serve::FakeReply {
        let sequence = request.sequence;
        let body = match serde_json::from_slice::<engine::CompletionRequest>(&request.body) {
            Ok(body) => body,
            Err(error) => {
                self.core
                    .record
                    .close(sequence, record::RunEnd::Refused, "malformed body");
                return not_started(400, &error.to_string());
            }
        };
        let admitted = serve::lock(&self.simulator)
            .admit(run_request(request, &body, sequence), clocks::boot_now());
        if let Err(refusal) = admitted {
            self.core
                .record
                .close(sequence, record::RunEnd::Refused, refusal.text());
            return not_started(503, refusal.text());
        }
        let Some(app) = self.weak_self.upgrade() else {
            return not_started(503, "stopping");
        };
        let half = self.half_answer(request);
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
        let task = engine::RunTask {
            app,
            sequence,
            answer: engine::AnswerText::new(&body.prompt_text(), body.answer_length()),
            resume_from: request.parsed_header("x-resume-from").unwrap_or(0),
            prefix: body.prefix(),
            crash: self.crash_fault(request, &body.prompt_text()),
            half,
            sender,
        };
        tokio::spawn(task.run());
        let encoder = engine::AnswerEncoder {
            chat,
            id: format!("run-{sequence}"),
            model: body.model.map(String::from).unwrap_or_default(),
        };
        let reply = engine::ReplyTask {
            receiver,
            encoder,
            half,
            proxy: self.core.proxy.clone(),
            client: request.client,
        };
        reply.reply(body.stream).await
    }

    fn half_answer(&self, request: &serve::FakeRequest) -> Option<engine::HalfAnswer> {
        let taken = self.core.faults.take(request, |kind| {
            matches!(kind, fault::FaultKind::HalfAnswer { .. })
        });
        match taken {
            Some(fault::FaultKind::HalfAnswer { tokens, clean_end }) => {
                Some(engine::HalfAnswer { tokens, clean_end })
            }
            _ => None,
        }
    }

    fn crash_fault(&self, request: &serve::FakeRequest, prompt: &str) -> Option<fault::FaultKind> {
        self.core.faults.take(request, |kind| {
            matches!(kind, fault::FaultKind::CrashOnPrompt { marker, .. } if prompt.contains(marker))
        })
    }
}

/// Returns the properties of a request that admission and scheduling use.
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

/// Creates the error reply to a request that did not start.
pub(crate) fn not_started(status: u16, reason: &str) -> serve::FakeReply {
    serve::FakeReply::json(status, &json!({"error": reason})).header("X-Not-Started", 1)
}
