//! How an order ended.

/// What is known of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It has begun.
    Begun,
    /// What it asks for holds already, or is done.
    Done,
    /// The VM has taken another count of orders, or is in a state that the order does not fit.
    Unfit,
    /// The VM has seen a higher generation, or other members under this one.
    Outdated,
    /// Another VM has the address.
    WrongVm,
    /// The VM does not know such an order.
    Unknown(u16),
    /// No connection came about: nothing was sent.
    Unreached(String),
    /// No answer came: it may have begun, or may still begin.
    Lost(String),
}
