//! The fields that later formats add to messages.

use pier_types::{epochs, sizes};
use serde::{Deserialize, Serialize};

use crate::peers;

/// Fields that follow a message of the unnumbered format. New ones are added at the end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MessageExtension {
    pub summaries: SummaryFields,
    pub outages: OutageFields,
    /// Since [`super::PeerFormat::LIMITS`], in notices of leaving targets and broadcasts, rates of
    /// targets.
    pub limits: Vec<peers::LimitNotice>,
    /// Since [`super::PeerFormat::URGENCY`], in heartbeats, reports and digests, the loads by urgency.
    pub mixes: super::LoadMixes,
}

/// Fields of [`super::PeerFormat::SUMMARIES`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SummaryFields {
    /// In heartbeats, the processor share of the sender's VM; 0 if unknown.
    pub cores: sizes::CoreShare,
    /// In relay messages, the version of the document that the steward has in force.
    pub document: epochs::ConfigVersion,
}

/// Fields of [`super::PeerFormat::OUTAGES`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OutageFields {
    /// In relay messages, milliseconds since the steward found that the store answers again after an
    /// outage; `None` if it has seen none.
    pub store_return_age_ms: Option<u64>,
}

impl MessageExtension {
    pub(crate) fn of_relay(
        document: epochs::ConfigVersion,
        store_return_age_ms: Option<u64>,
    ) -> Self {
        Self {
            summaries: SummaryFields {
                document,
                ..SummaryFields::default()
            },
            outages: OutageFields {
                store_return_age_ms,
            },
            ..Self::default()
        }
    }

    pub(crate) fn of_beat(cores: sizes::CoreShare) -> Self {
        Self {
            summaries: SummaryFields {
                cores,
                ..SummaryFields::default()
            },
            ..Self::default()
        }
    }

    pub(crate) fn of_limits(limits: Vec<peers::LimitNotice>) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Decodes the fields that a format has; bytes after them are ignored.
    ///
    /// # Errors
    ///
    /// Fails when a field of the format is missing or malformed.
    pub(super) fn decode(format: super::PeerFormat, bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (summaries, rest) = postcard::take_from_bytes(bytes)?;
        let mut extension = Self {
            summaries,
            ..Self::default()
        };
        if !format.has_outages() {
            return Ok(extension);
        }
        let (outages, rest) = postcard::take_from_bytes(rest)?;
        extension.outages = outages;
        if format.has_limits() {
            let (limits, rest) = postcard::take_from_bytes(rest)?;
            extension.limits = limits;
            if format.has_urgency() {
                (extension.mixes, _) = postcard::take_from_bytes(rest)?;
            }
        }
        Ok(extension)
    }
}
