//! Relays the parts of a streamed answer to the caller.

use std::{future, time};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::{callers, requests};

/// Number of parts that are queued for a slow caller.
const MAX_QUEUED_PARTS: usize = 16;

/// The answer or the error for a caller.
pub(super) type ReplyResult = Result<callers::CallerReply, callers::ErrorBody>;

/// The result of relaying a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PushResult {
    /// The part is queued for the caller, or buffered.
    Accepted,
    /// The caller has disconnected.
    CallerLeft,
    /// The caller did not accept earlier parts in time.
    TooSlow,
}

/// Relays parts to a caller; the reply is sent with the first part.
#[derive(Debug)]
pub(super) struct RelaySink {
    parts: mpsc::Sender<Bytes>,
    pending_reply: Option<(oneshot::Sender<ReplyResult>, mpsc::Receiver<Bytes>)>,
    answer: Option<requests::AnswerBuffer>,
}

impl RelaySink {
    /// Creates a sink whose reply is sent with the first part.
    pub(super) fn new(reply: oneshot::Sender<ReplyResult>) -> Self {
        let (parts, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
        Self {
            parts,
            pending_reply: Some((reply, receiver)),
            answer: None,
        }
    }

    /// Buffers the parts as well, and continues when the caller disconnects.
    pub(super) fn buffer_answer(mut self) -> Self {
        self.answer = Some(requests::AnswerBuffer::default());
        self
    }

    /// Relays a part, waiting up to a limit for the caller to accept earlier ones.
    pub(super) async fn push(&mut self, part: Bytes, limit: time::Duration) -> PushResult {
        if let Some((reply, receiver)) = self.pending_reply.take() {
            // A caller that has disconnected drops the receiver; the send below then fails.
            let _ignored = reply.send(Ok(callers::CallerReply::events(receiver)));
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

    /// Ends with an error: as the reply if none was sent, else as the last event.
    pub(super) async fn fail(self, error: callers::ErrorBody, limit: time::Duration) {
        if let Some((reply, _receiver)) = self.pending_reply {
            let _ignored = reply.send(Err(error));
            return;
        }
        let sending = self.parts.send(error.to_event().into());
        let _ignored = tokio::time::timeout(limit, sending).await;
    }

    /// Returns the complete buffered answer, or `None` if it was too large or not buffered.
    pub(super) fn into_answer(self) -> Option<Bytes> {
        self.answer?.into_bytes()
    }

    /// Waits until the caller disconnects.
    ///
    /// Never returns before the first part, nor while the answer is also buffered.
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
