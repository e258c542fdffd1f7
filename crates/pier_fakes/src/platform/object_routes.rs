//! The routes of the object API.

use std::time;

use pier_types::{epochs, times::clocks};
use serde_json::json;

use crate::{platform, record, serve};

/// Maximum size of an object value.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum time that a watch waits.
const MAX_WATCH_TIME: time::Duration = time::Duration::from_mins(1);

/// Interval at which a watch checks again, since a read lag can reveal a change late.
const RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The header that carries an object's version.
const VERSION_HEADER: &str = "X-Object-Version";

impl platform::PlatformApp {
    /// Lists keys under a prefix.
    pub(crate) fn list_objects(&self, request: &serve::FakeRequest) -> serve::FakeReply {
        let prefix = request.query.get("prefix").map_or("", String::as_str);
        let listed = serve::lock(&self.store).list(prefix, clocks::boot_now());
        let entries: Vec<_> = listed
            .iter()
            .map(|(key, version)| json!({"key": key, "version": version}))
            .collect();
        self.core
            .record
            .close(request.sequence, record::RunEnd::Finished, "listed");
        serve::FakeReply::json(200, &json!(entries))
    }

    /// Reads an object, or waits until its version is higher than the caller's.
    pub(crate) async fn read_object(&self, request: &serve::FakeRequest) -> serve::FakeReply {
        let after = request.parsed_query::<epochs::ObjectVersion>("after");
        let wait = request.parsed_query("wait_ms").unwrap_or(0);
        let wait = time::Duration::from_millis(wait).min(MAX_WATCH_TIME);
        let mut changes = self.changes.subscribe();
        let found = tokio::time::timeout(wait, async {
            loop {
                changes.borrow_and_update();
                if let Some(reply) = self.read_if_newer(object_key(request), after) {
                    return reply;
                }
                let _changed_or_elapsed =
                    tokio::time::timeout(RECHECK_INTERVAL, changes.changed()).await;
            }
        });
        let reply = found
            .await
            .unwrap_or_else(|_elapsed| serve::FakeReply::status(304));
        let effect = if after.is_some() { "watched" } else { "read" };
        self.core
            .record
            .close(request.sequence, record::RunEnd::Finished, effect);
        reply
    }

    /// Reads an object if its version is higher than the caller's, or if the caller sent none.
    ///
    /// A caller that sent version 0 (no object) is not told of a deletion.
    fn read_if_newer(
        &self,
        key: &str,
        after: Option<epochs::ObjectVersion>,
    ) -> Option<serve::FakeReply> {
        let store = serve::lock(&self.store);
        let object = store.read(key, clocks::boot_now());
        let version = object.map(|object| object.version).unwrap_or_default();
        let value = object.and_then(|object| object.value.clone());
        let none = epochs::ObjectVersion::new(0);
        let wanted = match after {
            None => true,
            Some(after) if after == none => value.is_some(),
            Some(after) => version > after,
        };
        if !wanted {
            return None;
        }
        let reply = match value {
            Some(value) => serve::FakeReply::status(200)
                .header("Content-Type", "application/octet-stream")
                .body(serve::FakeBody::Whole(value)),
            None => serve::FakeReply::status(404),
        };
        Some(reply.header(VERSION_HEADER, version))
    }

    /// Writes or deletes an object if its version is the one in `If-Version`.
    pub(crate) fn write_object(&self, request: &serve::FakeRequest) -> serve::FakeReply {
        let refuse = |status, effect: &str| {
            self.core
                .record
                .close(request.sequence, record::RunEnd::Refused, effect);
            serve::FakeReply::status(status)
        };
        let Some(expected) = request.parsed_header("if-version") else {
            return refuse(428, "no condition");
        };
        if request.body.len() > MAX_VALUE_BYTES {
            return refuse(413, "over the size limit");
        }
        let now = clocks::boot_now();
        let mut store = serve::lock(&self.store);
        let written = if request.method == "PUT" {
            store.put(object_key(request), expected, request.body.clone(), now)
        } else {
            store.delete(object_key(request), expected, now)
        };
        drop(store);
        match written {
            Ok(version) => {
                self.core.record.update(request.sequence, |entry| {
                    entry.started = true;
                    entry.end = record::RunEnd::Finished;
                    entry.effect = format!("version {version}");
                });
                self.changes.send_modify(|count| *count += 1);
                serve::FakeReply::status(200).header(VERSION_HEADER, version)
            }
            Err(current) => {
                refuse(409, &format!("present version {current}")).header(VERSION_HEADER, current)
            }
        }
    }
}

/// Returns the object key in a path.
fn object_key(request: &serve::FakeRequest) -> &str {
    let path = request.path.as_str();
    path.strip_prefix("objects/").unwrap_or(path)
}
