//! One request's way from its arrival to its answer.

mod request_path;
mod request_route;

pub use request_path::RequestPath;
use request_route::RequestRoute;
