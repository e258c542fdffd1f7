//! The messages that nodes exchange in datagrams.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

use crate::{messages, seals};

/// A message between nodes; each is idempotent or names the request that it answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The heartbeat of the sender.
    Beat(messages::MemberBeat),
    /// The nodes that the sender knows, including itself.
    Members(Vec<messages::MemberEntry>),
    /// A request for probe results.
    ProbePull(messages::ProbePull),
    /// Complete probe results.
    ProbeBatch(messages::ProbeBatch),
    /// The changing fields of probe results that the receiver already has.
    LoadBatch(messages::LoadBatch),
    /// A request for shares of targets' limits.
    ShareAsk(messages::ShareAsk),
    /// Granted shares.
    ShareGrant(messages::ShareGrant),
    /// Crashes that the sender detected or received from other nodes.
    Crashes(Vec<messages::CrashDelta>),
    /// The configuration version that the sender has in force.
    ConfigHint(epochs::ConfigVersion),
    /// A request for the VM list.
    ListPull(messages::ListPull),
    /// How the sender's VM list differs from the requester's.
    ListNote(messages::ListNote),
}

impl PeerMessage {
    /// Returns the length of the encoded message, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        // A message that cannot be encoded cannot be sent either.
        postcard::to_stdvec(self).map_or(usize::MAX, |encoded| encoded.len())
    }

    /// Returns whether the message fits one datagram.
    pub fn fits(&self) -> bool {
        self.encoded_bytes() <= seals::MAX_MESSAGE_BYTES
    }

    /// Splits a message into two with half of the entries each; returns none for fewer than two
    /// entries and for messages that cannot be split.
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
