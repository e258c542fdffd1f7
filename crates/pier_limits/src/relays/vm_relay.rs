//! Keeps one node's VM list up to date, by others or by its own readings.

use std::{collections, sync, time};

use pier_types::{ids, times};
use pier_wire::messages;

use crate::relays;

/// Time between two readings by the node that reads for all.
const READER_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Least time between two readings by any other node.
const OWN_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Age of the latest known reading from which a node reads the platform itself; the node's own
/// delay is added.
const RELAY_LIMIT: time::Duration = time::Duration::from_millis(2_200);

/// Pulls whose notes are still awaited.
const OPEN_PULLS: usize = 8;

/// Decides when to read the platform, what to tell other nodes, and which list is in force.
///
/// A list is replaced only by one that was read later. "Later" is told by this node's own clock
/// alone: of each reading, own or another node's, it is known between which two moments the
/// platform answered it. So neither a delayed note, nor a reader that was paused, nor a change of
/// readers brings an older list back.
///
/// ```
/// use std::time;
/// use pier_limits::relays;
/// use pier_types::times;
///
/// let now = times::BootTime::from_millis(9_000);
/// let mut relay = relays::VmRelay::new(time::Duration::ZERO);
/// assert!(relay.is_reading_due(relays::ListDuty::Follower, now));
/// relay.start_reading(now);
/// assert!(!relay.is_reading_due(relays::ListDuty::Follower, now));
/// ```
#[derive(Debug)]
pub struct VmRelay {
    delay: time::Duration,
    held: Option<HeldList>,
    history: relays::ListHistory,
    tagged: Option<(String, messages::ListDigest)>,
    reading_from: Option<times::BootTime>,
    read_at: Option<times::BootTime>,
    /// The latest reading by another node that brought the list in force.
    relayed_from: Option<times::BootTime>,
    is_behind: bool,
    last_pull: u64,
    open_pulls: collections::BTreeMap<u64, OpenPull>,
}

/// A pull whose note is awaited.
#[derive(Debug)]
struct OpenPull {
    reader: ids::NodeName,
    asked_at: times::BootTime,
    known: Option<messages::ListDigest>,
}

/// The list in force.
#[derive(Debug)]
struct HeldList {
    list: sync::Arc<relays::VmMap>,
    digest: messages::ListDigest,
    span: relays::ReadingSpan,
}

impl VmRelay {
    /// Creates a relay without a list; `delay` is drawn for each node, so that nodes that lose
    /// their reader do not all read the platform at once.
    pub const fn new(delay: time::Duration) -> Self {
        Self {
            delay,
            held: None,
            history: relays::ListHistory::new(),
            tagged: None,
            reading_from: None,
            read_at: None,
            relayed_from: None,
            is_behind: false,
            last_pull: 0,
            open_pulls: collections::BTreeMap::new(),
        }
    }

    /// Returns the list in force.
    pub fn list(&self) -> Option<sync::Arc<relays::VmMap>> {
        self.held.as_ref().map(|held| sync::Arc::clone(&held.list))
    }

    /// Returns when the platform was read that brought the list in force.
    pub fn span(&self) -> Option<relays::ReadingSpan> {
        self.held.as_ref().map(|held| held.span)
    }

    /// Tells whether the reader has a newer list that it could not tell by changes; it is to be
    /// asked for the whole one.
    pub const fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Tells whether this node has to read the platform now.
    pub fn is_reading_due(&self, duty: relays::ListDuty, now: times::BootTime) -> bool {
        if self.reading_from.is_some() {
            return false;
        }
        let Some(read_at) = self.read_at else {
            return true;
        };
        let paused = now.since(read_at);
        match duty {
            relays::ListDuty::Reader => paused >= READER_PERIOD,
            relays::ListDuty::Follower => paused >= OWN_PERIOD && self.lacks_reader(now),
        }
    }

    /// Notes that a reading is sent; returns the tag to name, if the list in force has one.
    pub fn start_reading(&mut self, now: times::BootTime) -> Option<String> {
        self.reading_from = Some(now);
        self.read_at = Some(now);
        self.is_behind = false;
        let digest = self.digest()?;
        let tagged = self.tagged.as_ref();
        tagged
            .filter(|(_tag, of)| *of == digest)
            .map(|(tag, _of)| tag.clone())
    }

    /// Takes in how the reading ended.
    pub fn end_reading(
        &mut self,
        outcome: relays::ReadingOutcome,
        now: times::BootTime,
    ) -> relays::RelayEvent {
        let Some(from) = self.reading_from.take() else {
            return relays::RelayEvent::Ignored;
        };
        let span = relays::ReadingSpan { from, to: now };
        match outcome {
            relays::ReadingOutcome::Failed => relays::RelayEvent::Ignored,
            relays::ReadingOutcome::Unchanged => {
                let tagged = self.tagged.as_ref().map(|(_tag, digest)| *digest);
                if tagged == self.digest() {
                    self.confirm(span)
                } else {
                    relays::RelayEvent::Ignored
                }
            }
            relays::ReadingOutcome::Listed { list, tag } => {
                let digest = messages::ListDigest::of(list.values());
                let event = self.replace(list, digest, span);
                if event != relays::RelayEvent::Ignored {
                    self.tagged = tag.map(|tag| (tag, digest));
                }
                event
            }
            relays::ReadingOutcome::Copied {
                list,
                oldest,
                youngest,
            } => {
                let digest = messages::ListDigest::of(list.values());
                let span = relays::ReadingSpan {
                    from: from.before(oldest),
                    to: now.before(youngest),
                };
                self.replace(list, digest, span)
            }
        }
    }

    /// Makes a pull to the node that reads for all.
    pub fn pull(&mut self, reader: &ids::NodeName, now: times::BootTime) -> messages::ListPull {
        self.last_pull += 1;
        let open = OpenPull {
            reader: reader.clone(),
            asked_at: now,
            known: self.digest(),
        };
        self.open_pulls.insert(self.last_pull, open);
        while self.open_pulls.len() > OPEN_PULLS {
            self.open_pulls.pop_first();
        }
        messages::ListPull {
            pull: self.last_pull,
            known: self.digest(),
        }
    }

    /// Answers another node's pull; none while this node has no list.
    pub fn answer(
        &self,
        pull: messages::ListPull,
        now: times::BootTime,
    ) -> Option<messages::ListNote> {
        let held = self.held.as_ref()?;
        let note = messages::ListNote {
            pull: pull.pull,
            oldest_ms: to_millis(now.since(held.span.from) + ROUNDING),
            youngest_ms: to_millis(now.since(held.span.to)),
            body: self.difference(held, pull.known),
        };
        if messages::PeerMessage::ListNote(note.clone()).fits() {
            return Some(note);
        }
        let body = messages::NoteBody::Behind;
        Some(messages::ListNote { body, ..note })
    }

    /// Takes in a note, if it answers a pull that was sent to its sender.
    pub fn take(
        &mut self,
        sender: &ids::NodeName,
        note: messages::ListNote,
        now: times::BootTime,
    ) -> relays::RelayEvent {
        let Some(pull) = self.close_pull(sender, note.pull) else {
            return relays::RelayEvent::Ignored;
        };
        // The note speaks of the list that was held when the pull was sent.
        if pull.known != self.digest() {
            return relays::RelayEvent::Ignored;
        }
        let span = relays::ReadingSpan {
            from: pull.asked_at.before(millis(note.oldest_ms)),
            to: now.before(millis(note.youngest_ms)),
        };
        match note.body {
            messages::NoteBody::Same => {
                // Also when this node read later itself: it need not go on reading.
                self.relayed_from = self.relayed_from.max(Some(span.from));
                self.confirm(span)
            }
            messages::NoteBody::Changes { digest, changes } => self.apply(digest, changes, span),
            messages::NoteBody::Behind => self.fall_behind(span),
        }
    }

    fn digest(&self) -> Option<messages::ListDigest> {
        self.held.as_ref().map(|held| held.digest)
    }

    fn lacks_reader(&self, now: times::BootTime) -> bool {
        let limit = RELAY_LIMIT + self.delay;
        let is_old = |from| now.since(from) >= limit;
        self.is_behind || self.relayed_from.is_none_or(is_old)
    }

    fn difference(
        &self,
        held: &HeldList,
        known: Option<messages::ListDigest>,
    ) -> messages::NoteBody {
        let Some(known) = known else {
            return messages::NoteBody::Behind;
        };
        if known == held.digest {
            return messages::NoteBody::Same;
        }
        match self.history.changes_since(known, &held.list) {
            Some(changes) => messages::NoteBody::Changes {
                digest: held.digest,
                changes,
            },
            None => messages::NoteBody::Behind,
        }
    }

    /// Forgets a pull once it is answered, so that no note counts twice.
    fn close_pull(&mut self, sender: &ids::NodeName, pull: u64) -> Option<OpenPull> {
        let open = self.open_pulls.get(&pull)?;
        if open.reader != *sender {
            return None;
        }
        self.open_pulls.remove(&pull)
    }

    fn apply(
        &mut self,
        digest: messages::ListDigest,
        changes: Vec<messages::ListChange>,
        span: relays::ReadingSpan,
    ) -> relays::RelayEvent {
        let Some(held) = &self.held else {
            return relays::RelayEvent::Ignored;
        };
        let mut list = held.list.as_ref().clone();
        for change in changes {
            match change {
                messages::ListChange::Put(entry) => list.insert(entry.name.clone(), entry),
                messages::ListChange::Gone(vm) => list.remove(&vm),
            };
        }
        // Another history than the sender's, or a collision of digests.
        if messages::ListDigest::of(list.values()) != digest {
            return self.fall_behind(span);
        }
        let event = self.replace(list, digest, span);
        if event == relays::RelayEvent::Changed {
            self.relayed_from = Some(span.from);
        }
        event
    }

    fn fall_behind(&mut self, span: relays::ReadingSpan) -> relays::RelayEvent {
        let newer = self
            .held
            .as_ref()
            .is_none_or(|held| span.follows(held.span));
        if !newer {
            return relays::RelayEvent::Ignored;
        }
        self.is_behind = true;
        relays::RelayEvent::Behind
    }

    fn replace(
        &mut self,
        list: relays::VmMap,
        digest: messages::ListDigest,
        span: relays::ReadingSpan,
    ) -> relays::RelayEvent {
        if let Some(held) = &self.held {
            if held.digest == digest {
                return self.confirm(span);
            }
            if !span.follows(held.span) {
                return relays::RelayEvent::Ignored;
            }
            self.history.record(held.digest, &held.list, &list);
        }
        self.held = Some(HeldList {
            list: sync::Arc::new(list),
            digest,
            span,
        });
        relays::RelayEvent::Changed
    }

    /// Notes that a reading brought the list in force once more.
    fn confirm(&mut self, span: relays::ReadingSpan) -> relays::RelayEvent {
        let Some(held) = &mut self.held else {
            return relays::RelayEvent::Ignored;
        };
        if span.from <= held.span.from {
            return relays::RelayEvent::Ignored;
        }
        held.span = held.span.joined(span);
        relays::RelayEvent::Confirmed
    }
}

/// Added before cutting to whole milliseconds, so that an age is rounded up.
const ROUNDING: time::Duration = time::Duration::from_micros(999);

const fn millis(millis: u32) -> time::Duration {
    time::Duration::from_millis(millis as u64)
}

fn to_millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
