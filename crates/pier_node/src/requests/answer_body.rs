//! Reads the whole body of a target's answer.

use std::{io, net, time};

use tokio::net::TcpStream;

/// Greatest size of an answer that is buffered.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Time-out of the check whether a target still listens.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// The body of an answer whose head has been read.
#[derive(Debug)]
pub(super) struct AnswerBody {
    answer: reqwest::Response,
    target: net::SocketAddr,
    /// Whether only the end of the connection marks the end of the body.
    ends_with_connection: bool,
}

impl AnswerBody {
    /// Creates the body of an answer of the target at this address.
    pub(super) fn new(answer: reqwest::Response, target: net::SocketAddr) -> Self {
        let has_chunks = answer
            .headers()
            .contains_key(reqwest::header::TRANSFER_ENCODING);
        Self {
            ends_with_connection: answer.content_length().is_none() && !has_chunks,
            answer,
            target,
        }
    }

    /// Reads the body to its end; `is_in_use` returns whether the target is still to get requests.
    ///
    /// A target that is out of use may stop after its last answer, so that its end shows nothing.
    ///
    /// # Errors
    ///
    /// Fails when the body is truncated, over [`MAX_ANSWER_BYTES`], or ended by the end of the
    /// process of a target in use.
    pub(super) async fn read(
        mut self,
        is_in_use: impl Fn() -> bool,
    ) -> anyhow::Result<bytes::Bytes> {
        let mut body = bytes::BytesMut::new();
        while let Some(chunk) = self.answer.chunk().await? {
            anyhow::ensure!(
                body.len() + chunk.len() <= MAX_ANSWER_BYTES,
                "the answer is larger than {MAX_ANSWER_BYTES} bytes"
            );
            body.extend_from_slice(&chunk);
        }
        anyhow::ensure!(
            !self.ends_with_connection || !is_in_use() || !has_ended(self.target).await,
            "the target's process ended with the answer"
        );
        Ok(body.freeze())
    }
}

/// Returns whether no process listens at the address; one that says nothing in time may.
async fn has_ended(target: net::SocketAddr) -> bool {
    let connecting = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(target)).await;
    matches!(connecting, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
