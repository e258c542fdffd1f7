//! The routes of the operators' port.

use rocket::http::{ContentType, Status};
use rocket::{Route, State};

use crate::{
    handle,
    operators::{group_list, node_status},
};

/// The routes of the operators' port.
#[derive(Debug)]
pub struct OperatorRoutes;

impl OperatorRoutes {
    /// Returns the routes to mount at `/`; the server manages the [`handle::NodeHandle`].
    pub fn routes() -> Vec<Route> {
        rocket::routes![healthz, readyz, metrics, status, groups]
    }
}

#[rocket::get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

#[rocket::get("/readyz")]
fn readyz(handle: &State<handle::NodeHandle>) -> (Status, &'static str) {
    if handle.is_ready() {
        return (Status::Ok, "ready\n");
    }
    (Status::ServiceUnavailable, "not ready\n")
}

#[rocket::get("/metrics")]
fn metrics(handle: &State<handle::NodeHandle>) -> Result<(ContentType, String), Status> {
    let text = handle.metrics_text();
    let text = text.map_err(|_error| Status::InternalServerError)?;
    let kind = ContentType::new("application", "openmetrics-text");
    Ok((kind.with_params(("version", "1.0.0")), text))
}

#[rocket::get("/operator/status")]
fn status(handle: &State<handle::NodeHandle>) -> (ContentType, String) {
    (ContentType::JSON, node_status::status(handle).to_string())
}

#[rocket::get("/operator/groups")]
fn groups(handle: &State<handle::NodeHandle>) -> (ContentType, String) {
    (ContentType::JSON, group_list::groups(handle).to_string())
}
