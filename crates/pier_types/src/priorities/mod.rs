//! Request priorities.

mod request_priority;

pub use request_priority::RequestPriority;
