//! The HTTP routes of the platform.

use std::{sync, time};

use pier_types::times::clocks;
use serde_json::json;
use tokio::sync::watch;
use xxhash_rust::xxh3;

use crate::{fault, platform, record, serve};

/// The state and routes of the platform.
#[derive(Debug)]
pub(crate) struct PlatformApp {
    /// The objects.
    pub store: sync::Mutex<platform::ObjectStore>,
    /// The VM list.
    pub list: sync::Mutex<platform::VmList>,
    /// Counts writes, to wake watches.
    pub changes: watch::Sender<u64>,
    /// Record, faults and proxy.
    pub core: serve::FakeCore,
}

impl PlatformApp {
    /// Creates a platform without objects.
    pub(crate) fn new(list: platform::VmList, core: serve::FakeCore) -> Self {
        Self {
            store: sync::Mutex::default(),
            list: sync::Mutex::new(list),
            changes: watch::Sender::new(0),
            core,
        }
    }

    fn vms(&self, request: &serve::FakeRequest) -> serve::FakeReply {
        let mut list = serve::lock(&self.list);
        let entries = json!(list.visible(clocks::boot_now()));
        let tag = format!("\"{:016x}\"", xxh3::xxh3_64(entries.to_string().as_bytes()));
        let is_known = request.header("if-none-match") == Some(tag.as_str());
        let effect = if is_known {
            "list unchanged"
        } else {
            "listed VMs"
        };
        self.core
            .record
            .close(request.sequence, record::RunEnd::Finished, effect);
        if is_known {
            return serve::FakeReply::status(304);
        }
        serve::FakeReply::json(200, &entries).header("ETag", tag)
    }

    fn put_vms(&self, request: &serve::FakeRequest) -> serve::FakeReply {
        match serde_json::from_slice(&request.body) {
            Ok(entries) => {
                serve::lock(&self.list).replace(entries, clocks::boot_now());
                serve::FakeReply::status(200)
            }
            Err(error) => serve::FakeReply::json(400, &json!({"error": error.to_string()})),
        }
    }
}

impl serve::FakeApp for PlatformApp {
    fn core(&self) -> &serve::FakeCore {
        &self.core
    }

    fn is_recorded(&self, _request: &serve::FakeRequest) -> bool {
        true
    }

    async fn answer(&self, request: serve::FakeRequest) -> serve::FakeReply {
        let (method, path) = request.route();
        match (method, path.as_slice()) {
            ("GET", ["vms"]) => self.vms(&request),
            ("GET", ["list"]) => self.list_objects(&request),
            ("GET", ["objects", _, ..]) => self.read_object(&request).await,
            ("PUT" | "DELETE", ["objects", _, ..]) => self.write_object(&request),
            _ => self.unknown_route(request.sequence),
        }
    }

    fn control(&self, request: &serve::FakeRequest) -> Option<serve::FakeReply> {
        let (method, path) = request.route();
        match (method, path.as_slice()) {
            ("PUT", ["control", "vms"]) => Some(self.put_vms(request)),
            _ => None,
        }
    }

    fn apply_fault(&self, kind: &fault::FaultKind) {
        let duration = |ms| time::Duration::from_millis(ms);
        match *kind {
            fault::FaultKind::ListLag { ms } => serve::lock(&self.list).lag = duration(ms),
            fault::FaultKind::ReadLag { ms } => serve::lock(&self.store).read_lag = duration(ms),
            _ => {}
        }
    }
}

impl PlatformApp {
    fn unknown_route(&self, sequence: u64) -> serve::FakeReply {
        self.core
            .record
            .close(sequence, record::RunEnd::Refused, "unknown route");
        serve::FakeReply::status(404)
    }
}
