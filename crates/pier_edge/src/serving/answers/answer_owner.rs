//! Whom an answer is for, and how it is ended.

use pier_fleet::budgets;
use tokio::sync::oneshot;

use crate::serving;

/// The request and the caller's connection of an answer.
#[derive(Debug)]
pub(in crate::serving) struct AnswerOwner {
    attempt: String,
    /// Ends the caller's connection.
    reset: serving::ResetSwitch,
    /// Tells the reader of an answer of which nothing was passed on yet.
    reader: Option<oneshot::Sender<budgets::AnswerEnd>>,
    is_ended: bool,
}

impl AnswerOwner {
    pub(in crate::serving) const fn new(attempt: String, reset: serving::ResetSwitch) -> Self {
        Self {
            attempt,
            reset,
            reader: None,
            is_ended: false,
        }
    }

    pub(super) const fn attempt(&self) -> &str {
        self.attempt.as_str()
    }

    pub(super) const fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Lets the reader of the answer end it, until [`Self::begin_delivery`].
    pub(super) fn tell_reader(&mut self) -> oneshot::Receiver<budgets::AnswerEnd> {
        let (sender, receiver) = oneshot::channel();
        self.reader = Some(sender);
        receiver
    }

    /// Records that the caller gets the answer from now on.
    pub(super) fn begin_delivery(&mut self) {
        self.reader = None;
    }

    /// Ends the answer: with a refusal if nothing was passed on, and else visibly with the caller's
    /// connection.
    pub(super) fn end(&mut self, end: budgets::AnswerEnd) {
        self.is_ended = true;
        match self.reader.take() {
            // A reader that has just left releases the answer anyway.
            Some(reader) => drop(reader.send(end)),
            None => self.reset.end_now(),
        }
    }
}
