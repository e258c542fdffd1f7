//! The adapter between `rocket` and a fake app.

use std::{fmt, io, net, sync};

use futures_util::stream;
use rocket::{data, http, response, route};

use crate::{serve, serve::control_routes};

/// Maximum size of a request body; larger ones are refused with status 413.
const MAX_BODY_MEBIBYTES: u64 = 4;

/// Passes every request to one fake app.
pub(crate) struct RocketHandler<A> {
    app: sync::Arc<A>,
}

impl<A> fmt::Debug for RocketHandler<A> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RocketHandler")
    }
}

impl<A> Clone for RocketHandler<A> {
    fn clone(&self) -> Self {
        Self {
            app: sync::Arc::clone(&self.app),
        }
    }
}

impl<A: serve::FakeApp> RocketHandler<A> {
    /// Creates a handler for an app.
    pub(crate) fn new(app: sync::Arc<A>) -> Self {
        Self { app }
    }

    /// Returns one catch-all route per method.
    pub(crate) fn routes(&self) -> Vec<rocket::Route> {
        let methods = [
            http::Method::Get,
            http::Method::Put,
            http::Method::Post,
            http::Method::Delete,
            http::Method::Patch,
            http::Method::Options,
        ];
        methods
            .into_iter()
            .map(|method| rocket::Route::new(method, "/<path..>", self.clone()))
            .collect()
    }

    /// Answers one request, with the active faults applied.
    async fn serve(
        &self,
        mut request: serve::FakeRequest,
        control: net::SocketAddr,
    ) -> serve::FakeReply {
        let app = self.app.as_ref();
        if request.path.starts_with("control/") {
            return control_routes::answer(app, control, &request);
        }
        if app.is_recorded(&request) {
            request.sequence = app.core().record.record_arrival(&request);
        }
        if let Some(reply) = app.core().inject_before(&request).await {
            return reply;
        }
        let reply = app.answer(request.clone()).await;
        app.core().inject_after(&request);
        if app.is_recorded(&request) && app.core().has_leaving_answers() {
            reply.header("X-Leaving", 1)
        } else {
            reply
        }
    }
}

#[rocket::async_trait]
impl<A: serve::FakeApp> route::Handler for RocketHandler<A> {
    async fn handle<'r>(
        &self,
        request: &'r rocket::Request<'_>,
        data: rocket::Data<'r>,
    ) -> route::Outcome<'r> {
        let reply = match read_request(request, data).await {
            Ok(Some(fake_request)) => self.serve(fake_request, control_address(request)).await,
            Ok(None) => serve::FakeReply::status(413),
            Err(_error) => serve::FakeReply::status(400),
        };
        route::Outcome::from(request, ReplyResponder(reply))
    }
}

/// Returns the address on which the HTTP server itself listens.
fn control_address(request: &rocket::Request<'_>) -> net::SocketAddr {
    let config = request.rocket().config();
    net::SocketAddr::new(config.address, config.port)
}

/// Reads a request with its body; `None` if the body is over the limit.
async fn read_request(
    request: &rocket::Request<'_>,
    data: rocket::Data<'_>,
) -> io::Result<Option<serve::FakeRequest>> {
    let limit = data::ByteUnit::Mebibyte(MAX_BODY_MEBIBYTES);
    let body = data.open(limit).into_bytes().await?;
    if !body.is_complete() {
        return Ok(None);
    }
    let path = request.uri().path();
    let path = path
        .percent_decode()
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    let query = request.query_fields();
    let headers = request.headers().iter();
    Ok(Some(serve::FakeRequest {
        sequence: 0,
        client: request.remote(),
        method: request.method().as_str().to_owned(),
        path: path.trim_start_matches('/').to_owned(),
        query: query
            .map(|field| (field.name.to_string(), field.value.to_owned()))
            .collect(),
        headers: headers
            .map(|header| (header.name.as_str().to_lowercase(), header.value.into()))
            .collect(),
        body: body.into_inner().into(),
    }))
}

/// Converts a reply into a `rocket` response.
struct ReplyResponder(serve::FakeReply);

impl<'r> response::Responder<'r, 'r> for ReplyResponder {
    fn respond_to(self, request: &'r rocket::Request<'_>) -> response::Result<'r> {
        let reply = self.0;
        let mut builder = response::Response::build();
        match reply.body {
            serve::FakeBody::Whole(bytes) => {
                let size = bytes.len();
                builder.sized_body(size, io::Cursor::new(bytes));
            }
            serve::FakeBody::Stream(receiver) => {
                let parts = stream::unfold(receiver, async |mut receiver| {
                    let part = receiver.recv().await?;
                    Some((part, receiver))
                });
                builder.merge(response::stream::ByteStream(parts).respond_to(request)?);
            }
        }
        builder.status(http::Status::new(reply.status));
        for (name, value) in reply.headers {
            builder.header(http::Header::new(name, value));
        }
        builder.ok()
    }
}
