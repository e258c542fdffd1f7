//! Who holds a key.

use pier_types::ids;

/// The customer behind a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerGrant {
    /// Name that targets are told.
    pub customer: ids::CustomerName,
    /// Rank of the customer's requests, 0 first; goes before the route's.
    pub rank: Option<u8>,
}
