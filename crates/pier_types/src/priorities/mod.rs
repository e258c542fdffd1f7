//! Which requests go first.

mod request_priority;

pub use request_priority::RequestPriority;
