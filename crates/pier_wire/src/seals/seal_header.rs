//! The header of a datagram.

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::seals;

/// Version of the datagram and stream formats; the first byte of each datagram.
pub(crate) const WIRE_VERSION: u8 = 2;

/// Length of the authentication tag at the end, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// The sender and the sequence number of a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SealHeader {
    pub(crate) sender: ids::NodeName,
    pub(crate) instance: seals::NodeInstance,
    pub(crate) sequence: u64,
}
