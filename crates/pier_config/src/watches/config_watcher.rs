//! Decides which version of the document is in force.

use std::{sync, time};

use pier_types::{epochs, ids, times};

use crate::{documents, watches};

/// How long a fresh node listens to its peers before it believes the platform alone.
const STARTUP_WAIT: time::Duration = time::Duration::from_secs(1);
/// How long a version known to be superseded is held back for the one that a peer holds.
const HINT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Least time between two questions to peers.
const ASK_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Applies only versions above every version that it has seen.
///
/// A copy below a version that a peer holds is known to be superseded, so it waits for that one. The
/// wait is bounded: with the platform and that peer both out of reach, the highest copy at hand is
/// still newer than what is in force.
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

/// The highest version that a peer claims to hold.
#[derive(Debug, Clone, Copy)]
struct VersionHint {
    version: epochs::ConfigVersion,
    since: times::BootTime,
}

impl ConfigWatcher {
    /// Starts with no version, as each node does.
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

    /// Returns the number of the version in force, 0 for none; peers are told this one.
    pub fn version(&self) -> epochs::ConfigVersion {
        let record = self.in_force.as_ref();
        record.map(|record| record.version).unwrap_or_default()
    }

    /// Returns the last copy that was refused and is above the version in force.
    pub fn refused(&self) -> Option<&watches::ConfigCopy> {
        let refused = self.refused.as_ref();
        refused.filter(|copy| copy.version > self.version())
    }

    /// Takes a copy of the document.
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

    /// Takes a peer's word that it holds a version in force.
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

    /// Takes the platform's word that there is no document.
    pub fn absent(&mut self) -> Vec<watches::WatchAction> {
        if self.in_force.is_none() || self.absence_reported {
            return Vec::new();
        }
        self.absence_reported = true;
        let report = watches::WatchReport::DocumentAbsent;
        vec![watches::WatchAction::Report(report)]
    }

    /// Lets time pass; call it a few times a second.
    pub fn tick(&mut self, now: times::BootTime) -> Vec<watches::WatchAction> {
        self.apply_waiting(now)
    }

    /// Keeps a sound copy if it is the highest.
    fn set_waiting(&mut self, copy: &watches::ConfigCopy, document: documents::ConfigDocument) {
        let waiting = self.waiting.as_ref();
        if waiting.is_some_and(|record| record.version >= copy.version) {
            return;
        }
        self.waiting = Some(watches::ParsedConfig {
            version: copy.version,
            document: sync::Arc::new(document),
            text: sync::Arc::clone(&copy.text),
        });
    }

    /// Brings the waiting copy into force if nothing speaks for a higher one.
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
        if let Some(record) = self.waiting.take() {
            self.in_force = Some(record.clone());
            actions.push(watches::WatchAction::Apply(record));
        }
        actions
    }

    fn highest_held(&self) -> epochs::ConfigVersion {
        let waiting = self.waiting.as_ref().map(|record| record.version);
        self.version().max(waiting.unwrap_or_default())
    }

    /// Says it when two copies of the version in force differ.
    fn report_difference(&self, copy: &watches::ConfigCopy) -> Vec<watches::WatchAction> {
        let record = self.in_force.as_ref();
        let differs = record.is_some_and(|record| {
            record.version == copy.version && record.text.as_ref() != copy.text.as_ref()
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

    /// Tells whether the same bad copy was refused before; each is told once.
    fn was_refused(&self, copy: &watches::ConfigCopy) -> bool {
        let refused = self.refused.as_ref();
        refused.is_some_and(|bad| bad.version == copy.version && bad.text == copy.text)
    }
}
