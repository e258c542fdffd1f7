//! The control endpoints of every fake server.

use serde::Deserialize;
use serde_json::json;

use crate::{fault, serve};

/// A request body with one fault or a list of faults.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum FaultBody {
    Several(Vec<fault::FaultSpec>),
    One(fault::FaultSpec),
}

/// Answers a request under `/control`.
pub(crate) fn answer<A: serve::FakeApp>(
    app: &A,
    control: std::net::SocketAddr,
    request: &serve::FakeRequest,
) -> serve::FakeReply {
    let (method, path) = request.route();
    match (method, path.as_slice()) {
        ("GET", ["control", "record"]) => {
            serve::FakeReply::json(200, &json!(app.core().record.entries()))
        }
        ("GET", ["control", "address"]) => {
            serve::FakeReply::json(200, &json!({"control": control}))
        }
        ("PUT", ["control", "fault"]) => set_faults(app, request),
        ("DELETE", ["control", "fault"]) => {
            app.core().clear();
            serve::FakeReply::status(200)
        }
        _ => app
            .control(request)
            .unwrap_or_else(|| serve::FakeReply::status(404)),
    }
}

fn set_faults<A: serve::FakeApp>(app: &A, request: &serve::FakeRequest) -> serve::FakeReply {
    let faults = match serde_json::from_slice(&request.body) {
        Ok(FaultBody::Several(faults)) => faults,
        Ok(FaultBody::One(fault)) => vec![fault],
        Err(error) => {
            return serve::FakeReply::json(400, &json!({"error": error.to_string()}));
        }
    };
    for spec in faults {
        app.set_fault(spec);
    }
    serve::FakeReply::status(200)
}
