//! The object API: versions, conditional writes and watches.

mod object_client;
mod object_entry;
mod read_result;
mod write_result;

pub use object_client::ObjectClient;
pub use object_entry::ObjectEntry;
pub use read_result::{ListResult, ReadResult, WatchResult};
pub use write_result::WriteResult;
