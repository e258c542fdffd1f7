//! The messages of datagrams.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

use crate::{messages, seals};

/// One message between nodes; each is idempotent or names the question it answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's sign of life.
    Beat(messages::MemberBeat),
    /// What the sender knows of nodes, itself included.
    Members(Vec<messages::MemberEntry>),
    /// A question for probe results.
    ProbePull(messages::ProbePull),
    /// Probe results.
    ProbeBatch(messages::ProbeBatch),
    /// Probe results of which the receiver knows the rest.
    LoadBatch(messages::LoadBatch),
    /// A question for shares.
    ShareAsk(messages::ShareAsk),
    /// Shares.
    ShareGrant(messages::ShareGrant),
    /// Crashes that the sender saw or heard of.
    Crashes(Vec<messages::CrashDelta>),
    /// The highest configuration version that the sender has seen.
    ConfigHint(epochs::ConfigVersion),
    /// A question for the VM list.
    ListPull(messages::ListPull),
    /// What the sender's VM list has that the asker's has not.
    ListNote(messages::ListNote),
}

impl PeerMessage {
    /// Returns the length of the encoded message, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        // A message that does not encode fits no datagram.
        postcard::to_stdvec(self).map_or(usize::MAX, |encoded| encoded.len())
    }

    /// Tells whether the message fits one datagram.
    pub fn fits(&self) -> bool {
        self.encoded_bytes() <= seals::MAX_MESSAGE_BYTES
    }

    /// Splits a batch into two halves; none when it holds fewer than two entries.
    pub fn split(self) -> Option<(Self, Self)> {
        match self {
            Self::Members(entries) => halve(entries, Self::Members),
            Self::Crashes(entries) => halve(entries, Self::Crashes),
            Self::ProbeBatch(batch) => {
                let entries = batch.entries.clone();
                halve(entries, |entries| {
                    Self::ProbeBatch(messages::ProbeBatch {
                        entries,
                        ..batch.clone()
                    })
                })
            }
            Self::ShareAsk(ask) => {
                let (round, term, total) = (ask.round, ask.term, ask.total);
                halve(ask.entries, |entries| {
                    Self::ShareAsk(messages::ShareAsk {
                        round,
                        term,
                        total,
                        entries,
                    })
                })
            }
            Self::ShareGrant(grant) => {
                let (round, term, life_ms) = (grant.round, grant.term, grant.life_ms);
                halve(grant.entries, |entries| {
                    Self::ShareGrant(messages::ShareGrant {
                        round,
                        term,
                        life_ms,
                        entries,
                    })
                })
            }
            Self::ProbePull(messages::ProbePull {
                pull,
                known,
                scope: messages::PullScope::Named(keys),
            }) => halve(keys, |keys| {
                Self::ProbePull(messages::ProbePull {
                    pull,
                    known,
                    scope: messages::PullScope::Named(keys),
                })
            }),
            Self::ProbePull(_)
            | Self::LoadBatch(_)
            | Self::Beat(_)
            | Self::ConfigHint(_)
            | Self::ListPull(_)
            | Self::ListNote(_) => None,
        }
    }
}

fn halve<T>(
    mut entries: Vec<T>,
    wrap: impl Fn(Vec<T>) -> PeerMessage,
) -> Option<(PeerMessage, PeerMessage)> {
    if entries.len() < 2 {
        return None;
    }
    let back = entries.split_off(entries.len() / 2);
    Some((wrap(entries), wrap(back)))
}
