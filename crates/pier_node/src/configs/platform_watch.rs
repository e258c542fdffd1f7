//! Watches the document on the platform.

use std::{sync::Arc, time};

use pier_config::{documents, watches};
use pier_platform::objects;
use pier_types::epochs;
use tokio::sync::watch;

use crate::{configs, handle};

/// Minimum wait of a watch. The platform answers after it even without a change, so that a dead
/// connection is noticed.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(8);
/// Upper bound of the random part of a wait, so that nodes do not ask all at once.
const WATCH_JITTER: time::Duration = time::Duration::from_secs(4);

/// The task that keeps one watch of the document open at all times.
#[derive(Debug)]
pub(super) struct PlatformWatch {
    handle: handle::NodeHandle,
    inbox: configs::ConfigInbox,
    in_force: watch::Receiver<epochs::ConfigVersion>,
    /// The highest version read from the platform, even if it was refused.
    seen: epochs::ConfigVersion,
    is_platform_away: bool,
}

impl PlatformWatch {
    /// Creates the task.
    pub(super) fn new(
        handle: handle::NodeHandle,
        inbox: configs::ConfigInbox,
        in_force: watch::Receiver<epochs::ConfigVersion>,
    ) -> Self {
        Self {
            handle,
            inbox,
            in_force,
            seen: epochs::ConfigVersion::default(),
            is_platform_away: false,
        }
    }

    /// Watches until the runtime ends.
    pub(super) async fn run(mut self) {
        let mut backoff = configs::WatchBackoff::default();
        loop {
            if self.watch_once().await {
                backoff.reset();
            } else {
                tokio::time::sleep(backoff.next(rand::random())).await;
            }
        }
    }

    /// Makes one watch call; returns whether the next may follow without a back-off.
    async fn watch_once(&mut self) -> bool {
        let after = self.seen.max(*self.in_force.borrow());
        let after = epochs::ObjectVersion::new(after.get());
        let wait = WATCH_WAIT + WATCH_JITTER.mul_f64(rand::random());
        let client = self.handle.objects();
        match client.watch(documents::DOCUMENT_KEY, after, wait).await {
            objects::WatchResult::Changed { version, bytes } => {
                self.record_answer().await;
                let copy = copy_of(version, &bytes);
                let is_newer = copy.version > self.seen;
                self.seen = self.seen.max(copy.version);
                self.inbox.send(configs::ConfigEvent::Copy(copy)).await;
                is_newer
            }
            objects::WatchResult::Unchanged => {
                self.record_answer().await;
                true
            }
            objects::WatchResult::Absent => {
                self.record_answer().await;
                self.inbox.send(configs::ConfigEvent::Absent).await;
                false
            }
            objects::WatchResult::Unavailable { reason } => {
                self.record_failure(&reason).await;
                false
            }
        }
    }

    async fn record_answer(&mut self) {
        if self.is_platform_away {
            log::info!(event = "config-platform-back"; "");
            self.set_platform_away(false).await;
        }
    }

    async fn record_failure(&mut self, reason: &str) {
        if !self.is_platform_away {
            log::warn!(event = "config-platform-away", cause = reason; "");
            self.set_platform_away(true).await;
        }
    }

    async fn set_platform_away(&mut self, is_platform_away: bool) {
        self.is_platform_away = is_platform_away;
        self.inbox
            .send(configs::ConfigEvent::PlatformUnavailable(is_platform_away))
            .await;
    }
}

/// Reads the document once, independently of the watch.
pub(super) async fn read_once(handle: handle::NodeHandle, inbox: configs::ConfigInbox) {
    match handle.objects().read(documents::DOCUMENT_KEY).await {
        objects::ReadResult::Found { version, bytes } => {
            let copy = copy_of(version, &bytes);
            inbox.send(configs::ConfigEvent::Copy(copy)).await;
        }
        // The watch reports both.
        objects::ReadResult::Absent | objects::ReadResult::Unavailable { .. } => {}
    }
}

fn copy_of(version: epochs::ObjectVersion, bytes: &[u8]) -> watches::ConfigCopy {
    watches::ConfigCopy {
        version: epochs::ConfigVersion::new(version.get()),
        text: Arc::from(String::from_utf8_lossy(bytes)),
        source: watches::ConfigSource::Platform,
    }
}
