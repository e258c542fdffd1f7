//! The encoded form of a probe result.

use std::fmt;

use pier_types::{epochs, reports, sizes};
use serde::{de, ser, ser::SerializeTuple};

use crate::messages;

/// Number of fields of the encoded tuple.
const FIELD_COUNT: usize = 10;

/// A probe result in about 20 bytes; it refers to names in the lists of the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeEntry {
    /// The VM.
    pub vm: messages::VmKey,
    /// Time from the sending of the probe to the creation of the batch, in milliseconds.
    pub age_ms: u32,
    /// Time until the VM answered, in milliseconds.
    pub latency_ms: u32,
    /// The report, or why the probe failed.
    pub outcome: Result<PackedReport, messages::ProbeFailure>,
}

/// An engine's report with names replaced by positions in the lists of the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PackedReport {
    /// The VM's incarnation.
    pub incarnation: epochs::VmIncarnation,
    /// The position of the group's data centre, and the number of the group.
    pub group: Option<(u8, u64)>,
    /// The group's generation.
    pub generation: epochs::GroupGeneration,
    /// The position of the model.
    pub model: Option<u8>,
    /// The state of the engine.
    pub state: reports::EngineState,
    /// Number of requests that the engine runs.
    pub running: sizes::RequestCount,
    /// Number of requests in the engine's queue.
    pub queued: sizes::RequestCount,
    /// Whether the VM reports that it is leaving.
    pub is_leaving: bool,
}

const EMPTY_REPORT: PackedReport = PackedReport {
    incarnation: epochs::VmIncarnation::new(0),
    group: None,
    generation: epochs::GroupGeneration::new(0),
    model: None,
    state: reports::EngineState::Empty,
    running: sizes::RequestCount::new(0),
    queued: sizes::RequestCount::new(0),
    is_leaving: false,
};

/// Bit of the outcome code that is set in reports of leaving VMs.
const LEAVING_BIT: u8 = 0x10;

const fn outcome_code(outcome: Result<PackedReport, messages::ProbeFailure>) -> u8 {
    match outcome {
        Ok(report) => {
            let state = match report.state {
                reports::EngineState::Empty => 0,
                reports::EngineState::Loading => 1,
                reports::EngineState::Cold => 2,
                reports::EngineState::Warm => 3,
            };
            if report.is_leaving {
                state | LEAVING_BIT
            } else {
                state
            }
        }
        Err(messages::ProbeFailure::Refused) => 4,
        Err(messages::ProbeFailure::Silent) => 5,
        Err(messages::ProbeFailure::Garbled) => 6,
    }
}

fn outcome_from_code(
    code: u8,
    mut report: PackedReport,
) -> Option<Result<PackedReport, messages::ProbeFailure>> {
    report.is_leaving = code & LEAVING_BIT != 0;
    report.state = match code & !LEAVING_BIT {
        0 => reports::EngineState::Empty,
        1 => reports::EngineState::Loading,
        2 => reports::EngineState::Cold,
        3 => reports::EngineState::Warm,
        _ if report.is_leaving => return None,
        4 => return Some(Err(messages::ProbeFailure::Refused)),
        5 => return Some(Err(messages::ProbeFailure::Silent)),
        6 => return Some(Err(messages::ProbeFailure::Garbled)),
        _ => return None,
    };
    Some(Ok(report))
}

impl ser::Serialize for ProbeEntry {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let report = self.outcome.unwrap_or(EMPTY_REPORT);
        let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
        tuple.serialize_element(&self.vm)?;
        tuple.serialize_element(&self.age_ms)?;
        tuple.serialize_element(&self.latency_ms)?;
        tuple.serialize_element(&outcome_code(self.outcome))?;
        tuple.serialize_element(&report.incarnation)?;
        tuple.serialize_element(&report.group)?;
        tuple.serialize_element(&report.generation)?;
        tuple.serialize_element(&report.model)?;
        tuple.serialize_element(&report.running)?;
        tuple.serialize_element(&report.queued)?;
        tuple.end()
    }
}

impl<'de> de::Deserialize<'de> for ProbeEntry {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELD_COUNT, EntryVisitor)
    }
}

struct EntryVisitor;

impl EntryVisitor {
    fn next<'de, T: de::Deserialize<'de>, A: de::SeqAccess<'de>>(
        &self,
        seq: &mut A,
        index: usize,
    ) -> Result<T, A::Error> {
        seq.next_element()?
            .ok_or_else(|| de::Error::invalid_length(index, self))
    }
}

impl<'de> de::Visitor<'de> for EntryVisitor {
    type Value = ProbeEntry;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a probe result of {FIELD_COUNT} fields")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let vm = self.next(&mut seq, 0)?;
        let age_ms = self.next(&mut seq, 1)?;
        let latency_ms = self.next(&mut seq, 2)?;
        let code = self.next::<u8, A>(&mut seq, 3)?;
        let report = PackedReport {
            incarnation: self.next(&mut seq, 4)?,
            group: self.next(&mut seq, 5)?,
            generation: self.next(&mut seq, 6)?,
            model: self.next(&mut seq, 7)?,
            state: reports::EngineState::Empty,
            running: self.next(&mut seq, 8)?,
            queued: self.next(&mut seq, 9)?,
            is_leaving: false,
        };
        let unexpected = || de::Error::invalid_value(de::Unexpected::Unsigned(code.into()), &self);
        let outcome = outcome_from_code(code, report).ok_or_else(unexpected)?;
        Ok(ProbeEntry {
            vm,
            age_ms,
            latency_ms,
            outcome,
        })
    }
}
