//! Where the parts of a streamed answer go.

use std::{future, time};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::{callers, requests};

/// Parts that may wait for a slow caller.
const STREAM_BUFFER: usize = 16;

/// The answer to a caller, or the error in its place.
pub(super) type ReplyResult = Result<callers::CallerReply, callers::ErrorBody>;

/// What became of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PushResult {
    /// It is on its way, or kept for later.
    Accepted,
    /// Nobody wants it any more.
    CallerLeft,
    /// The caller did not take earlier parts in time.
    TooSlow,
}

/// Relays parts to a caller: the reply begins with the first one.
#[derive(Debug)]
pub(super) struct RelaySink {
    parts: mpsc::Sender<Bytes>,
    pending_reply: Option<(oneshot::Sender<ReplyResult>, mpsc::Receiver<Bytes>)>,
    answer: Option<requests::AnswerBuffer>,
}

impl RelaySink {
    /// Makes a sink whose reply is sent with the first part.
    pub(super) fn new(reply: oneshot::Sender<ReplyResult>) -> Self {
        let (parts, receiver) = mpsc::channel(STREAM_BUFFER);
        Self {
            parts,
            pending_reply: Some((reply, receiver)),
            answer: None,
        }
    }

    /// Keeps the parts too, and goes on when the caller leaves.
    pub(super) fn buffer_answer(mut self) -> Self {
        self.answer = Some(requests::AnswerBuffer::default());
        self
    }

    /// Relays a part, waiting no longer than a limit for the caller to take earlier ones.
    pub(super) async fn push(&mut self, part: Bytes, limit: time::Duration) -> PushResult {
        if let Some((reply, receiver)) = self.pending_reply.take() {
            // A caller who left drops the receiver, which the send below notices.
            let _unheard = reply.send(Ok(callers::CallerReply::events(receiver)));
        }
        if let Some(answer) = &mut self.answer {
            answer.add(&part);
        }
        let sent = tokio::time::timeout(limit, self.parts.send(part)).await;
        match sent {
            _ if self.answer.is_some() => PushResult::Accepted,
            Ok(Ok(())) => PushResult::Accepted,
            Ok(Err(_left)) => PushResult::CallerLeft,
            Err(_elapsed) => PushResult::TooSlow,
        }
    }

    /// Ends with an error: in place of the reply, or as the last event.
    pub(super) async fn fail(self, error: callers::ErrorBody, limit: time::Duration) {
        if let Some((reply, _receiver)) = self.pending_reply {
            let _unheard = reply.send(Err(error));
            return;
        }
        let sending = self.parts.send(error.to_event().into());
        let _unheard = tokio::time::timeout(limit, sending).await;
    }

    /// Returns the whole answer that was kept, if it was not too large.
    pub(super) fn into_answer(self) -> Option<Bytes> {
        self.answer?.into_bytes()
    }

    /// Waits until the caller left and nobody wants the rest.
    pub(super) async fn caller_left(&self) {
        if self.answer.is_some() {
            return future::pending().await;
        }
        match &self.pending_reply {
            Some((_reply, _receiver)) => future::pending().await,
            None => self.parts.closed().await,
        }
    }
}
