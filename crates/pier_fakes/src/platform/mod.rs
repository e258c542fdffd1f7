//! A fake platform: the object API and the lagging VM list in one server.

mod fake_platform;
mod object_routes;
mod object_store;
mod platform_app;
mod platform_builder;
mod vm_list;

pub use fake_platform::FakePlatform;
pub use object_store::{ObjectStore, StoredObject};
pub(crate) use platform_app::PlatformApp;
pub use platform_builder::PlatformBuilder;
pub use vm_list::VmList;
