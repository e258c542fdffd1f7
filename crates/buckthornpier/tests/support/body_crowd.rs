//! Crowds of callers that fill a node's memory with the bodies of their requests.

use std::{fmt::Write as _, time};

use tokio::{io::AsyncWriteExt as _, net::TcpStream};

/// One of this many callers sends its body to the end.
const WHOLE_EVERY: usize = 8;

/// What the other callers leave out of their bodies, in bytes.
const MISSING_BYTES: usize = 1 << 10;

/// Callers of the crowd that is large in number.
const LARGE_CROWD: usize = 400;

/// What each caller of the large crowd sends of its body, in bytes.
const LARGE_CROWD_BYTES: usize = 20 << 10;

/// How the callers of a crowd send their bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdBodies {
    /// With a length, at once.
    Whole,
    /// With a length, in pieces.
    Pieces,
    /// In large chunks.
    LargeChunks,
    /// In very small chunks.
    SmallChunks,
    /// Far over the limit, as their length says.
    Announced,
    /// Far over the limit, without a length.
    JustSent,
    /// From more callers than there may be connections.
    Many,
}

/// What callers send to a node, and what it may use.
#[derive(Debug, Clone, Copy)]
pub struct CrowdPlan {
    /// Returns the head of a request with the given lines on its body.
    pub request_head: fn(&str) -> String,
    /// Size of the largest body that is allowed, in bytes.
    pub body_size: usize,
    /// The memory that the node may use, in MiB.
    pub memory_mib: u64,
    /// The descriptors that it may have open.
    pub max_descriptors: usize,
}

impl CrowdPlan {
    /// Returns the number of callers: the bodies of a small crowd are together one and a half times
    /// the node's memory.
    pub(super) fn size(&self, bodies: CrowdBodies) -> usize {
        if bodies == CrowdBodies::Many {
            return LARGE_CROWD;
        }
        let memory = usize::try_from(self.memory_mib << 20).unwrap();
        memory / 2 * 3 / self.body_size
    }

    /// Returns what a caller sends of its body; most stop short of the end.
    fn sent_size(&self, number: usize) -> usize {
        if number.is_multiple_of(WHOLE_EVERY) {
            self.body_size
        } else {
            self.body_size - MISSING_BYTES
        }
    }

    /// Returns a request up to where a caller stops.
    fn request(&self, bodies: CrowdBodies, number: usize) -> Vec<u8> {
        match bodies {
            CrowdBodies::Whole | CrowdBodies::Pieces => {
                self.sized(self.body_size, self.sent_size(number))
            }
            CrowdBodies::Announced => self.sized(16 * self.body_size, 2 * self.body_size),
            CrowdBodies::LargeChunks => self.whole_or_short(number, 1 << 20),
            CrowdBodies::SmallChunks => self.whole_or_short(number, 64),
            CrowdBodies::JustSent => self.chunked(2 * self.body_size, 256 << 10).into_bytes(),
            CrowdBodies::Many => self.chunked(LARGE_CROWD_BYTES, 1 << 10).into_bytes(),
        }
    }

    fn sized(&self, stated: usize, sent: usize) -> Vec<u8> {
        let mut bytes = (self.request_head)(&format!("content-length: {stated}\r\n")).into_bytes();
        bytes.resize(bytes.len() + sent, b'a');
        bytes
    }

    fn whole_or_short(&self, number: usize, chunk: usize) -> Vec<u8> {
        let mut text = self.chunked(self.sent_size(number), chunk);
        if number.is_multiple_of(WHOLE_EVERY) {
            text += "0\r\n\r\n";
        }
        text.into_bytes()
    }

    fn chunked(&self, size: usize, chunk: usize) -> String {
        let mut text = (self.request_head)("transfer-encoding: chunked\r\n");
        let mut left = size;
        while left > 0 {
            let length = chunk.min(left);
            left -= length;
            let data = "a".repeat(length);
            write!(text, "{length:x}\r\n{data}\r\n").unwrap();
        }
        text
    }

    pub(super) async fn send(&self, bodies: CrowdBodies, number: usize, stream: &mut TcpStream) {
        let bytes = self.request(bodies, number);
        let (piece, pause) = match bodies {
            CrowdBodies::Pieces => (16 << 10, time::Duration::from_millis(2)),
            CrowdBodies::SmallChunks => (64 << 10, time::Duration::ZERO),
            _ => (bytes.len(), time::Duration::ZERO),
        };
        for part in bytes.chunks(piece) {
            // The node may take no more of a body.
            if stream.write_all(part).await.is_err() {
                return;
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }
}
