//! Keeps one node's VM list up to date from other nodes or its own readings.

use std::{sync, time};

use pier_types::{ids, times};
use pier_wire::messages;

use crate::relays;

/// Time between two readings by the reader.
const READER_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Minimum time between two readings by a follower.
const FOLLOWER_PERIOD: time::Duration = time::Duration::from_secs(1);

/// A follower reads the platform itself once the reader's latest known reading has this age; the
/// node's own delay is added.
const FOLLOWER_MAX_AGE: time::Duration = time::Duration::from_millis(1_700);

/// The reader asks another node for its list once its own latest reading has this age.
const READER_MAX_AGE: time::Duration = time::Duration::from_millis(1_200);

/// Decides when to read the platform, what to tell other nodes, and which list is the current
/// one.
///
/// A list is replaced only by one that was read later, by this node's own clock: for each
/// reading, its own or another node's, it knows two times between which the platform answered. So
/// an older list never comes back, even if a note is delayed, a reader was paused, or another
/// node becomes the reader.
///
/// ```
/// use std::time;
/// use pier_limits::relays;
/// use pier_types::times;
///
/// let now = times::BootTime::from_millis(9_000);
/// let mut relay = relays::VmRelay::new(time::Duration::ZERO);
/// assert!(relay.is_reading_due(relays::ListRole::Follower, now));
/// relay.start_reading(now);
/// assert!(!relay.is_reading_due(relays::ListRole::Follower, now));
/// ```
#[derive(Debug)]
pub struct VmRelay {
    delay: time::Duration,
    current: relays::CurrentList,
    /// The platform's latest tag, and the digest of the list that had it.
    tagged: Option<(String, messages::ListDigest)>,
    /// When the reading in progress was sent.
    reading_sent_at: Option<times::BootTime>,
    /// When the latest reading was sent.
    last_read_at: Option<times::BootTime>,
    /// The earliest time at which the platform may have answered the latest reading of another
    /// node that returned the current list.
    relayed_from: Option<times::BootTime>,
    is_behind: bool,
    is_platform_away: bool,
    pulls: relays::ListPulls,
}

impl VmRelay {
    /// Creates a relay without a list. `delay` is random for each node, so that nodes that lose
    /// their reader do not all read the platform at once.
    pub const fn new(delay: time::Duration) -> Self {
        Self {
            delay,
            current: relays::CurrentList::new(),
            tagged: None,
            reading_sent_at: None,
            last_read_at: None,
            relayed_from: None,
            is_behind: false,
            is_platform_away: false,
            pulls: relays::ListPulls::new(),
        }
    }

    /// Returns the current list.
    pub fn list(&self) -> Option<sync::Arc<relays::VmMap>> {
        self.current.list().cloned()
    }

    /// Returns the time span of the reading that returned the current list.
    pub fn span(&self) -> Option<relays::ReadingSpan> {
        self.current.span()
    }

    /// Returns whether the reader has a newer list that it could not send as changes, so that it
    /// has to be asked for the whole list.
    pub const fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Returns whether this node's latest reading failed and no later reading of another node is
    /// known.
    pub const fn is_platform_away(&self) -> bool {
        self.is_platform_away
    }

    /// Returns whether this node has to read the platform now.
    pub fn is_reading_due(&self, role: relays::ListRole, now: times::BootTime) -> bool {
        if self.reading_sent_at.is_some() {
            return false;
        }
        let Some(last_read_at) = self.last_read_at else {
            return true;
        };
        let elapsed = now.since(last_read_at);
        match role {
            relays::ListRole::Reader => elapsed >= READER_PERIOD,
            relays::ListRole::Follower => elapsed >= FOLLOWER_PERIOD && self.lacks_reader(now),
        }
    }

    /// Records that a reading is sent; returns the tag to name in the call, if the current list
    /// has one.
    pub fn start_reading(&mut self, now: times::BootTime) -> Option<String> {
        self.reading_sent_at = Some(now);
        self.last_read_at = Some(now);
        self.is_behind = false;
        let (tag, digest) = self.tagged.as_ref()?;
        (self.current.digest() == Some(*digest)).then(|| tag.clone())
    }

    /// Applies the outcome of the reading.
    pub fn end_reading(
        &mut self,
        outcome: relays::ReadingOutcome,
        now: times::BootTime,
    ) -> relays::RelayEvent {
        let Some(from) = self.reading_sent_at.take() else {
            return relays::RelayEvent::Ignored;
        };
        let span = relays::ReadingSpan { from, to: now };
        self.is_platform_away = outcome == relays::ReadingOutcome::Failed;
        match outcome {
            relays::ReadingOutcome::Failed => relays::RelayEvent::Ignored,
            relays::ReadingOutcome::Unchanged => self.confirm_tagged(span),
            relays::ReadingOutcome::Listed { list, tag } => self.apply_listed(list, tag, span),
            relays::ReadingOutcome::Copied {
                list,
                oldest,
                youngest,
            } => {
                let span = relays::ReadingSpan {
                    from: from.before(oldest),
                    to: now.before(youngest),
                };
                self.current.replace(list, span)
            }
        }
    }

    /// Returns whether neither this node nor the reader has read the platform recently, so that
    /// any other node should be asked for its list.
    pub fn is_stale(&self, role: relays::ListRole, now: times::BootTime) -> bool {
        let limit = match role {
            relays::ListRole::Reader => READER_MAX_AGE,
            relays::ListRole::Follower => FOLLOWER_MAX_AGE + self.delay,
        };
        let span = self.current.span();
        span.is_none_or(|span| now.since(span.from) >= limit)
    }

    /// Creates a pull, to the reader or to another node.
    pub fn pull(&mut self, reader: &ids::NodeName, now: times::BootTime) -> messages::ListPull {
        self.pulls.open(reader, self.current.digest(), now)
    }

    /// Answers another node's pull; `None` while this node has no list.
    pub fn answer_pull(
        &self,
        pull: messages::ListPull,
        now: times::BootTime,
    ) -> Option<messages::ListNote> {
        let span = self.current.span()?;
        let note = messages::ListNote {
            pull: pull.pull,
            oldest_ms: to_millis(now.since(span.from) + ROUNDING),
            youngest_ms: to_millis(now.since(span.to)),
            difference: self.current.difference(pull.known)?,
        };
        if messages::PeerMessage::ListNote(note.clone()).fits() {
            return Some(note);
        }
        let difference = messages::ListDifference::Behind;
        Some(messages::ListNote { difference, ..note })
    }

    /// Applies a note, if it answers a pull that was sent to its sender.
    pub fn receive_note(
        &mut self,
        sender: &ids::NodeName,
        note: messages::ListNote,
        now: times::BootTime,
    ) -> relays::RelayEvent {
        let Some(pull) = self.pulls.close(sender, note.pull) else {
            return relays::RelayEvent::Ignored;
        };
        // The note refers to the list that was current when the pull was sent.
        if pull.known != self.current.digest() {
            return relays::RelayEvent::Ignored;
        }
        let span = relays::ReadingSpan {
            from: pull.asked_at.before(millis(note.oldest_ms)),
            to: now.before(millis(note.youngest_ms)),
        };
        let event = match note.difference {
            messages::ListDifference::Same => {
                // Recorded even if this node itself has read the platform later, so that it can
                // stop reading.
                self.relayed_from = self.relayed_from.max(Some(span.from));
                self.current.confirm(span)
            }
            messages::ListDifference::Changes { digest, changes } => {
                self.apply_changes(digest, changes, span)
            }
            messages::ListDifference::Behind => self.mark_behind(span),
        };
        self.is_platform_away &= event == relays::RelayEvent::Ignored;
        event
    }

    fn lacks_reader(&self, now: times::BootTime) -> bool {
        let limit = FOLLOWER_MAX_AGE + self.delay;
        let is_old = |from| now.since(from) >= limit;
        self.is_behind || self.relayed_from.is_none_or(is_old)
    }

    fn confirm_tagged(&mut self, span: relays::ReadingSpan) -> relays::RelayEvent {
        let tagged = self.tagged.as_ref().map(|(_tag, digest)| *digest);
        if tagged != self.current.digest() {
            return relays::RelayEvent::Ignored;
        }
        self.current.confirm(span)
    }

    fn apply_listed(
        &mut self,
        list: relays::VmMap,
        tag: Option<String>,
        span: relays::ReadingSpan,
    ) -> relays::RelayEvent {
        let event = self.current.replace(list, span);
        if event != relays::RelayEvent::Ignored {
            self.tagged = tag.zip(self.current.digest());
        }
        event
    }

    fn apply_changes(
        &mut self,
        digest: messages::ListDigest,
        changes: Vec<messages::ListChange>,
        span: relays::ReadingSpan,
    ) -> relays::RelayEvent {
        let Some(list) = self.current.changed_by(changes) else {
            return relays::RelayEvent::Ignored;
        };
        // The sender's list has a different history, or two digests collide.
        if messages::ListDigest::of(list.values()) != digest {
            return self.mark_behind(span);
        }
        let event = self.current.replace(list, span);
        if event == relays::RelayEvent::Changed {
            self.relayed_from = Some(span.from);
        }
        event
    }

    fn mark_behind(&mut self, span: relays::ReadingSpan) -> relays::RelayEvent {
        if !self.current.is_followed_by(span) {
            return relays::RelayEvent::Ignored;
        }
        self.is_behind = true;
        relays::RelayEvent::Behind
    }
}

/// Added before an age is truncated to whole milliseconds, so that it is rounded up.
const ROUNDING: time::Duration = time::Duration::from_micros(999);

const fn millis(millis: u32) -> time::Duration {
    time::Duration::from_millis(millis as u64)
}

fn to_millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
