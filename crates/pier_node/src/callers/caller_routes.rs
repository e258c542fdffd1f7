//! The HTTP routes of the callers' port.

use pier_types::{codes, times};
use rocket::http::{Header, Method, Status};
use rocket::response::Responder as _;
use rocket::response::stream::ByteStream;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Response, Route};
use tokio::sync::mpsc;

use crate::{callers, handle, requests};

/// HTTP status recorded when the caller has disconnected; nobody receives it.
const CALLER_LEFT: u16 = 499;

/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// Every method that a caller may use.
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];

/// Handles every route of the callers' port.
#[derive(Debug, Clone)]
pub struct CallerRoutes {
    handle: handle::NodeHandle,
    monitor: callers::DisconnectMonitor,
}

impl CallerRoutes {
    /// Creates the routes of a node and starts the monitor for callers that disconnect.
    pub fn new(handle: handle::NodeHandle) -> Self {
        let monitor = callers::DisconnectMonitor::spawn();
        Self { handle, monitor }
    }

    /// Returns the routes to mount at `/`.
    pub fn routes(self) -> Vec<Route> {
        let route = |method| Route::new(method, "/<path..>", self.clone());
        METHODS.into_iter().map(route).collect()
    }

    async fn answer(&self, head: &Request<'_>, data: Data<'_>) -> callers::CallerReply {
        match head.uri().path().as_str() {
            "/healthz" => plain(200, "ok\n"),
            "/readyz" => self.readiness(),
            _ => self.serve(head, data).await,
        }
    }

    fn readiness(&self) -> callers::CallerReply {
        if self.handle.is_ready() {
            return plain(200, "ready\n");
        }
        plain(503, "not ready\n")
    }

    /// Returns whether the connection is closed after an answer: while the node drains, so that no idle
    /// connection brings a request while the server stops, and when the rest of a body is not read.
    fn closes(&self, reply: &callers::CallerReply) -> bool {
        let is_unread = matches!(
            reply.code,
            Some(codes::ResultCode::IncompleteBody | codes::ResultCode::BodyCrowded)
        );
        is_unread || self.handle.is_draining()
    }

    /// Refuses a request whose body was not read completely.
    fn refuse(&self, error: callers::ErrorBody) -> callers::CallerReply {
        self.handle.metrics().count_answer(Some(error.code));
        error.into()
    }

    async fn serve(&self, head: &Request<'_>, data: Data<'_>) -> callers::CallerReply {
        let arrived_at = times::clocks::boot_now();
        let body = match callers::BodyReader::read(&self.handle, head, data).await {
            Ok(body) => body,
            Err(error) => return self.refuse(error),
        };
        let request = request_of(head, body, arrived_at);
        let path = requests::RequestPath::new(self.handle.clone());
        let port = head.rocket().config().port;
        tokio::select! {
            reply = path.serve(request) => reply,
            () = self.monitor.disconnected(port, head.remote()) => {
                self.handle.metrics().requests().count_caller_left();
                plain(CALLER_LEFT, "the caller left\n")
            }
        }
    }
}

#[rocket::async_trait]
impl Handler for CallerRoutes {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let guard = self.handle.begin_request();
        let reply = self.answer(request, data).await;
        let closes = self.closes(&reply);
        let answer = self.handle.begin_answer();
        match response_of(reply, guard, answer, request) {
            Ok(mut response) => {
                if closes {
                    response.set_header(Header::new("connection", "close"));
                }
                Outcome::Success(response)
            }
            Err(status) => Outcome::Error(status),
        }
    }
}

fn plain(status: u16, text: &'static str) -> callers::CallerReply {
    callers::CallerReply::buffered(status, "text/plain", text.into())
}

fn request_of(
    head: &Request<'_>,
    body: bytes::Bytes,
    arrived_at: times::BootTime,
) -> callers::CallerRequest {
    let uri = head.uri();
    let headers = head.headers().iter();
    let headers = headers
        .map(|header| {
            (
                header.name().as_str().to_ascii_lowercase(),
                header.value().to_owned(),
            )
        })
        .filter(|(name, _value)| callers::CallerRequest::keeps_header(name))
        .collect();
    callers::CallerRequest {
        method: head.method().as_str().to_owned(),
        path: uri.path().to_string(),
        query: uri
            .query()
            .map(|query| query.to_string())
            .unwrap_or_default(),
        headers,
        body,
        arrived_at,
        hops: 0,
    }
}

fn response_of<'r>(
    reply: callers::CallerReply,
    guard: handle::RequestGuard,
    answer: handle::RequestGuard,
    request: &'r Request<'_>,
) -> Result<Response<'r>, Status> {
    let mut response = match reply.body {
        callers::ReplyBody::Buffered(body) => buffered_response(body, answer),
        callers::ReplyBody::Stream(parts) => stream_response(parts, guard, request)?,
    };
    response.set_status(Status::new(reply.status));
    response.set_header(Header::new("content-type", reply.content_type));
    if let Some(millis) = reply.retry_after_ms {
        let seconds = millis.div_ceil(MILLIS_PER_SECOND);
        response.set_header(Header::new("retry-after", seconds.to_string()));
    }
    Ok(response)
}

fn buffered_response<'r>(body: bytes::Bytes, answer: handle::RequestGuard) -> Response<'r> {
    let size = body.len();
    Response::build()
        .sized_body(size, callers::CountedBody::new(body, answer))
        .finalize()
}

/// Streams the parts; the guard counts the request as in progress until the last one is sent.
fn stream_response<'r>(
    parts: mpsc::Receiver<bytes::Bytes>,
    guard: handle::RequestGuard,
    request: &'r Request<'_>,
) -> Result<Response<'r>, Status> {
    let stream = futures_util::stream::unfold((parts, guard), |(mut parts, guard)| async move {
        let part = parts.recv().await?;
        Some((part, (parts, guard)))
    });
    ByteStream::from(stream).respond_to(request)
}
