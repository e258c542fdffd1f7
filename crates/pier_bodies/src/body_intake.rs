//! Takes a body in as it comes.

use pier_fleet::budgets;
use pier_types::times;
use tokio::sync::oneshot;

use super::{BodyRoom, BodyShare};

/// Size of the first block of a body without a stated length, in bytes.
const FIRST_BLOCK_BYTES: usize = 4 << 10;

/// Size of the blocks of a body that is longer than one, in bytes. Equal blocks are used again for
/// other bodies.
const BLOCK_BYTES: usize = 64 << 10;

/// A body that is being read, in blocks that are reserved before they are filled.
#[derive(Debug)]
pub struct BodyIntake {
    blocks: Vec<bytes::BytesMut>,
    /// Released after the blocks.
    share: BodyShare,
    ends: oneshot::Receiver<budgets::BodyEnd>,
    stated: Option<u64>,
    /// What is still to be reserved for bytes that are read ahead of this body.
    read_ahead: usize,
    length: usize,
    started_at: times::BootTime,
    progress_at: times::BootTime,
}

impl BodyIntake {
    /// Begins a body of which nothing has come yet.
    pub fn begin(room: &BodyRoom, stated: Option<u64>, now: times::BootTime) -> Self {
        let (share, ends) = room.begin(stated, now);
        Self {
            blocks: Vec::new(),
            share,
            ends,
            stated,
            read_ahead: 0,
            length: 0,
            started_at: now,
            progress_at: now,
        }
    }

    /// Also reserves, once the body is no longer small, what its connection may hold of it unread: this
    /// many bytes, or the stated length if that is less.
    #[must_use]
    pub fn with_read_ahead(mut self, bytes: usize) -> Self {
        let stated = self.stated_size();
        self.read_ahead = stated.map_or(bytes, |stated| stated.min(bytes));
        self
    }

    /// Returns the bytes that have come.
    pub const fn length(&self) -> usize {
        self.length
    }

    /// Returns the stated length.
    pub const fn stated(&self) -> Option<u64> {
        self.stated
    }

    /// Returns when the body began.
    pub const fn started_at(&self) -> times::BootTime {
        self.started_at
    }

    /// Returns when a part of it came last.
    pub const fn progress_at(&self) -> times::BootTime {
        self.progress_at
    }

    /// Waits until the body is told to end.
    pub async fn ended(&mut self) -> budgets::BodyEnd {
        let end = (&mut self.ends).await;
        end.unwrap_or(budgets::BodyEnd::Crowded)
    }

    /// Adds a part that came at the given time, once there is memory for it.
    ///
    /// # Errors
    ///
    /// Fails when the body is to end.
    pub async fn append(
        &mut self,
        mut data: &[u8],
        now: times::BootTime,
    ) -> Result<(), budgets::BodyEnd> {
        self.progress_at = now;
        self.share.record_progress(now);
        while !data.is_empty() {
            let last = self.blocks.last();
            let room = last.map_or(0, |block| block.capacity() - block.len());
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

    /// Returns the whole body, whose memory stays reserved until the last clone is dropped.
    pub fn finish(mut self) -> bytes::Bytes {
        let whole = if self.blocks.len() > 1 {
            let mut whole = Vec::with_capacity(self.length);
            // Each block is released as soon as it is copied.
            for block in self.blocks.drain(..) {
                whole.extend_from_slice(&block);
            }
            bytes::Bytes::from(whole)
        } else {
            self.blocks
                .pop()
                .map_or_else(bytes::Bytes::new, bytes::BytesMut::freeze)
        };
        self.share.attach(whole)
    }

    async fn add_block(&mut self) -> Result<(), budgets::BodyEnd> {
        let size = self.next_block();
        let is_large = (self.length + size) as u64 > budgets::SMALL_BODY_BYTES;
        let read_ahead = if is_large { self.read_ahead } else { 0 };
        tokio::select! {
            biased;
            end = &mut self.ends => return Err(end.unwrap_or(budgets::BodyEnd::Crowded)),
            reserved = self.share.reserve(size + read_ahead) => reserved?,
        }
        self.read_ahead -= read_ahead;
        self.blocks.push(bytes::BytesMut::with_capacity(size));
        Ok(())
    }

    /// Returns the size of the next block.
    fn next_block(&self) -> usize {
        match self.stated_size() {
            Some(stated) => stated.saturating_sub(self.length).clamp(1, BLOCK_BYTES),
            // Doubles what is held, up to the size of a block.
            None => self.length.clamp(FIRST_BLOCK_BYTES, BLOCK_BYTES),
        }
    }

    fn stated_size(&self) -> Option<usize> {
        self.stated.and_then(|stated| usize::try_from(stated).ok())
    }
}
