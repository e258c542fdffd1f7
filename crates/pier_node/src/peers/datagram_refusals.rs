//! Counts refused datagrams and logs the counts.

use std::{collections, net, time};

use pier_types::times;
use pier_wire::seals;

/// Time between two log lines about refused datagrams.
const REPORT_PERIOD: time::Duration = time::Duration::from_secs(10);

/// Counts by reason, logged once per [`REPORT_PERIOD`], so that a flood does not fill the log.
#[derive(Debug, Default)]
pub(super) struct DatagramRefusals {
    counts: collections::BTreeMap<&'static str, u64>,
    last_source: Option<net::SocketAddr>,
    reported_at: times::BootTime,
}

impl DatagramRefusals {
    /// Counts a refusal. The echo of a datagram that this node sent is not a fault and is ignored.
    pub(super) fn count(&mut self, refusal: seals::SealRefusal, source: net::SocketAddr) {
        if refusal == seals::SealRefusal::OwnEcho {
            return;
        }
        *self.counts.entry(refusal.as_str()).or_default() += 1;
        self.last_source = Some(source);
    }

    /// Logs and clears the counts if the report period has passed.
    pub(super) fn report(&mut self, now: times::BootTime) {
        if self.counts.is_empty() || now.since(self.reported_at) < REPORT_PERIOD {
            return;
        }
        self.reported_at = now;
        let source = self.last_source.map(|source| source.to_string());
        for (reason, count) in std::mem::take(&mut self.counts) {
            log::warn!(event = "datagrams-refused", reason, count, source:? = source; "");
        }
    }
}
