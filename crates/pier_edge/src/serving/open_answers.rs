//! Counts the answers that have not been written to their callers yet.

use std::sync::{self, atomic};

use crate::state;

/// The requests of one server whose answers are not written yet.
///
/// A request counts from its head on until the system has taken the last byte of its answer, or its
/// connection has ended.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenAnswers {
    count: sync::Arc<atomic::AtomicUsize>,
}

impl OpenAnswers {
    pub(crate) fn count(&self) -> usize {
        self.count.load(atomic::Ordering::Acquire)
    }

    /// Counts an answer until the result is dropped.
    fn begin(&self) -> OpenAnswer {
        self.count.fetch_add(1, atomic::Ordering::AcqRel);
        OpenAnswer {
            count: sync::Arc::clone(&self.count),
        }
    }
}

/// Keeps an answer counted.
#[derive(Debug)]
struct OpenAnswer {
    count: sync::Arc<atomic::AtomicUsize>,
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.count.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// How far the answers of one connection are written.
///
/// The HTTP library drops a body as it takes the last part into its own buffer, and flushes the
/// connection as that buffer is empty, so that an answer is written at the first flush after its
/// body.
#[derive(Debug, Clone)]
pub(super) struct AnswerWrites {
    answers: OpenAnswers,
    last: sync::Arc<sync::Mutex<LastAnswer>>,
}

#[derive(Debug, Default)]
struct LastAnswer {
    open: Option<OpenAnswer>,
    is_body_taken: bool,
}

impl AnswerWrites {
    pub(super) fn new(answers: OpenAnswers) -> Self {
        Self {
            answers,
            last: sync::Arc::default(),
        }
    }

    /// Counts the answer to a request whose head was read; its body keeps the result.
    pub(super) fn begin(&self) -> BodyMark {
        let mut last = state::lock(&self.last);
        last.open = Some(self.answers.begin());
        last.is_body_taken = false;
        BodyMark {
            last: sync::Arc::clone(&self.last),
        }
    }

    /// Keeps the connection counted although its answers are written.
    pub(super) fn begin_close(&self) {
        let mut last = state::lock(&self.last);
        last.open.get_or_insert_with(|| self.answers.begin());
        last.is_body_taken = false;
    }

    /// Records that nothing is left in the library's buffer.
    pub(super) fn record_flush(&self) {
        let mut last = state::lock(&self.last);
        if last.is_body_taken {
            last.open = None;
        }
    }

    /// Records that the connection has ended.
    pub(super) fn record_end(&self) {
        state::lock(&self.last).open = None;
    }
}

/// Records when dropped that an answer's body was taken.
#[derive(Debug)]
pub(super) struct BodyMark {
    last: sync::Arc<sync::Mutex<LastAnswer>>,
}

impl Drop for BodyMark {
    fn drop(&mut self) {
        state::lock(&self.last).is_body_taken = true;
    }
}
