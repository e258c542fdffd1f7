//! The HTTP server under every stand-in.

mod fake_app;
mod fake_error;
mod fake_reply;
mod fake_request;
mod locks;
mod rocket_handler;
mod rocket_server;

pub(crate) use fake_app::FakeApp;
pub use fake_error::FakeError;
pub(crate) use fake_reply::{FakeBody, FakeReply};
pub(crate) use fake_request::FakeRequest;
pub(crate) use locks::lock;
pub(crate) use rocket_handler::RocketHandler;
pub(crate) use rocket_server::RocketServer;
