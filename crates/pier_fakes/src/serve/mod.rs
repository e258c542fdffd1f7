//! The HTTP server and fault injection that all fakes share.

mod control_routes;
mod fake_app;
mod fake_core;
mod fake_error;
mod fake_reply;
mod fake_request;
mod fake_server;
mod fault_proxy;
mod locks;
mod rocket_handler;
mod rocket_server;

pub(crate) use fake_app::FakeApp;
pub(crate) use fake_core::FakeCore;
pub use fake_error::FakeError;
pub(crate) use fake_reply::{FakeBody, FakeReply};
pub(crate) use fake_request::FakeRequest;
pub(crate) use fake_server::FakeServer;
pub(crate) use fault_proxy::{FaultProxy, ProxyMode};
pub(crate) use locks::lock;
pub(crate) use rocket_handler::RocketHandler;
pub(crate) use rocket_server::RocketServer;
