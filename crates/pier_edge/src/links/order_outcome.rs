//! The outcome of an order to a VM.

/// What is known about an order after it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The VM has begun to carry out the order.
    Begun,
    /// The VM is already in the state that the order asks for, or has completed it.
    Done,
    /// The VM has accepted another number of orders than expected, or its state does not allow the
    /// order.
    Unfit,
    /// The VM has seen a higher generation of the group, or other members in this generation.
    Outdated,
    /// Another VM answered at the address.
    WrongVm,
    /// The VM refused the order with this unexpected status.
    Unknown(u16),
    /// No connection could be opened, so nothing was sent.
    Unreached(String),
    /// No answer came: the VM may have begun the order or may still begin it.
    Lost(String),
}
