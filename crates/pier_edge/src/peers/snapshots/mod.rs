//! What a steward has read of the store, for the nodes of its data centre.
//!
//! A node that starts, or has missed changes, reads the registrations and the document from its
//! steward, so that the calls to the store do not grow with the nodes.

mod snapshot_client;
mod snapshot_server;
mod store_snapshot;

pub(crate) use snapshot_client::SnapshotClient;
pub(super) use snapshot_server::spawn as spawn_server;
pub(crate) use store_snapshot::StoreSnapshot;

/// Path of the registrations.
const TARGETS_PATH: &str = "/targets";

/// Path of the document.
const DOCUMENT_PATH: &str = "/document";

/// Format of both, which stands in their first byte. Unlike messages they are refused if it differs,
/// as the store has the same.
const SNAPSHOT_FORMAT: u8 = 2;

/// Encodes a value after the number of the format.
///
/// # Errors
///
/// Fails when the value cannot be serialized.
fn encode<T: serde::Serialize>(value: &T) -> Result<bytes::Bytes, postcard::Error> {
    let bytes = postcard::to_extend(value, vec![SNAPSHOT_FORMAT])?;
    Ok(bytes.into())
}

/// Decodes a value of this build's format.
///
/// # Errors
///
/// Fails when the bytes have another format, or are malformed.
fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> anyhow::Result<T> {
    match bytes.split_first() {
        Some((&SNAPSHOT_FORMAT, rest)) => Ok(postcard::from_bytes(rest)?),
        Some((format, _rest)) => anyhow::bail!("format {format} is unknown to this build"),
        None => anyhow::bail!("the answer is empty"),
    }
}
