//! Answers that are read to their end before anything of them is passed on.

use std::collections;

use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use pier_fleet::budgets;
use pier_request::attempts;
use pier_types::times;
use tokio::sync::oneshot;

use super::{AnswerLimit, AnswerOwner, AnswerRoom, AnswerShare};
use crate::serving;

/// Greatest size of an answer that is buffered.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Size of the first block of an answer without a stated length, in bytes.
const FIRST_BLOCK_BYTES: usize = 4 << 10;

/// Size of the blocks of an answer that is longer than one, in bytes. Equal blocks are used again for
/// other answers.
const BLOCK_BYTES: usize = 64 << 10;

/// The body of a whole answer, in blocks that are released one by one as the caller takes them.
#[derive(Debug, Default)]
pub(crate) struct WholeAnswer {
    blocks: collections::VecDeque<bytes::Bytes>,
    length: usize,
}

impl WholeAnswer {
    /// Reads a body to its end; also returns the pauses that lack of memory made.
    ///
    /// # Errors
    ///
    /// Fails when the body is truncated, longer than [`MAX_ANSWER_BYTES`], or given up for others.
    pub(in crate::serving) async fn read(
        body: &mut Incoming,
        room: &AnswerRoom,
        owner: AnswerOwner,
    ) -> Result<(Self, attempts::UnreadPause), serving::SendFault> {
        let stated = body.size_hint().exact();
        let (share, told) = room.begin_whole(owner);
        let mut reader = AnswerReader {
            share,
            told,
            stated: stated.and_then(|stated| usize::try_from(stated).ok()),
            blocks: Vec::new(),
            length: 0,
            pause: attempts::UnreadPause::default(),
        };
        reader.read_all(body).await?;
        Ok((reader.answer(), reader.pause))
    }

    /// Returns the number of bytes that are left.
    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    /// Takes the next block.
    pub(crate) fn next_block(&mut self) -> Option<bytes::Bytes> {
        let block = self.blocks.pop_front()?;
        self.length -= block.len();
        Some(block)
    }
}

impl From<bytes::Bytes> for WholeAnswer {
    fn from(bytes: bytes::Bytes) -> Self {
        Self {
            length: bytes.len(),
            blocks: [bytes].into(),
        }
    }
}

/// Reads an answer in blocks that are reserved before they are filled.
#[derive(Debug)]
struct AnswerReader {
    share: AnswerShare,
    told: oneshot::Receiver<budgets::AnswerEnd>,
    stated: Option<usize>,
    blocks: Vec<bytes::BytesMut>,
    length: usize,
    pause: attempts::UnreadPause,
}

impl AnswerReader {
    async fn read_all(&mut self, body: &mut Incoming) -> Result<(), serving::SendFault> {
        loop {
            let asked_at = times::clocks::boot_now();
            let frame = tokio::select! {
                biased;
                _end = &mut self.told => return Err(given_up()),
                frame = body.frame() => frame,
            };
            let now = times::clocks::boot_now();
            self.pause.record_wait(now.since(asked_at));
            let Some(frame) = frame else {
                return Ok(());
            };
            let frame = frame.map_err(|error| self.broken_off(&error))?;
            if let Some(data) = frame.data_ref() {
                self.append(data).await?;
            }
        }
    }

    /// Returns the fault of a body that ended with an error.
    fn broken_off(&self, error: &hyper::Error) -> serving::SendFault {
        serving::SendFault::of_end(&error.to_string(), self.pause)
    }

    async fn append(&mut self, mut data: &[u8]) -> Result<(), serving::SendFault> {
        if self.length + data.len() > MAX_ANSWER_BYTES {
            return Err(serving::SendFault::TooLarge(AnswerLimit::Body));
        }
        while !data.is_empty() {
            let room = self
                .blocks
                .last()
                .map_or(0, |block| block.capacity() - block.len());
            if room == 0 {
                self.add_block().await?;
                continue;
            }
            let (part, rest) = data.split_at(data.len().min(room));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(part);
            }
            self.length += part.len();
            data = rest;
        }
        Ok(())
    }

    async fn add_block(&mut self) -> Result<(), serving::SendFault> {
        let size = match self.stated {
            Some(stated) => stated.saturating_sub(self.length).clamp(1, BLOCK_BYTES),
            // Doubles what is held, up to the size of a block.
            None => self.length.clamp(FIRST_BLOCK_BYTES, BLOCK_BYTES),
        };
        let asked_at = times::clocks::boot_now();
        tokio::select! {
            biased;
            _end = &mut self.told => return Err(given_up()),
            reserved = self.share.reserve(size) => reserved.map_err(|_end| given_up())?,
        }
        let now = times::clocks::boot_now();
        self.pause.record_pause(now.since(asked_at));
        self.blocks.push(bytes::BytesMut::with_capacity(size));
        Ok(())
    }

    /// Hands the blocks over to the caller.
    fn answer(&mut self) -> WholeAnswer {
        self.share.begin_delivery();
        let mut blocks = collections::VecDeque::new();
        for block in self.blocks.drain(..) {
            self.share.discard(block.capacity() - block.len());
            blocks.push_back(self.share.hand_over(block.freeze()));
        }
        WholeAnswer {
            blocks,
            length: self.length,
        }
    }
}

const fn given_up() -> serving::SendFault {
    serving::SendFault::TooLarge(AnswerLimit::Budget)
}
