//! Runs the planner through the scenario files and checks the reasons that it gives.
//!
//! A line is a change of the input (`model`, `vm`, `silent`, `sound`, `slow`, `leaving`, `gone`,
//! `unlisted`, `reborn`, `ready`, `mismatch`, `idle`, `busy`), a time lapse (`wait SECONDS`), or
//! `plan`. A `plan` line is followed by one line `> REASON` for each reason that the run must give,
//! in order. Every group serves unless it has a silent member or is `idle`; `busy` ends `idle`.
//! Text after `#` is a comment.

use std::{collections, fs, path, time};

use pier_control::{placements, planning};
use pier_types::{epochs, ids, sizes, times, vms};

struct Scenario {
    wanted: collections::BTreeMap<ids::ModelName, planning::WantedModel>,
    vms: Vec<vms::VmEntry>,
    conditions: collections::BTreeMap<ids::VmName, planning::VmCondition>,
    idle: collections::BTreeSet<u64>,
    mismatched: collections::BTreeSet<u64>,
    ready: collections::BTreeSet<u64>,
    present: placements::DataCentrePlacement,
    now: times::BootTime,
}

impl Scenario {
    fn new() -> Self {
        Self {
            wanted: collections::BTreeMap::new(),
            vms: Vec::new(),
            conditions: collections::BTreeMap::new(),
            idle: collections::BTreeSet::new(),
            mismatched: collections::BTreeSet::new(),
            ready: collections::BTreeSet::new(),
            present: placements::DataCentrePlacement::empty("dc".parse().unwrap()),
            now: times::BootTime::from_millis(1_000_000),
        }
    }

    fn add_model(&mut self, words: &[&str]) {
        let model: ids::ModelName = words[0].parse().unwrap();
        let adapters = words.get(4).map(|name| name.parse().unwrap());
        let wanted = planning::WantedModel {
            model: model.clone(),
            replicas: words[1].parse().unwrap(),
            members: words[2].parse().unwrap(),
            recipe: placements::GroupRecipe {
                version: words[3].parse().unwrap(),
                adapters: adapters.into_iter().collect(),
                prefill: 0,
            },
            weight_bytes: sizes::ByteSize::new(1),
        };
        self.wanted.insert(model, wanted);
    }

    fn add_vm(&mut self, name: &str, domain: &str) {
        let name: ids::VmName = name.parse().unwrap();
        self.vms.push(vms::VmEntry {
            name: name.clone(),
            incarnation: epochs::VmIncarnation::new(1),
            address: format!("127.0.0.1:{}", 1_000 + self.vms.len())
                .parse()
                .unwrap(),
            data_centre: "dc".parse().unwrap(),
            domain: domain.parse().unwrap(),
            pool: vms::VmPool::Accelerator,
            state: vms::VmState::Live,
        });
        self.set_healthy(name, 1);
    }

    fn set_healthy(&mut self, name: ids::VmName, incarnation: u64) {
        let incarnation = epochs::VmIncarnation::new(incarnation);
        self.conditions
            .insert(name, planning::VmCondition::Healthy { incarnation });
    }

    fn plan(&mut self) -> Vec<String> {
        let silent = |slot: &placements::MemberSlot| {
            matches!(
                self.conditions.get(&slot.vm),
                Some(planning::VmCondition::Unreachable { .. })
            )
        };
        let groups = self.present.groups().iter();
        let serving = groups
            .filter(|(group, placement)| {
                !self.idle.contains(group) && !placement.members.iter().any(silent)
            })
            .map(|(group, _placement)| (*group, sizes::RequestCount::default()))
            .collect();
        let input = planning::PlanInput {
            wanted: &self.wanted,
            vms: &self.vms,
            conditions: &self.conditions,
            serving: &serving,
            mismatched: &self.mismatched,
            ready: &self.ready,
            seen_generation: epochs::GroupGeneration::default(),
            present: &self.present,
            term: epochs::LeaseTerm::new(1),
            now: self.now,
        };
        let plan =
            planning::PlacementPlan::make(&input, &planning::PlannerSettings::default()).unwrap();
        self.present = plan.placement;
        self.mismatched.clear();
        self.ready.clear();
        plan.reasons.iter().map(ToString::to_string).collect()
    }

    fn apply(&mut self, command: &str, words: &[&str]) {
        let first = words.first().copied().unwrap_or_default();
        let entry = self
            .vms
            .iter()
            .position(|entry| entry.name.as_str() == first);
        let name: Option<ids::VmName> = first.parse().ok();
        let incarnation = epochs::VmIncarnation::new(1);
        match command {
            "model" => self.add_model(words),
            "vm" => words[1..].iter().for_each(|name| self.add_vm(name, first)),
            "silent" => {
                for word in words {
                    let condition = planning::VmCondition::Unreachable { since: self.now };
                    self.conditions.insert(word.parse().unwrap(), condition);
                }
            }
            "sound" => words
                .iter()
                .for_each(|word| self.set_healthy(word.parse().unwrap(), 1)),
            "slow" => {
                let condition = planning::VmCondition::Straggling {
                    incarnation,
                    since: self.now,
                };
                self.conditions.insert(name.unwrap(), condition);
            }
            "leaving" => self.vms[entry.unwrap()].state = vms::VmState::Leaving,
            "gone" => {
                self.vms.remove(entry.unwrap());
                self.conditions.remove(&name.unwrap());
            }
            "unlisted" => drop(self.vms.remove(entry.unwrap())),
            "reborn" => self.set_healthy(name.unwrap(), 2),
            "ready" => drop(self.ready.insert(first.parse().unwrap())),
            "mismatch" => drop(self.mismatched.insert(first.parse().unwrap())),
            "idle" => drop(self.idle.insert(first.parse().unwrap())),
            "busy" => drop(self.idle.remove(&first.parse().unwrap())),
            "wait" => {
                self.now = self
                    .now
                    .after(time::Duration::from_secs(first.parse().unwrap()));
            }
            other => panic!("unknown command {other}"),
        }
    }
}

fn follow(path: &path::Path) -> datatest_stable::Result<()> {
    let mut scenario = Scenario::new();
    let mut given: Vec<String> = Vec::new();
    for line in fs::read_to_string(path)?.lines().chain(["end"]) {
        let words: Vec<_> = line
            .split('#')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let Some((command, words)) = words.split_first() else {
            continue;
        };
        if *command == ">" {
            let reason = words.join(" ");
            if given.first() != Some(&reason) {
                return Err(format!("expected {reason:?}, remaining reasons {given:?}").into());
            }
            given.remove(0);
            continue;
        }
        if !given.is_empty() {
            return Err(format!("unexpected reasons before {line:?}: {given:?}").into());
        }
        match *command {
            "plan" => given = scenario.plan(),
            "end" => {}
            other => scenario.apply(other, words),
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = follow, root = "tests/planner_scenarios", pattern = r"\.txt$" },
}
