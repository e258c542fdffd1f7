//! The HTTP front end for callers: reads complete requests and writes answers as they arrive.

mod body_reader;
mod caller_reply;
mod caller_request;
mod caller_routes;
mod connection_table;
mod counted_body;
mod disconnect_monitor;
mod error_body;
mod unsent_answers;

use body_reader::BodyReader;
pub use caller_reply::{CallerReply, EVENT_STREAM, ReplyBody};
pub use caller_request::CallerRequest;
pub use caller_routes::CallerRoutes;
pub use connection_table::ConnectionTable;
use counted_body::CountedBody;
use disconnect_monitor::DisconnectMonitor;
pub use error_body::ErrorBody;
pub use unsent_answers::UnsentAnswers;
