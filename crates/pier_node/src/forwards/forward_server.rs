//! The server that receives forwarded requests.

use std::{net, time};

use anyhow::Context as _;
use pier_fleet::budgets;
use pier_types::{codes, times};
use pier_wire::{frames, seals};
use tokio::net::{TcpListener, TcpStream};

use crate::{callers, configs, forwards, handle, peers, requests};

/// Time-out for the handshake and the arrival of the request.
const ARRIVAL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Maximum size of a forwarded body in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum bytes of an answer in one frame.
const CHUNK_BYTES: usize = 64 * 1024;

/// Retry-after hint for a body that was given up, in milliseconds.
const CROWDED_RETRY_MILLIS: u64 = 1_000;

/// Maximum number of times that a request may have been forwarded.
const MAX_HOPS: u8 = 1;

/// What a peer sent over a connection.
#[derive(Debug)]
enum IncomingMessage {
    /// A complete request.
    Request(callers::CallerRequest),
    /// A request that is refused before its body has come whole.
    Refused(frames::AnswerFrame),
    /// A peer's query for its copy of a document or of the VM list.
    Query(frames::PeerQuery),
}

/// Serves requests that other nodes forward, and answers peers' queries.
#[derive(Debug, Clone)]
pub struct ForwardServer {
    handle: handle::NodeHandle,
    key: seals::WireKey,
}

impl ForwardServer {
    /// Creates the server of one node.
    pub fn new(handle: handle::NodeHandle, key: seals::WireKey) -> Self {
        Self { handle, key }
    }

    /// Accepts connections until the runtime ends.
    pub async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => self.spawn(stream, peer),
                Err(error) => {
                    log::warn!(event = "forward-not-accepted", cause:% = error; "");
                    tokio::time::sleep(time::Duration::from_millis(100)).await;
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream, peer: net::SocketAddr) {
        let server = self.clone();
        tokio::spawn(async move {
            if let Err(error) = server.serve(stream).await {
                log::warn!(event = "forward-broken", peer:% = peer, cause = format!("{error:#}"); "");
            }
        });
    }

    async fn serve(&self, stream: TcpStream) -> anyhow::Result<()> {
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let mut reader = forwards::FrameReader::new(reader);
        let mut writer = forwards::FrameWriter::new(writer);
        let arriving = self.receive(&mut reader, &mut writer);
        let arrived = tokio::time::timeout(ARRIVAL_TIMEOUT, arriving).await;
        let request = match arrived.context("the request did not arrive in time")?? {
            IncomingMessage::Request(request) => request,
            IncomingMessage::Refused(refusal) => return writer.write(&refusal).await,
            IncomingMessage::Query(query) => {
                let reply = self.answer_query(query);
                return send_reply(reply, &mut writer).await;
            }
        };
        let guard = self.handle.begin_request();
        let answering = self.answer(request, &mut writer);
        let result = tokio::select! {
            result = answering => result,
            _left = reader.next::<frames::ForwardFrame>() => Ok(()),
        };
        drop(guard);
        result
    }

    /// Answers a peer's query.
    fn answer_query(&self, query: frames::PeerQuery) -> callers::CallerReply {
        match query {
            frames::PeerQuery::Config(after) => configs::answer_peer(&self.handle, after),
            frames::PeerQuery::VmList => {
                peers::answer_list(&self.handle, times::clocks::boot_now())
            }
        }
    }

    /// Reads a request or a query; a request without its end mark is an error and is never
    /// dispatched.
    async fn receive(
        &self,
        reader: &mut forwards::FrameReader,
        writer: &mut forwards::FrameWriter,
    ) -> anyhow::Result<IncomingMessage> {
        let hello = reader.expect().await?;
        let (key, node) = (self.key.clone(), self.handle.name().clone());
        let nonce = rand::random();
        let (handshake, challenge) =
            frames::ServerHandshake::answer(key, hello, node, self.handle.instance(), nonce)?;
        writer.write(&challenge).await?;
        handshake.verify(&reader.expect().await?)?;
        let begin = match reader.expect().await? {
            frames::ForwardFrame::Begin(begin) => begin,
            frames::ForwardFrame::Ask(query) => return Ok(IncomingMessage::Query(query)),
            _ => anyhow::bail!("the request has no begin frame"),
        };
        Ok(match self.receive_body(reader).await? {
            Ok(body) => {
                let request = request_of(*begin, body, times::clocks::boot_now());
                IncomingMessage::Request(request)
            }
            Err(end) => {
                self.handle.metrics().bodies().count_ended(end);
                // A code that nodes of earlier builds understand.
                let code = codes::ResultCode::Overloaded;
                let refusal = failed(code, code.outcome(), Some(CROWDED_RETRY_MILLIS));
                IncomingMessage::Refused(refusal)
            }
        })
    }

    /// Reads a body within the node's budget; the inner error states why it was given up.
    async fn receive_body(
        &self,
        reader: &mut forwards::FrameReader,
    ) -> anyhow::Result<Result<bytes::Bytes, budgets::BodyEnd>> {
        let now = times::clocks::boot_now();
        let mut intake = pier_bodies::BodyIntake::begin(self.handle.bodies(), None, now);
        loop {
            let frame = tokio::select! {
                biased;
                end = intake.ended() => return Ok(Err(end)),
                frame = reader.expect() => frame?,
            };
            let chunk = match frame {
                frames::ForwardFrame::Body(chunk) => chunk,
                frames::ForwardFrame::End => return Ok(Ok(intake.finish())),
                frames::ForwardFrame::Begin(_) => {
                    anyhow::bail!("the request has a second begin frame")
                }
                frames::ForwardFrame::Cancel => {
                    anyhow::bail!("the request was cancelled before its end")
                }
                frames::ForwardFrame::Ask(_) => {
                    anyhow::bail!("a question arrived within a request")
                }
            };
            anyhow::ensure!(
                intake.length() + chunk.bytes.len() <= MAX_BODY_BYTES,
                "the body is over {MAX_BODY_BYTES} bytes"
            );
            let now = times::clocks::boot_now();
            if let Err(end) = intake.append(&chunk.bytes, now).await {
                return Ok(Err(end));
            }
        }
    }

    async fn answer(
        &self,
        request: callers::CallerRequest,
        writer: &mut forwards::FrameWriter,
    ) -> anyhow::Result<()> {
        if request.hops > MAX_HOPS {
            let code = codes::ResultCode::NoServingTarget;
            return writer.write(&failed(code, code.outcome(), None)).await;
        }
        let path = requests::RequestPath::new(self.handle.clone());
        let reply = path.serve(request).await;
        if let Some(code) = reply.code {
            return writer
                .write(&failed(code, reply.outcome, reply.retry_after_ms))
                .await;
        }
        send_reply(reply, writer).await
    }
}

fn request_of(
    begin: frames::ForwardBegin,
    body: bytes::Bytes,
    arrived_at: times::BootTime,
) -> callers::CallerRequest {
    let (path, query) = begin.path.split_once('?').unwrap_or((&begin.path, ""));
    let headers = begin.headers.iter();
    let headers = headers.map(|header| (header.name.clone(), header.value.clone()));
    let mut request = callers::CallerRequest {
        method: begin.method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers: headers.collect(),
        body,
        arrived_at,
        hops: begin.hops,
    };
    let deadline = begin.deadline_ms.to_string();
    request.headers.insert("x-deadline-ms".to_owned(), deadline);
    if let Some(parent) = begin.trace_parent {
        request.headers.insert("traceparent".to_owned(), parent);
    }
    request
}

async fn send_reply(
    reply: callers::CallerReply,
    writer: &mut forwards::FrameWriter,
) -> anyhow::Result<()> {
    let kind = frames::ForwardHeader {
        name: "content-type".to_owned(),
        value: reply.content_type,
    };
    let head = frames::AnswerHead {
        status: reply.status,
        headers: vec![kind],
    };
    writer.write(&frames::AnswerFrame::Head(head)).await?;
    match reply.body {
        callers::ReplyBody::Buffered(body) => send_body(&body, writer).await?,
        callers::ReplyBody::Stream(mut parts) => {
            let mut index = 0;
            while let Some(part) = parts.recv().await {
                let bytes = part.to_vec();
                let chunk = frames::BodyChunk { index, bytes };
                writer.write(&frames::AnswerFrame::Chunk(chunk)).await?;
                index += 1;
            }
        }
    }
    writer.write(&frames::AnswerFrame::Done).await
}

async fn send_body(body: &[u8], writer: &mut forwards::FrameWriter) -> anyhow::Result<()> {
    for (index, bytes) in (0_u64..).zip(body.chunks(CHUNK_BYTES)) {
        let bytes = bytes.to_vec();
        let chunk = frames::BodyChunk { index, bytes };
        writer.write(&frames::AnswerFrame::Chunk(chunk)).await?;
    }
    Ok(())
}

fn failed(
    code: codes::ResultCode,
    outcome: codes::RunOutcome,
    retry_after_ms: Option<u64>,
) -> frames::AnswerFrame {
    let retry_after_ms = retry_after_ms.and_then(|millis| u32::try_from(millis).ok());
    frames::AnswerFrame::Failed(frames::AnswerFailure {
        code,
        outcome,
        retry_after_ms,
    })
}
