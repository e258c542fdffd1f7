//! Decides which orders the lease holder sends to which engine.
//!
//! Orders carry the group's generation as the fencing number and a short life. They are made only
//! out of a placement that was written under the holder's own term, and the lease is asked again at
//! the moment of sending. See `docs/design/fencing.md` for engines that ignore fencing numbers.

mod engine_order;
mod member_order;
mod order_input;
mod order_kind;
mod order_plan;
mod order_reply;
mod order_settings;
mod sent_order;

pub use engine_order::EngineOrder;
pub use member_order::MemberOrder;
pub use order_input::OrderInput;
pub use order_kind::OrderKind;
pub use order_plan::OrderPlan;
pub use order_reply::OrderReply;
pub use order_settings::OrderSettings;
use sent_order::SentOrder;
