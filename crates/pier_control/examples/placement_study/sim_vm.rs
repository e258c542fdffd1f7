//! A simulated VM with its engine.

use pier_control::{health, orders};
use pier_types::{epochs, ids, reports, sizes, times, vms};

/// A simulated VM with its engine.
#[derive(Debug, Clone)]
pub struct SimVm {
    /// Its entry in the platform's VM list.
    pub entry: vms::VmEntry,
    /// Whether it answers probes.
    pub is_up: bool,
    /// The order that its engine applied last, unless that was a release.
    pub order: Option<orders::EngineOrder>,
    /// Number of bytes of weights that it still has to load.
    pub bytes_left: u64,
    /// Its last answered probe.
    pub evidence: health::VmEvidence,
}

impl SimVm {
    /// Creates a VM with an empty engine.
    pub fn new(number: u64, domain: usize) -> Self {
        let name: ids::VmName = ids::VmName::try_from(format!("vm{number:06}")).unwrap();
        let entry = vms::VmEntry {
            name: name.clone(),
            incarnation: epochs::VmIncarnation::new(1),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 80)),
            data_centre: ids::DataCentreName::try_from("dc".to_owned()).unwrap(),
            domain: ids::DomainName::try_from(format!("domain{domain}")).unwrap(),
            pool: vms::VmPool::Accelerator,
            state: vms::VmState::Live,
        };
        let report = reports::EngineReport {
            vm: name,
            incarnation: entry.incarnation,
            group: None,
            generation: epochs::GroupGeneration::default(),
            model: None,
            state: reports::EngineState::Empty,
            running: sizes::RequestCount::default(),
            queued: sizes::RequestCount::default(),
            is_leaving: false,
        };
        let probed_at = times::BootTime::default();
        let evidence = health::VmEvidence { report, probed_at };
        Self {
            entry,
            is_up: true,
            order: None,
            bytes_left: 0,
            evidence,
        }
    }

    /// Applies an order as an engine does.
    pub fn obey(&mut self, order: orders::EngineOrder, weight_bytes: u64) {
        if order.kind == orders::OrderKind::Load {
            self.bytes_left = weight_bytes;
        }
        self.order = (order.kind != orders::OrderKind::Release).then_some(order);
    }

    /// Restarts the VM under a new incarnation and with an empty engine.
    pub fn restart(&mut self) {
        self.is_up = true;
        self.entry.incarnation = self.entry.incarnation.next();
        self.order = None;
        self.bytes_left = 0;
    }

    /// Updates the last answered probe, if the VM is up.
    pub fn probe(&mut self, now: times::BootTime) {
        if !self.is_up {
            return;
        }
        self.evidence.probed_at = now;
        let report = &mut self.evidence.report;
        report.incarnation = self.entry.incarnation;
        report.group = self.order.as_ref().map(|order| order.group.clone());
        report.generation = self
            .order
            .as_ref()
            .map_or(report.generation, |order| order.generation);
        report.model = self.order.as_ref().and_then(|order| order.model.clone());
        report.state = match (&self.order, self.bytes_left) {
            (None, _) => reports::EngineState::Empty,
            (Some(_), 0) => reports::EngineState::Warm,
            (Some(_), _) => reports::EngineState::Loading,
        };
    }
}
