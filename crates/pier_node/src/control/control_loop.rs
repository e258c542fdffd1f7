//! The task that runs the control loops of a node.

use std::{collections, time};

use pier_config::documents;
use pier_control::{health, leases, loads, orders, placements, planning};
use pier_types::{epochs, ids, times, times::clocks, vms};
use tokio::sync::mpsc;

use crate::{control, handle};

/// Time between two evaluations of the evidence. A group is out of service at most this long after
/// its evidence has become too old.
const TICK: time::Duration = time::Duration::from_millis(200);

/// Time between two runs of the planner.
const PLAN_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The replicas that the data centre should run, by model.
type WantedMap = collections::BTreeMap<ids::ModelName, planning::WantedModel>;

/// Starts the control loop; it ends with the runtime.
pub fn spawn(handle: handle::NodeHandle, settings: &control::ControlSettings) {
    let (sender, events) = mpsc::unbounded_channel();
    let control = ControlLoop::new(handle, sender, settings);
    tokio::spawn(control.run(events));
}

/// The state of the control loop.
#[derive(Debug)]
struct ControlLoop {
    settings: control::ControlSettings,
    handle: handle::NodeHandle,
    events: control::EventSender,
    lease: control::LeaseDriver,
    placement: control::PlacementDriver,
    tracker: health::ConditionTracker,
    health: health::HealthMonitor,
    queue: loads::LoadQueue,
    orders: orders::OrderPlanner,
    planned_at: times::BootTime,
}

impl ControlLoop {
    fn new(
        handle: handle::NodeHandle,
        events: control::EventSender,
        settings: &control::ControlSettings,
    ) -> Self {
        Self {
            lease: control::LeaseDriver::new(handle.clone(), events.clone(), settings.lease),
            placement: control::PlacementDriver::new(handle.clone(), events.clone()),
            tracker: health::ConditionTracker::new(settings.health, clocks::boot_now()),
            health: health::HealthMonitor::new(settings.health),
            queue: loads::LoadQueue::new(settings.loads),
            orders: orders::OrderPlanner::new(settings.orders),
            planned_at: times::BootTime::default(),
            settings: *settings,
            handle,
            events,
        }
    }

    /// Handles events and ticks until the runtime ends.
    async fn run(mut self, mut events: mpsc::UnboundedReceiver<control::ControlEvent>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _tick = ticks.tick() => self.tick(clocks::boot_now()),
                Some(event) = events.recv() => self.handle_event(event, clocks::boot_now()),
            }
        }
    }

    fn handle_event(&mut self, event: control::ControlEvent, now: times::BootTime) {
        match event {
            control::ControlEvent::Lease(event) => self.lease.step(event, now),
            control::ControlEvent::PlacementRead(result) => self.placement.record_read(result),
            control::ControlEvent::PlacementWritten(result) => self.placement.record_write(result),
            control::ControlEvent::OrderAnswered(order, reply) => {
                self.orders.record_reply(&order, reply);
            }
        }
    }

    /// Evaluates the groups on every node; plans and sends orders if this node holds the lease.
    fn tick(&mut self, now: times::BootTime) {
        self.lease.step(leases::LeaseEvent::Tick, now);
        let config = self.handle.config();
        if let Some(config) = &config {
            self.health.set_freshness(config.document.limits.freshness);
        }
        let view = self.observe(now);
        self.handle.publish_groups(handle::GroupSnapshot {
            placement: view.placement.clone(),
            health: view.health.clone(),
        });
        if let (Some(config), Some(grant)) = (config, self.lease.grant(now)) {
            self.plan_and_order(&config.document, &view, grant.term, now);
        }
    }

    /// Evaluates the health of the groups and the condition of the VMs.
    fn observe(&mut self, now: times::BootTime) -> control::ControlView {
        let evidence = self.handle.evidence();
        let placement = self.placement.placement().cloned();
        let health = placement
            .as_ref()
            .map(|placement| self.health.observe(placement, &evidence, now));
        control::ControlView {
            conditions: self.conditions(placement.as_ref(), &evidence, now),
            health: health.unwrap_or_default(),
            placement,
            evidence,
        }
    }

    /// Plans the placement and sends orders as the lease holder.
    fn plan_and_order(
        &mut self,
        document: &documents::ConfigDocument,
        view: &control::ControlView,
        term: epochs::LeaseTerm,
        now: times::BootTime,
    ) {
        let data_centre = &self.handle.settings().data_centre;
        let Some(wanted) = control::wanted_models(document, data_centre) else {
            return;
        };
        if now.since(self.planned_at) >= PLAN_INTERVAL {
            self.planned_at = now;
            let vms = control::wanted_models::planned_vms(&self.handle.vms(), document);
            self.plan(&wanted, &vms, view, term, now);
        }
        self.queue.set_store_rate(document.limits.weight_store_rate);
        self.send_orders(&wanted, view, now);
    }

    /// Returns the condition of each VM that the list or the placement names.
    fn conditions(
        &mut self,
        placement: Option<&placements::DataCentrePlacement>,
        evidence: &collections::BTreeMap<ids::VmName, health::VmEvidence>,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::VmName, planning::VmCondition> {
        let list = self.handle.vms();
        let data_centre = &self.handle.settings().data_centre;
        let listed = list
            .values()
            .filter(|entry| entry.data_centre == *data_centre);
        let groups = placement
            .into_iter()
            .flat_map(|placement| placement.groups().values());
        let members = groups.flat_map(|group| group.vms()).cloned();
        let named = listed
            .map(|entry| entry.name.clone())
            .chain(members)
            .collect();
        let slow = self.handle.stragglers();
        self.tracker.update(evidence, &slow, &named, now)
    }

    /// Plans the next placement and writes it if it differs.
    fn plan(
        &mut self,
        wanted: &WantedMap,
        vms: &[vms::VmEntry],
        view: &control::ControlView,
        term: epochs::LeaseTerm,
        now: times::BootTime,
    ) {
        let Some(current) = self.placement.plannable() else {
            return;
        };
        let mismatched = view
            .health
            .mismatched
            .union(self.orders.fenced())
            .copied()
            .collect();
        let input = planning::PlanInput {
            wanted,
            vms,
            conditions: &view.conditions,
            serving: &view.health.loads(),
            mismatched: &mismatched,
            ready: &view.health.ready,
            seen_generation: self.orders.seen_generation(),
            present: &current,
            term,
            now,
        };
        match planning::PlacementPlan::make(&input, &self.settings.planner) {
            Ok(plan) if plan.is_changed || self.placement.is_deleted() => self.write(plan),
            Ok(_unchanged) => {}
            Err(error) => log::error!(event = "plan-invalid", cause:% = error; ""),
        }
    }

    fn write(&mut self, plan: planning::PlacementPlan) {
        for reason in &plan.reasons {
            log::info!(event = "placement-planned", reason:% = reason; "");
        }
        self.orders.clear_fenced();
        self.placement.write(plan.placement);
    }

    /// Sends the orders that are due.
    fn send_orders(
        &mut self,
        wanted: &WantedMap,
        view: &control::ControlView,
        now: times::BootTime,
    ) {
        let Some(placement) = &view.placement else {
            return;
        };
        let evidence = &view.evidence;
        let admitted = self.queue.admit(&loads::LoadInput {
            placement,
            wanted,
            evidence,
            view: &view.health,
            now,
        });
        let vms: Vec<_> = self.handle.vms().values().cloned().collect();
        let due = self.orders.due(&orders::OrderInput {
            placement,
            vms: &vms,
            evidence,
            admitted: &admitted,
            grant: self.lease.grant(now),
            now,
        });
        for order in due {
            let grant = self.lease.shared_grant();
            let settings = *self.orders.settings();
            control::order_calls::send(&self.handle, &self.events, &grant, order, settings);
        }
    }
}
