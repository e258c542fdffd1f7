//! Decides which orders the lease holder sends to the engines.
//!
//! An order tells an engine to join or leave a group or to change its role. It carries the group's
//! generation as its fencing number and expires after a short time. Orders are created only from a
//! placement that was written under the holder's own lease term, and the lease is checked again
//! when an order is sent. See `docs/design/fencing.md` for engines that ignore fencing numbers.

mod engine_order;
mod member_order;
mod order_input;
mod order_kind;
mod order_planner;
mod order_reply;
mod order_settings;
mod sent_order;

pub use engine_order::EngineOrder;
pub use member_order::MemberOrder;
pub use order_input::OrderInput;
pub use order_kind::OrderKind;
pub use order_planner::OrderPlanner;
pub use order_reply::OrderReply;
pub use order_settings::OrderSettings;
use sent_order::SentOrder;
