//! The client of the VM list.

use std::{sync, time};

use pier_types::vms;

use crate::{http, lists};

/// How long the platform may take for the list.
const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Fetches the platform's VM list; a clone shares its connections.
#[derive(Debug, Clone)]
pub struct VmListClient {
    http: reqwest::Client,
    url: sync::Arc<str>,
}

impl VmListClient {
    /// Prepares a client for a platform at a base URL; sends nothing yet.
    ///
    /// # Errors
    ///
    /// Fails when the TLS library can not be set up.
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
    /// Fails when the platform is away or its list does not parse; the last good list then stays
    /// in force at the caller.
    pub async fn fetch(&self) -> anyhow::Result<lists::VmListing> {
        let call = self.http.get(self.url.as_ref()).timeout(LIST_TIMEOUT);
        let reply = call.send().await?.error_for_status()?;
        let raw_entries = reply.json::<Vec<vms::VmEntry>>().await?;
        Ok(lists::VmListing::new(raw_entries))
    }
}
