//! The object API's calls.

use std::time;

use pier_types::epochs;
use serde_json::json;

use crate::{platform, record, serve};

/// Greatest value of an object, in bytes.
const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Longest wait of a watch.
const WATCH_LIMIT: time::Duration = time::Duration::from_mins(1);

/// The header that carries an object's version.
const VERSION_HEADER: &str = "X-Object-Version";

impl platform::PlatformApp {
    /// Lists keys under a prefix.
    pub(crate) fn list_objects(
        &self,
        request: &serve::FakeRequest,
        sequence: u64,
    ) -> serve::FakeReply {
        let prefix = request.query.get("prefix").map_or("", String::as_str);
        let listed = serve::lock(&self.store).list(prefix);
        let entries: Vec<_> = listed
            .iter()
            .map(|(key, version)| json!({"key": key, "version": version}))
            .collect();
        self.record
            .close(sequence, record::RunEnd::Finished, "listed");
        serve::FakeReply::json(200, &json!(entries))
    }

    /// Reads an object, or waits until its version is over the one that the caller knows.
    pub(crate) async fn read_object(
        &self,
        request: &serve::FakeRequest,
        key: &str,
        sequence: u64,
    ) -> serve::FakeReply {
        let after = request.parsed_query::<epochs::ObjectVersion>("after");
        let wait = request.parsed_query("wait_ms").unwrap_or(0);
        let wait = time::Duration::from_millis(wait).min(WATCH_LIMIT);
        let mut changes = self.changes.subscribe();
        let found = tokio::time::timeout(wait, async {
            loop {
                changes.borrow_and_update();
                if let Some(reply) = self.read_now(key, after) {
                    return reply;
                }
                if changes.changed().await.is_err() {
                    return serve::FakeReply::status(503);
                }
            }
        });
        let reply = found
            .await
            .unwrap_or_else(|_elapsed| serve::FakeReply::status(304));
        let effect = if after.is_some() { "watched" } else { "read" };
        self.record
            .close(sequence, record::RunEnd::Finished, effect);
        reply
    }

    /// Reads an object if its version is over the one that the caller knows.
    ///
    /// A caller that knows of no object (0) is not told of a deletion.
    fn read_now(
        &self,
        key: &str,
        after: Option<epochs::ObjectVersion>,
    ) -> Option<serve::FakeReply> {
        let store = serve::lock(&self.store);
        let object = store.get(key);
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

    /// Writes or deletes an object on its condition.
    pub(crate) fn write_object(
        &self,
        request: &serve::FakeRequest,
        key: &str,
        sequence: u64,
    ) -> serve::FakeReply {
        let refuse = |status, effect: &str| {
            self.record.close(sequence, record::RunEnd::Refused, effect);
            serve::FakeReply::status(status)
        };
        let Some(expected) = request.parsed_header("if-version") else {
            return refuse(428, "no condition");
        };
        if request.body.len() > VALUE_LIMIT_BYTES {
            return refuse(413, "over the size limit");
        }
        let mut store = serve::lock(&self.store);
        let written = if request.method == "PUT" {
            store.put(key, expected, request.body.clone())
        } else {
            store.delete(key, expected)
        };
        drop(store);
        match written {
            Ok(version) => {
                self.record.update(sequence, |entry| {
                    entry.started = true;
                    entry.end = record::RunEnd::Finished;
                    entry.effect = format!("version {version}");
                });
                self.changes.send_modify(|count| *count += 1);
                serve::FakeReply::status(200).header(VERSION_HEADER, version)
            }
            Err(present) => {
                refuse(409, &format!("present version {present}")).header(VERSION_HEADER, present)
            }
        }
    }
}
