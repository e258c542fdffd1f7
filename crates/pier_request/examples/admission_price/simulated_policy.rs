//! The admission policies that are compared.

use std::{cell, fmt, rc};

use pier_request::admission;
use pier_types::{ids, priorities, sizes, times};

/// Slots of the pool.
pub const CAPACITY: u32 = 20;

/// Value of a slot by priority, from low to high.
const SLOT_VALUES: [f64; 3] = [1.0, 5.0, 25.0];

/// Returns the fraction of the slots that every priority can afford before the price rises, such
/// that the price of the last slot equals the value of the highest priority.
fn flat_part() -> f64 {
    1.0 / (1.0 + (SLOT_VALUES[2] / SLOT_VALUES[0]).ln())
}

/// An admission policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// No difference between priorities: first come, first served.
    None,
    /// The `AdmissionController`: fixed thresholds while requests of higher priorities arrived
    /// recently.
    Thresholds,
    /// A price that rises with utilisation and always applies.
    Price,
    /// The same price with the limits moved halfway to the full capacity.
    MildPrice,
}

impl PolicyKind {
    /// Every policy.
    pub const ALL: [Self; 4] = [Self::None, Self::Thresholds, Self::Price, Self::MildPrice];
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::None => "none",
            Self::Thresholds => "plain",
            Self::Price => "price",
            Self::MildPrice => "mild-price",
        })
    }
}

/// A pool under one policy.
pub struct SimulatedPolicy {
    kind: PolicyKind,
    controller: admission::AdmissionController,
    customer: ids::CustomerName,
    used: rc::Rc<cell::Cell<u32>>,
}

/// Holds a slot until it is dropped.
pub enum SimulatedPermit {
    /// A slot of the `AdmissionController`.
    Controller {
        /// Frees the slot when it is dropped.
        _permit: admission::AdmissionPermit,
    },
    /// A slot of the simulated pool.
    Count(rc::Rc<cell::Cell<u32>>),
}

impl Drop for SimulatedPermit {
    fn drop(&mut self) {
        if let Self::Count(used) = self {
            used.set(used.get() - 1);
        }
    }
}

impl SimulatedPolicy {
    /// Creates an empty pool.
    pub fn new(kind: PolicyKind) -> Self {
        let customer: ids::CustomerName = "college".parse().expect("a plain name");
        let weights = [(customer.clone(), sizes::CustomerWeight::new(1))].into();
        Self {
            kind,
            controller: admission::AdmissionController::default().with_customers(&weights),
            customer,
            used: rc::Rc::default(),
        }
    }

    /// Admits a request or refuses it.
    pub fn admit(
        &self,
        priority: priorities::RequestPriority,
        now: times::BootTime,
    ) -> Option<SimulatedPermit> {
        if self.kind == PolicyKind::Thresholds {
            return self.ask_controller(priority, now);
        }
        if self.used.get() >= self.limit(priority) {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(SimulatedPermit::Count(rc::Rc::clone(&self.used)))
    }

    fn ask_controller(
        &self,
        priority: priorities::RequestPriority,
        now: times::BootTime,
    ) -> Option<SimulatedPermit> {
        let request = admission::AdmissionRequest {
            customer: &self.customer,
            priority,
            load: admission::PoolLoad {
                capacity: CAPACITY,
                ..admission::PoolLoad::default()
            },
            deadline: now.after(std::time::Duration::from_mins(1)),
            now,
        };
        let permit = self.controller.admit(&request).ok()?;
        Some(SimulatedPermit::Controller { _permit: permit })
    }

    /// Returns the number of slots at which the price still does not exceed the value of a slot to
    /// a priority.
    fn limit(&self, priority: priorities::RequestPriority) -> u32 {
        let value = match priority {
            priorities::RequestPriority::Low => SLOT_VALUES[0],
            priorities::RequestPriority::Normal => SLOT_VALUES[1],
            priorities::RequestPriority::High => SLOT_VALUES[2],
        };
        // Above the flat part: price(use) = lowest value * e^(use / flat part - 1).
        let part = flat_part() * (1.0 + (value / SLOT_VALUES[0]).ln());
        let part = match self.kind {
            PolicyKind::None => 1.0,
            PolicyKind::MildPrice => f64::midpoint(part, 1.0),
            PolicyKind::Thresholds | PolicyKind::Price => part,
        };
        // Rounds to whole slots.
        let slot_limit = part * f64::from(CAPACITY) + 0.5;
        let affordable = (0..=CAPACITY)
            .rev()
            .find(|slots| f64::from(*slots) <= slot_limit);
        affordable.unwrap_or_default()
    }
}
