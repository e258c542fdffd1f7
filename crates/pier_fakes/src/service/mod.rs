//! A fake plain service (not a model engine): each call returns a numbered receipt.

mod fake_service;
mod service_app;
mod service_builder;

pub use fake_service::FakeService;
pub(crate) use service_app::ServiceApp;
pub use service_builder::ServiceBuilder;
