//! A log record as a line of `key=value` pairs.

use std::fmt;

use log::kv;
use pier_types::times;

use crate::logs;

/// Prefixes of the log targets of this product; records of libraries are marked as such.
const OWN_TARGETS: [&str; 2] = ["pier_", "buckthornpier"];
/// The key of the event name.
const EVENT_KEY: &str = "event";

/// Displays a log record as one line; values are quoted where necessary.
#[derive(Debug)]
pub(crate) struct KeyValueLine<'a> {
    record: &'a log::Record<'a>,
    time: times::WallTime,
}

impl<'a> KeyValueLine<'a> {
    /// Creates the line of a record with the time at which it was logged.
    pub(crate) fn new(record: &'a log::Record<'a>, time: times::WallTime) -> Self {
        Self { record, time }
    }
}

/// Returns whether a log target belongs to this product rather than to a library.
pub(crate) fn is_own_target(target: &str) -> bool {
    OWN_TARGETS.iter().any(|prefix| target.starts_with(prefix))
}

impl fmt::Display for KeyValueLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = self.record.level().as_str().to_ascii_lowercase();
        write!(f, "time={} level={level}", logs::UtcTime(self.time))?;
        let pairs = self.record.key_values();
        let named = pairs.get(kv::Key::from_str(EVENT_KEY)).is_some();
        if !named {
            let event = if is_own_target(self.record.target()) {
                "message"
            } else {
                "library"
            };
            write!(f, " {EVENT_KEY}={event}")?;
        }
        pairs
            .visit(&mut PairWriter { f })
            .map_err(|_error| fmt::Error)?;
        if !named {
            write_pair(f, "source", self.record.target())?;
        }
        let message = self.record.args().to_string();
        if !message.is_empty() {
            write_pair(f, "message", &message)?;
        }
        Ok(())
    }
}

/// Writes the key-value pairs of a record.
struct PairWriter<'a, 'b> {
    f: &'a mut fmt::Formatter<'b>,
}

impl<'kvs> kv::VisitSource<'kvs> for PairWriter<'_, '_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        write_pair(self.f, key.as_str(), &value.to_string())?;
        Ok(())
    }
}

fn write_pair(f: &mut fmt::Formatter<'_>, key: &str, value: &str) -> fmt::Result {
    let plain = |symbol: char| symbol.is_ascii_graphic() && !matches!(symbol, '"' | '=' | '\\');
    if !value.is_empty() && value.chars().all(plain) {
        return write!(f, " {key}={value}");
    }
    write!(f, " {key}={value:?}")
}
