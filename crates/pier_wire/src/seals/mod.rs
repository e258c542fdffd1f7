//! Authentication of datagrams: identifies the sender and rejects forged and replayed datagrams.

mod datagram_opener;
mod datagram_sealer;
mod fixed_bytes;
mod key_error;
mod node_instance;
mod opened_datagram;
mod replay_guard;
mod replay_window;
mod seal_error;
mod seal_header;
mod seal_refusal;
mod wire_key;

pub use datagram_opener::DatagramOpener;
pub(crate) use datagram_sealer::MAX_MESSAGE_BYTES;
pub use datagram_sealer::{DatagramSealer, MAX_DATAGRAM_BYTES};
pub(crate) use fixed_bytes::{read_fixed, write_fixed};
pub use key_error::KeyError;
pub use node_instance::NodeInstance;
pub use opened_datagram::OpenedDatagram;
pub use replay_guard::ReplayGuard;
pub use replay_window::ReplayWindow;
pub use seal_error::SealError;
pub(crate) use seal_header::{SealHeader, TAG_BYTES, WIRE_VERSION};
pub use seal_refusal::SealRefusal;
pub use wire_key::WireKey;
