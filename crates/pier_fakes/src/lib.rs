//! Fake servers that stand in for the platform, model engines and plain services in tests.
//!
//! Each binds a loopback port, serves the routes of `docs/INTERFACES.md` and records what it really
//! ran, so that a test can compare what callers were told with what happened.
//!
//! ```
//! use pier_fakes::platform;
//!
//! # async fn example() -> Result<(), pier_fakes::serve::FakeError> {
//! let server = platform::FakePlatform::builder().launch().await?;
//! let url = format!("http://{}/objects/config/document", server.address());
//! # let _ = url;
//! # Ok(())
//! # }
//! ```

pub mod cli;
pub mod engine;
pub mod fault;
pub mod platform;
pub mod record;
pub mod serve;
pub mod service;
