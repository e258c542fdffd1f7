//! The engines of a fleet.

use std::{collections, time};

use anyhow::Context as _;
use pier_fakes::{engine, fault, record};
use pier_types::{epochs, ids, reports, vms};

use crate::fleets;

/// Running engines by data centre; dropping the set stops them.
#[derive(Debug)]
pub struct EngineSet {
    engines: collections::BTreeMap<String, Vec<engine::FakeEngine>>,
}

impl EngineSet {
    /// Starts the engines of a fleet; returns them and the list of their VMs.
    ///
    /// # Errors
    ///
    /// Fails when a name is invalid or no port can be bound.
    pub async fn launch(plan: &fleets::FleetPlan) -> anyhow::Result<(Self, Vec<vms::VmEntry>)> {
        let mut list = Vec::new();
        let mut engines = collections::BTreeMap::new();
        for data_centre in &plan.data_centres {
            let mut local_engines = Vec::new();
            for number in 0..plan.engines {
                let name: ids::VmName = format!("{data_centre}-{number}").parse()?;
                let builder = engine::FakeEngine::builder(settings(plan, name.clone()));
                let engine = builder.launch().await?;
                list.push(vm_entry(name, &engine, data_centre)?);
                local_engines.push(engine);
            }
            engines.insert(data_centre.clone(), local_engines);
        }
        Ok((Self { engines }, list))
    }

    /// Returns whether every engine is warm.
    pub fn is_warm(&self) -> bool {
        let mut engines = self.engines.values().flatten();
        engines.all(|engine| engine.report().state == reports::EngineState::Warm)
    }

    /// Restarts the engines of a data centre.
    ///
    /// They lose their weights, caches and requests in progress, and are down for the time `away`.
    ///
    /// # Errors
    ///
    /// Fails when there is no such data centre, or the time is too long.
    pub fn restart(&self, data_centre: &str, away: time::Duration) -> anyhow::Result<()> {
        let for_ms = u64::try_from(away.as_millis())?;
        let engines = self.engines.get(data_centre);
        for engine in engines.context("no such data centre")? {
            engine.set_fault(fault::FaultSpec::new(fault::FaultKind::Restart { for_ms }));
        }
        Ok(())
    }

    /// Returns the completions that reached each engine, by data centre.
    pub fn records(&self) -> collections::BTreeMap<String, Vec<Vec<record::RecordEntry>>> {
        let engines = self.engines.iter();
        engines
            .map(|(data_centre, local_engines)| {
                (
                    data_centre.clone(),
                    local_engines.iter().map(completions).collect(),
                )
            })
            .collect()
    }
}

fn settings(plan: &fleets::FleetPlan, name: ids::VmName) -> engine::EngineSettings {
    engine::EngineSettings {
        token_time: plan.token_time,
        prefill_time: plan.prefill_time,
        load_time: plan.load_time,
        cold_limit: plan.cold_limit,
        warm_after: plan.warm_after,
        cache_limit: plan.cached_prefixes,
        ..engine::EngineSettings::new(name)
    }
}

fn completions(engine: &engine::FakeEngine) -> Vec<record::RecordEntry> {
    let mut entries = engine.record().entries();
    entries.retain(|entry| entry.path == "v1/completions");
    entries
}

fn vm_entry(
    name: ids::VmName,
    engine: &engine::FakeEngine,
    data_centre: &str,
) -> anyhow::Result<vms::VmEntry> {
    Ok(vms::VmEntry {
        name,
        incarnation: epochs::VmIncarnation::new(1),
        address: engine.address(),
        data_centre: data_centre.parse()?,
        domain: format!("{data_centre}-fabric").parse()?,
        pool: vms::VmPool::Accelerator,
        state: vms::VmState::Live,
    })
}
