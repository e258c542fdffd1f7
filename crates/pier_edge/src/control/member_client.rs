//! Sends orders and questions to VMs.

use std::{net, time};

use pier_fleet::{formation, targets};
use pier_types::{epochs, ids, times};
use tokio::sync::mpsc;

use crate::{links, state};

/// How long an order or a question may take: many times the way between data centres, and little
/// against the time that a group stands still.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// The same for a member of a group that stands still: what answers at all answers in a tenth of it.
const STUCK_CALL_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// News of a VM.
#[derive(Debug)]
pub(super) enum MemberEvent {
    /// An order ended.
    OrderEnded {
        order: formation::GroupOrder,
        outcome: links::OrderOutcome,
    },
    /// A VM was asked.
    QueryEnded {
        vm: ids::VmName,
        born: epochs::VmIncarnation,
        report: Result<links::MemberReport, String>,
    },
}

/// Sends orders and questions without waiting for them.
#[derive(Debug, Clone)]
pub(super) struct MemberClient<P> {
    state: state::EdgeState<P>,
    events: mpsc::UnboundedSender<MemberEvent>,
}

impl<P: links::FleetPlatform> MemberClient<P> {
    pub(super) const fn new(
        state: state::EdgeState<P>,
        events: mpsc::UnboundedSender<MemberEvent>,
    ) -> Self {
        Self { state, events }
    }

    /// Sends an order to a VM.
    pub(super) fn order(&self, order: formation::GroupOrder, address: net::SocketAddr) {
        let client = self.clone();
        self.state.metrics().count_order(order.kind.label());
        tokio::spawn(async move {
            let platform = client.state.platform();
            let outcome = platform.order(&order, address, CALL_TIMEOUT).await;
            log::info!(
                event = "group-order",
                order = order.kind.label(),
                target_vm:% = order.vm,
                group:% = order.group,
                generation:% = order.generation,
                expected_orders = order.expected_orders,
                outcome:? = outcome;
                ""
            );
            // The receiver ends only with the process.
            let _ended = client
                .events
                .send(MemberEvent::OrderEnded { order, outcome });
        });
    }

    /// Asks a VM about itself.
    pub(super) fn ask(
        &self,
        vm: ids::VmName,
        born: epochs::VmIncarnation,
        address: net::SocketAddr,
    ) {
        self.ask_within(vm, born, address, CALL_TIMEOUT);
    }

    /// Asks a member of a group that stands still.
    pub(super) fn ask_stuck(
        &self,
        vm: ids::VmName,
        born: epochs::VmIncarnation,
        address: net::SocketAddr,
    ) {
        self.ask_within(vm, born, address, STUCK_CALL_TIMEOUT);
    }

    fn ask_within(
        &self,
        vm: ids::VmName,
        born: epochs::VmIncarnation,
        address: net::SocketAddr,
        limit: time::Duration,
    ) {
        let client = self.clone();
        self.state.metrics().count_question();
        tokio::spawn(async move {
            let report = client.state.platform().ask(&vm, address, limit).await;
            log::debug!(event = "member-asked", target_vm:% = vm, outcome:? = report; "");
            // The receiver ends only with the process.
            let _ended = client
                .events
                .send(MemberEvent::QueryEnded { vm, born, report });
        });
    }
}

/// Returns a VM's standing as it is once an order has begun.
pub(super) fn standing_after(
    order: &formation::GroupOrder,
    before: &targets::TargetStanding,
    has_begun: bool,
) -> targets::TargetStanding {
    let mut standing = before.clone();
    if has_begun {
        standing.orders = order.expected_orders + 1;
    }
    match &order.kind {
        formation::OrderKind::Join { model, members, .. } => {
            let rank = members.iter().position(|member| *member == order.vm);
            standing.membership = Some(targets::GroupMembership {
                group: order.group.clone(),
                generation: order.generation,
                rank: u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX),
                phase: targets::GroupPhase::Joining,
            });
            standing.running = Some(model.clone());
        }
        formation::OrderKind::Open => {}
        formation::OrderKind::Leave => standing.membership = None,
    }
    standing
}

/// Tells the present time to those that decide on news.
pub(super) fn now() -> times::BootTime {
    times::clocks::boot_now()
}
