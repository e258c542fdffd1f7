//! Decides which version of the document is in force.

use std::{sync, time};

use pier_types::{epochs, ids, times};

use crate::{documents, watches};

/// How long a starting node collects copies and hints before it applies its first version.
const STARTUP_WAIT: time::Duration = time::Duration::from_secs(1);
/// How long a copy is held back while a peer is known to have a higher version.
const HINT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Minimum time between two requests to peers.
const ASK_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Applies versions in strictly increasing order.
///
/// A copy below a version that a peer has in force is superseded, so the watcher waits for the
/// higher version. The wait is bounded: if neither the platform nor that peer can be reached, the
/// highest copy received is still newer than the version in force.
///
/// ```
/// use pier_config::watches;
/// use pier_types::{epochs, times};
///
/// let mut watcher = watches::ConfigWatcher::new(times::BootTime::default());
/// let copy = watches::ConfigCopy {
///     version: epochs::ConfigVersion::new(3),
///     text: "no document".into(),
///     source: watches::ConfigSource::Platform,
/// };
/// let actions = watcher.offer(&copy, times::BootTime::from_millis(5));
/// assert!(matches!(actions[..], [watches::WatchAction::Report(_)]));
/// assert!(watcher.in_force().is_none());
/// ```
#[derive(Debug, Clone)]
pub struct ConfigWatcher {
    started: times::BootTime,
    in_force: Option<watches::ParsedConfig>,
    waiting: Option<watches::ParsedConfig>,
    hint: Option<VersionHint>,
    next_ask: times::BootTime,
    refused: Option<watches::ConfigCopy>,
    absence_reported: bool,
}

/// The highest version that a peer has announced.
#[derive(Debug, Clone, Copy)]
struct VersionHint {
    version: epochs::ConfigVersion,
    since: times::BootTime,
}

impl ConfigWatcher {
    /// Starts without a version in force.
    pub fn new(now: times::BootTime) -> Self {
        Self {
            started: now,
            in_force: None,
            waiting: None,
            hint: None,
            next_ask: now,
            refused: None,
            absence_reported: false,
        }
    }

    /// Returns the version in force.
    pub fn in_force(&self) -> Option<&watches::ParsedConfig> {
        self.in_force.as_ref()
    }

    /// Returns the number of the version in force, or 0; this is the number announced to peers.
    pub fn version(&self) -> epochs::ConfigVersion {
        let config = self.in_force.as_ref();
        config.map(|config| config.version).unwrap_or_default()
    }

    /// Returns the last refused copy, if its version is above the one in force.
    pub fn refused(&self) -> Option<&watches::ConfigCopy> {
        let refused = self.refused.as_ref();
        refused.filter(|copy| copy.version > self.version())
    }

    /// Handles a received copy of the document.
    pub fn offer(
        &mut self,
        copy: &watches::ConfigCopy,
        now: times::BootTime,
    ) -> Vec<watches::WatchAction> {
        if copy.source == watches::ConfigSource::Platform {
            self.absence_reported = false;
        }
        if copy.version <= self.version() {
            return self.report_difference(copy);
        }
        if self.was_refused(copy) {
            return Vec::new();
        }
        match copy.text.parse::<documents::ConfigDocument>() {
            Ok(document) => {
                self.set_waiting(copy, document);
                self.apply_waiting(now)
            }
            Err(error) => {
                self.refused = Some(copy.clone());
                vec![watches::WatchAction::Report(
                    watches::WatchReport::CopyRefused {
                        version: copy.version,
                        source: copy.source.clone(),
                        error,
                    },
                )]
            }
        }
    }

    /// Handles a peer's announcement of the version that it has in force.
    pub fn hint(
        &mut self,
        peer: &ids::NodeName,
        version: epochs::ConfigVersion,
        now: times::BootTime,
    ) -> Vec<watches::WatchAction> {
        if version <= self.highest_held() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if self.hint.is_none_or(|hint| version > hint.version) {
            self.hint = Some(VersionHint {
                version,
                since: now,
            });
            actions.push(watches::WatchAction::ReadPlatform);
        }
        if now >= self.next_ask {
            self.next_ask = now.after(ASK_PERIOD);
            actions.push(watches::WatchAction::AskPeer(peer.clone()));
        }
        actions
    }

    /// Handles a read that found no document on the platform.
    pub fn absent(&mut self) -> Vec<watches::WatchAction> {
        if self.in_force.is_none() || self.absence_reported {
            return Vec::new();
        }
        self.absence_reported = true;
        let report = watches::WatchReport::DocumentAbsent;
        vec![watches::WatchAction::Report(report)]
    }

    /// Handles the passage of time; to be called several times per second.
    pub fn tick(&mut self, now: times::BootTime) -> Vec<watches::WatchAction> {
        self.apply_waiting(now)
    }

    /// Stores a valid copy if its version is the highest so far.
    fn set_waiting(&mut self, copy: &watches::ConfigCopy, document: documents::ConfigDocument) {
        let waiting = self.waiting.as_ref();
        if waiting.is_some_and(|config| config.version >= copy.version) {
            return;
        }
        self.waiting = Some(watches::ParsedConfig {
            version: copy.version,
            document: sync::Arc::new(document),
            text: sync::Arc::clone(&copy.text),
        });
    }

    /// Brings the waiting copy into force, unless the node is starting or expects a higher version.
    fn apply_waiting(&mut self, now: times::BootTime) -> Vec<watches::WatchAction> {
        let Some(waiting) = self.waiting.as_ref() else {
            return Vec::new();
        };
        let is_starting = self.in_force.is_none() && now.since(self.started) < STARTUP_WAIT;
        let newer_hint = self.hint.filter(|hint| hint.version > waiting.version);
        let awaits_hint = newer_hint.is_some_and(|hint| now.since(hint.since) < HINT_TIMEOUT);
        if is_starting || awaits_hint {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if let Some(hint) = newer_hint {
            let hinted = hint.version;
            let report = watches::WatchReport::HintTimedOut { hinted };
            actions.push(watches::WatchAction::Report(report));
        }
        if let Some(config) = self.waiting.take() {
            self.in_force = Some(config.clone());
            actions.push(watches::WatchAction::Apply(config));
        }
        actions
    }

    fn highest_held(&self) -> epochs::ConfigVersion {
        let waiting = self.waiting.as_ref().map(|config| config.version);
        self.version().max(waiting.unwrap_or_default())
    }

    /// Reports a copy whose text differs from the one in force although the version is the same.
    fn report_difference(&self, copy: &watches::ConfigCopy) -> Vec<watches::WatchAction> {
        let config = self.in_force.as_ref();
        let differs = config.is_some_and(|config| {
            config.version == copy.version && config.text.as_ref() != copy.text.as_ref()
        });
        if !differs {
            return Vec::new();
        }
        let report = watches::WatchReport::CopiesDiffer {
            version: copy.version,
            source: copy.source.clone(),
        };
        vec![watches::WatchAction::Report(report)]
    }

    /// Returns whether the last refused copy was the same, so that it is reported only once.
    fn was_refused(&self, copy: &watches::ConfigCopy) -> bool {
        let refused = self.refused.as_ref();
        refused.is_some_and(|refused_copy| {
            refused_copy.version == copy.version && refused_copy.text == copy.text
        })
    }
}
