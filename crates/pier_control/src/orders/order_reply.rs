//! An engine's reply to an order.

use pier_types::epochs;

/// The outcome of sending an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine accepted it.
    Accepted,
    /// The engine refused it, since it has seen this higher fencing number.
    Fenced(epochs::GroupGeneration),
    /// The engine refused it, since it arrived after its expiry.
    Expired,
    /// No reply arrived; the engine may have applied it.
    Lost,
}
