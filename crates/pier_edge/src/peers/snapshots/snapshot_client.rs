//! Reads from the steward what it has read of the store.

use std::{net, time};

use anyhow::Context as _;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use pier_fleet::documents;
use pier_types::sizes;

use super::{DOCUMENT_PATH, StoreSnapshot, TARGETS_PATH, decode};
use crate::serving;

/// Time-out of one read. A node that gets no answer reads the store, within the time in which a
/// document has to be in force.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Greatest size of an answer: some times a list or a document of the store.
const MAX_SNAPSHOT_SIZE: sizes::ByteSize = sizes::ByteSize::new(8 << 20);

/// Reads from one steward.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotClient {
    steward: net::SocketAddr,
    /// IP address from which to connect.
    source: net::IpAddr,
}

impl SnapshotClient {
    pub(crate) const fn new(steward: net::SocketAddr, source: net::IpAddr) -> Self {
        Self { steward, source }
    }

    /// Reads the registrations.
    ///
    /// # Errors
    ///
    /// Fails when the steward does not answer in time, has not read the store yet, or runs a build
    /// with another format.
    pub(crate) async fn read_targets(self) -> anyhow::Result<StoreSnapshot> {
        decode(&self.read(TARGETS_PATH).await?)
    }

    /// Reads the document.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as [`SnapshotClient::read_targets`].
    pub(crate) async fn read_document(self) -> anyhow::Result<documents::FleetDocument> {
        decode(&self.read(DOCUMENT_PATH).await?)
    }

    async fn read(self, path: &'static str) -> anyhow::Result<bytes::Bytes> {
        let reading = tokio::time::timeout(READ_TIMEOUT, self.exchange(path));
        reading.await.context("no answer in time")?
    }

    async fn exchange(self, path: &'static str) -> anyhow::Result<bytes::Bytes> {
        let source = (!self.source.is_unspecified()).then_some(self.source);
        let stream = serving::open_stream(self.steward, source).await?;
        serving::set_socket_timeouts(&stream);
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let exchange = async {
            let request = http::Request::get(path)
                .header(http::header::HOST, self.steward.to_string())
                .body(Empty::<bytes::Bytes>::new())?;
            let response = sender.send_request(request).await?;
            let status = response.status();
            anyhow::ensure!(
                status == http::StatusCode::OK,
                "the answer's status is {status}"
            );
            let limit = usize::try_from(MAX_SNAPSHOT_SIZE.get()).unwrap_or(usize::MAX);
            let body = Limited::new(response.into_body(), limit).collect().await;
            let body = body.map_err(|error| anyhow::anyhow!("reading the answer: {error}"))?;
            Ok(body.to_bytes())
        };
        tokio::pin!(connection);
        tokio::pin!(exchange);
        // The connection makes progress only while it is polled; it may end before the body is taken.
        tokio::select! {
            result = &mut exchange => return result,
            ended = &mut connection => ended?,
        }
        exchange.await
    }
}
