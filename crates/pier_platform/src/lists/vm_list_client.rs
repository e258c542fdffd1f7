//! The client of the VM list.

use std::{sync, time};

use anyhow::Context as _;
use pier_types::vms;

use crate::{http, lists};

/// Time-out for reading the list.
const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Fetches the platform's VM list. Clones share their connections.
#[derive(Debug, Clone)]
pub struct VmListClient {
    http: reqwest::Client,
    url: sync::Arc<str>,
}

impl VmListClient {
    /// Creates a client for the platform at a base URL; sends nothing yet.
    ///
    /// # Errors
    ///
    /// Fails when TLS cannot be set up.
    pub fn new(base: &str) -> anyhow::Result<Self> {
        let url = format!("{}/vms", base.trim_end_matches('/'));
        Ok(Self {
            http: http::build_client()?,
            url: url.into(),
        })
    }

    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable or its list cannot be parsed; the caller then keeps
    /// using the last list.
    pub async fn fetch(&self) -> anyhow::Result<lists::VmListing> {
        let listing = self.fetch_changed(None).await?;
        listing.context("the platform answered 304 Not Modified to an unconditional request")
    }

    /// Fetches the list; returns none if its `ETag` still is `known_tag`.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`VmListClient::fetch`].
    pub async fn fetch_changed(
        &self,
        known_tag: Option<&str>,
    ) -> anyhow::Result<Option<lists::VmListing>> {
        let mut call = self.http.get(self.url.as_ref()).timeout(LIST_TIMEOUT);
        if let Some(tag) = known_tag {
            call = call.header(reqwest::header::IF_NONE_MATCH, tag);
        }
        let reply = call.send().await?.error_for_status()?;
        if reply.status() == reqwest::StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let tag = reply.headers().get(reqwest::header::ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
        let entries = reply.json::<Vec<vms::VmEntry>>().await?;
        let mut listing = lists::VmListing::new(entries);
        listing.tag = tag;
        Ok(Some(listing))
    }
}
