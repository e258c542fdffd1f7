//! How an engine answered an order.

use pier_types::epochs;

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine took it.
    Accepted,
    /// The engine has seen a higher fencing number.
    Fenced(epochs::GroupGeneration),
    /// The order came too late.
    Expired,
    /// No answer; it may have been obeyed.
    Lost,
}
