//! Sends orders and status queries to VMs.

use std::{net, time};

use pier_fleet::{formation, targets};
use pier_types::{epochs, ids, times};
use tokio::sync::mpsc;

use crate::{links, state};

/// Time-out of an order or a query: many times the network delay between data centres, and short
/// compared with the time that a group is out of service.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time-out of a query to a member of a stuck group; a member that works answers in a tenth of it.
const STUCK_CALL_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// The end of a call to a VM.
#[derive(Debug)]
pub(super) enum MemberEvent {
    /// An order was sent, with this outcome.
    OrderEnded {
        order: formation::GroupOrder,
        outcome: links::OrderOutcome,
    },
    /// A VM was queried, and answered or not.
    QueryEnded {
        vm: ids::VmName,
        born: epochs::VmIncarnation,
        report: Result<links::MemberReport, links::QueryFault>,
    },
}

/// Sends orders and queries in the background and reports how they end as events.
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
            // The receiver is dropped only when the process ends.
            let _ended = client
                .events
                .send(MemberEvent::OrderEnded { order, outcome });
        });
    }

    /// Queries the status of a VM.
    pub(super) fn query(
        &self,
        vm: ids::VmName,
        born: epochs::VmIncarnation,
        address: net::SocketAddr,
    ) {
        self.query_within(vm, born, address, CALL_TIMEOUT);
    }

    /// Queries a member of a stuck group, with a shorter time-out.
    pub(super) fn query_stuck(
        &self,
        vm: ids::VmName,
        born: epochs::VmIncarnation,
        address: net::SocketAddr,
    ) {
        self.query_within(vm, born, address, STUCK_CALL_TIMEOUT);
    }

    fn query_within(
        &self,
        vm: ids::VmName,
        born: epochs::VmIncarnation,
        address: net::SocketAddr,
        limit: time::Duration,
    ) {
        let client = self.clone();
        self.state.metrics().count_member_query();
        tokio::spawn(async move {
            let report = client.state.platform().query(&vm, address, limit).await;
            log::debug!(event = "member-asked", target_vm:% = vm, outcome:? = report; "");
            // The receiver is dropped only when the process ends.
            let _ended = client
                .events
                .send(MemberEvent::QueryEnded { vm, born, report });
        });
    }
}

/// Returns a VM's standing once an order was accepted, predicted from its standing before.
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

/// Returns the current time.
pub(super) fn now() -> times::BootTime {
    times::clocks::boot_now()
}
