//! What the platform answers.

use std::sync;

use pier_types::times::clocks;
use serde_json::json;
use tokio::sync::watch;

use crate::{platform, record, serve};

/// The platform's state and routes.
#[derive(Debug)]
pub(crate) struct PlatformApp {
    /// The objects.
    pub store: sync::Mutex<platform::ObjectStore>,
    /// The VM list.
    pub list: sync::Mutex<platform::VmList>,
    /// Counts changes, to wake watches.
    pub changes: watch::Sender<u64>,
    /// Every call.
    pub record: record::RunRecord,
}

impl PlatformApp {
    /// Makes a platform without objects.
    pub(crate) fn new(list: platform::VmList) -> Self {
        Self {
            store: sync::Mutex::default(),
            list: sync::Mutex::new(list),
            changes: watch::Sender::new(0),
            record: record::RunRecord::default(),
        }
    }

    fn vms(&self, sequence: u64) -> serve::FakeReply {
        let mut list = serve::lock(&self.list);
        let entries = list.visible(clocks::boot_now());
        self.record
            .close(sequence, record::RunEnd::Finished, "listed VMs");
        serve::FakeReply::json(200, &json!(entries))
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
    async fn answer(&self, request: serve::FakeRequest) -> serve::FakeReply {
        match request.route() {
            ("PUT", path) if path == ["control", "vms"] => return self.put_vms(&request),
            ("GET", path) if path == ["control", "record"] => {
                return serve::FakeReply::json(200, &json!(self.record.entries()));
            }
            _ => {}
        }
        let sequence = self.record.arrive(&request);
        match request.route() {
            ("GET", path) if path == ["vms"] => self.vms(sequence),
            ("GET", path) if path == ["list"] => self.list_objects(&request, sequence),
            (method, path) if path.len() > 1 && path[0] == "objects" => {
                let key = request.path.trim_start_matches("objects/").to_owned();
                match method {
                    "GET" => self.read_object(&request, &key, sequence).await,
                    "PUT" | "DELETE" => self.write_object(&request, &key, sequence),
                    _ => self.unknown_route(sequence),
                }
            }
            _ => self.unknown_route(sequence),
        }
    }
}

impl PlatformApp {
    fn unknown_route(&self, sequence: u64) -> serve::FakeReply {
        self.record
            .close(sequence, record::RunEnd::Refused, "unknown route");
        serve::FakeReply::status(404)
    }
}
