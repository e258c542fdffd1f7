//! Turning the parts of a run into a reply.

use std::{net, time};

use bytes::Bytes;
use serde_json::json;
use tokio::sync::mpsc;

use crate::{engine, engine::completion_routes, serve};

/// Time that sent events get to leave before the connection is cut.
const FLUSH_TIME: time::Duration = time::Duration::from_millis(20);

/// The reply to one admitted request.
#[derive(Debug)]
pub(crate) struct ReplyTask {
    /// The parts of the run.
    pub receiver: mpsc::Receiver<engine::RunPart>,
    /// How they are written.
    pub text: engine::EventText,
    /// Where a fault breaks the answer off.
    pub half: Option<engine::HalfAnswer>,
    /// The connections.
    pub gate: serve::FaultGate,
    /// The connection that the request came by.
    pub client: Option<net::SocketAddr>,
}

impl ReplyTask {
    /// Replies once the run has started, or with the reason why it did not.
    pub(crate) async fn reply(mut self, stream: bool) -> serve::FakeReply {
        match self.receiver.recv().await {
            Some(engine::RunPart::Started) if stream => self.stream(),
            Some(engine::RunPart::Started) => self.whole().await,
            Some(engine::RunPart::Dropped) => completion_routes::not_started(503, "dropped"),
            _ => broken(),
        }
    }

    fn stream(self) -> serve::FakeReply {
        let (sender, events) = mpsc::channel::<Bytes>(1);
        tokio::spawn(self.send_events(sender));
        serve::FakeReply::events(events)
    }

    async fn send_events(mut self, sender: mpsc::Sender<Bytes>) {
        while let Some(part) = self.receiver.recv().await {
            let event = match part {
                engine::RunPart::Token { index, text, last } => self.text.token(index, &text, last),
                engine::RunPart::Done => {
                    let _unheard = sender.send(engine::EventText::done()).await;
                    return;
                }
                _ => break,
            };
            if sender.send(event).await.is_err() {
                return;
            }
        }
        self.cut().await;
    }

    async fn whole(mut self) -> serve::FakeReply {
        let mut answer = String::new();
        let mut tokens = 0;
        while let Some(part) = self.receiver.recv().await {
            match part {
                engine::RunPart::Token { text, .. } => {
                    answer.push_str(&text);
                    tokens += 1;
                }
                engine::RunPart::Done => {
                    return serve::FakeReply::json(200, &self.text.whole(&answer, tokens));
                }
                _ => break,
            }
        }
        self.cut().await;
        broken()
    }

    /// Cuts the connection if a fault asks for it.
    async fn cut(&self) {
        if self.half.is_some_and(|half| !half.clean_end) {
            tokio::time::sleep(FLUSH_TIME).await;
            self.gate.cut(self.client);
        }
    }
}

fn broken() -> serve::FakeReply {
    serve::FakeReply::json(500, &json!({"error": "broken off"}))
}
