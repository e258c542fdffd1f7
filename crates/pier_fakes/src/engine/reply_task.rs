//! Turns the events of a run into an HTTP reply.

use std::{net, time};

use bytes::Bytes;
use serde_json::json;
use tokio::sync::mpsc;

use crate::{engine, engine::completion_routes, serve};

/// Delay that lets events already sent reach the caller before the connection is cut.
const FLUSH_DELAY: time::Duration = time::Duration::from_millis(20);

/// The reply to one admitted request.
#[derive(Debug)]
pub(crate) struct ReplyTask {
    /// The events of the run.
    pub receiver: mpsc::Receiver<engine::RunEvent>,
    /// Encodes them as JSON.
    pub encoder: engine::AnswerEncoder,
    /// Where a fault truncates the answer.
    pub half: Option<engine::HalfAnswer>,
    /// The proxy that can cut the connection.
    pub proxy: serve::FaultProxy,
    /// The address of the request's connection.
    pub client: Option<net::SocketAddr>,
}

impl ReplyTask {
    /// Waits until the run starts and replies, or replies with an error if it did not start.
    pub(crate) async fn reply(mut self, stream: bool) -> serve::FakeReply {
        match self.receiver.recv().await {
            Some(engine::RunEvent::Started) if stream => self.stream(),
            Some(engine::RunEvent::Started) => self.collect_answer().await,
            Some(engine::RunEvent::Dropped) => completion_routes::not_started(503, "dropped"),
            _ => broken_off(),
        }
    }

    fn stream(self) -> serve::FakeReply {
        let (sender, events) = mpsc::channel::<Bytes>(1);
        tokio::spawn(self.send_events(sender));
        serve::FakeReply::events(events)
    }

    async fn send_events(mut self, sender: mpsc::Sender<Bytes>) {
        while let Some(run_event) = self.receiver.recv().await {
            let event = match run_event {
                engine::RunEvent::Token { index, text, last } => {
                    self.encoder.token(index, &text, last)
                }
                engine::RunEvent::Done => {
                    let _receiver_gone = sender.send(engine::AnswerEncoder::done()).await;
                    return;
                }
                _ => break,
            };
            if sender.send(event).await.is_err() {
                return;
            }
        }
        self.cut_if_faulted().await;
    }

    async fn collect_answer(mut self) -> serve::FakeReply {
        let mut answer = String::new();
        let mut tokens = 0;
        while let Some(run_event) = self.receiver.recv().await {
            match run_event {
                engine::RunEvent::Token { text, .. } => {
                    answer.push_str(&text);
                    tokens += 1;
                }
                engine::RunEvent::Done => {
                    return serve::FakeReply::json(
                        200,
                        &self.encoder.complete_answer(&answer, tokens),
                    );
                }
                _ => break,
            }
        }
        self.cut_if_faulted().await;
        broken_off()
    }

    /// Cuts the connection if a fault truncates the answer without a clean end.
    async fn cut_if_faulted(&self) {
        if self.half.is_some_and(|half| !half.clean_end) {
            tokio::time::sleep(FLUSH_DELAY).await;
            self.proxy.cut(self.client);
        }
    }
}

fn broken_off() -> serve::FakeReply {
    serve::FakeReply::json(500, &json!({"error": "broken off"}))
}
