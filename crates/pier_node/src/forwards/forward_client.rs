//! The client that forwards requests.

use std::{net, time};

use anyhow::Context as _;
use bytes::Bytes;
use pier_types::{codes, ids};
use pier_wire::{frames, seals};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::{callers, forwards};

/// Time-out for connecting, including the handshake.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Maximum bytes of a body in one frame.
const BODY_FRAME_BYTES: usize = 64 * 1024;

/// Number of parts of a stream that are queued for a slow caller.
const MAX_QUEUED_PARTS: usize = 16;

/// Forwards requests to other nodes.
#[derive(Debug, Clone)]
pub struct ForwardClient {
    key: seals::WireKey,
    node: ids::NodeName,
    instance: seals::NodeInstance,
}

impl ForwardClient {
    /// Creates the client of one node.
    pub fn new(key: seals::WireKey, node: ids::NodeName, instance: seals::NodeInstance) -> Self {
        Self {
            key,
            node,
            instance,
        }
    }

    /// Forwards a request to the node at an address and returns its answer as it arrives.
    ///
    /// # Errors
    ///
    /// Fails when the node cannot be reached, is lost, or refuses; the error states how far the
    /// request had got.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        begin: frames::ForwardBegin,
        body: &[u8],
    ) -> Result<callers::CallerReply, forwards::ForwardError> {
        let deadline = time::Duration::from_millis(begin.deadline_ms.into());
        let sending = self.send_request(address, begin, body);
        let (reader, writer) = sending.await.map_err(|error| not_sent(&error))?;
        let answering = read_head(reader, writer);
        let answer = tokio::time::timeout(deadline, answering).await;
        answer.map_err(|_elapsed| forwards::ForwardError::Lost {
            cause: "no answer before the deadline".to_owned(),
        })?
    }

    /// Requests a copy of a document or of the VM list from the node at an address, within a time limit.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer in time, is lost, or has no such copy.
    pub(crate) async fn ask(
        &self,
        address: net::SocketAddr,
        query: frames::PeerQuery,
        limit: time::Duration,
    ) -> anyhow::Result<Bytes> {
        let asking = tokio::time::timeout(limit, self.fetch_copy(address, query));
        asking.await.context("no copy in time")?
    }

    async fn fetch_copy(
        &self,
        address: net::SocketAddr,
        query: frames::PeerQuery,
    ) -> anyhow::Result<Bytes> {
        let (mut reader, mut writer) = self.connect(address).await?;
        writer.write(&frames::ForwardFrame::Ask(query)).await?;
        let frames::AnswerFrame::Head(head) = reader.expect().await? else {
            anyhow::bail!("the answer has no head");
        };
        anyhow::ensure!(head.status == 200, "the peer has no such copy");
        let body = read_body(reader).await;
        body.map_err(|error| anyhow::anyhow!("{error}"))
    }

    /// Connects and sends the request without its end mark, which [`read_head`] sends.
    async fn send_request(
        &self,
        address: net::SocketAddr,
        begin: frames::ForwardBegin,
        body: &[u8],
    ) -> anyhow::Result<(forwards::FrameReader, forwards::FrameWriter)> {
        let connecting = self.connect(address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let (reader, mut writer) = connected.context("no handshake in time")??;
        let begin = frames::ForwardFrame::Begin(Box::new(begin));
        writer.write(&begin).await?;
        for (index, bytes) in (0_u64..).zip(body.chunks(BODY_FRAME_BYTES)) {
            let bytes = bytes.to_vec();
            let chunk = frames::BodyChunk { index, bytes };
            writer.write(&frames::ForwardFrame::Body(chunk)).await?;
        }
        Ok((reader, writer))
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
    ) -> anyhow::Result<(forwards::FrameReader, forwards::FrameWriter)> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let mut reader = forwards::FrameReader::new(reader);
        let mut writer = forwards::FrameWriter::new(writer);
        let nonce = rand::random();
        let (key, node) = (self.key.clone(), self.node.clone());
        let (handshake, hello) = frames::ClientHandshake::start(key, node, self.instance, nonce);
        writer.write(&hello).await?;
        let challenge = reader.expect().await?;
        let reply = handshake.finish(&challenge)?;
        writer.write(&reply).await?;
        Ok((reader, writer))
    }
}

/// Sends the end mark and waits for the head of the answer; from here on, the outcome may be
/// unknown.
async fn read_head(
    mut reader: forwards::FrameReader,
    mut writer: forwards::FrameWriter,
) -> Result<callers::CallerReply, forwards::ForwardError> {
    let sent = writer.write(&frames::ForwardFrame::End).await;
    sent.map_err(|error| lost(&error))?;
    match reader.expect().await.map_err(|error| lost(&error))? {
        frames::AnswerFrame::Head(head) => relay(head, reader, writer).await,
        frames::AnswerFrame::Failed(failure) => Err(forwards::ForwardError::Refused(failure)),
        frames::AnswerFrame::Chunk(_) | frames::AnswerFrame::Done => {
            Err(lost(&anyhow::anyhow!("the answer has no head")))
        }
    }
}

/// Relays the answer: a stream part by part, any other answer as a whole.
async fn relay(
    head: frames::AnswerHead,
    reader: forwards::FrameReader,
    writer: forwards::FrameWriter,
) -> Result<callers::CallerReply, forwards::ForwardError> {
    let kind = content_type(&head);
    if kind == callers::EVENT_STREAM {
        return Ok(relay_stream(reader, writer));
    }
    let body = read_body(reader).await?;
    Ok(callers::CallerReply::buffered(head.status, kind, body))
}

async fn read_body(mut reader: forwards::FrameReader) -> Result<Bytes, forwards::ForwardError> {
    let mut body = Vec::new();
    loop {
        match reader.expect().await.map_err(|error| lost(&error))? {
            frames::AnswerFrame::Chunk(chunk) => body.extend_from_slice(&chunk.bytes),
            frames::AnswerFrame::Done => return Ok(body.into()),
            frames::AnswerFrame::Failed(failure) => {
                return Err(forwards::ForwardError::Refused(failure));
            }
            frames::AnswerFrame::Head(_) => {
                return Err(lost(&anyhow::anyhow!("a second head")));
            }
        }
    }
}

fn relay_stream(
    mut reader: forwards::FrameReader,
    mut writer: forwards::FrameWriter,
) -> callers::CallerReply {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
    tokio::spawn(async move {
        let relaying = relay_parts(&mut reader, &sender);
        let disconnected = tokio::select! {
            () = relaying => false,
            () = sender.closed() => true,
        };
        if disconnected {
            // If the node is gone too, there is nothing left to cancel.
            let _unsent = writer.write(&frames::ForwardFrame::Cancel).await;
        }
    });
    callers::CallerReply::events(receiver)
}

/// Relays parts up to the end mark; a stream that breaks off ends in an error event.
async fn relay_parts(reader: &mut forwards::FrameReader, sender: &mpsc::Sender<Bytes>) {
    loop {
        let error = match reader.expect().await {
            Ok(frames::AnswerFrame::Chunk(chunk)) => {
                if sender.send(chunk.bytes.into()).await.is_err() {
                    return;
                }
                continue;
            }
            Ok(frames::AnswerFrame::Done) => return,
            Ok(frames::AnswerFrame::Failed(failure)) => {
                let error = callers::ErrorBody::new(failure.code, failure.code.meaning());
                error.outcome(failure.outcome)
            }
            Ok(frames::AnswerFrame::Head(_)) | Err(_) => {
                let code = codes::ResultCode::NodeLost;
                callers::ErrorBody::new(code, code.meaning())
            }
        };
        // The error to a caller that has disconnected is dropped.
        let _ignored = sender.send(error.to_event().into()).await;
        return;
    }
}

fn content_type(head: &frames::AnswerHead) -> String {
    let mut headers = head.headers.iter();
    let kind = headers.find(|header| header.name == "content-type");
    kind.map_or_else(
        || "application/octet-stream".to_owned(),
        |header| header.value.clone(),
    )
}

fn not_sent(error: &anyhow::Error) -> forwards::ForwardError {
    let cause = format!("{error:#}");
    forwards::ForwardError::NotSent { cause }
}

fn lost(error: &anyhow::Error) -> forwards::ForwardError {
    let cause = format!("{error:#}");
    forwards::ForwardError::Lost { cause }
}
