//! The policies that are compared.

use std::{cell, fmt, rc};

use pier_request::admission;
use pier_types::{ids, priorities, sizes, times};

/// Places of the pool.
pub const CAPACITY: u32 = 20;

/// What a place is worth by priority, low first.
const WORTH: [f64; 3] = [1.0, 5.0, 25.0];

/// Part of the places that the price leaves to all before it rises, so that the price of the last
/// place is the worth of the highest priority.
fn flat_part() -> f64 {
    1.0 / (1.0 + (WORTH[2] / WORTH[0]).ln())
}

/// Which policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// First come, first served.
    None,
    /// The product's gate: plain thresholds while higher priorities were seen lately.
    Thresholds,
    /// A price that rises with use, always in force.
    Price,
    /// The same price with half of the range of worth.
    MildPrice,
}

impl PolicyKind {
    /// All of them.
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

/// A place that is held until it is dropped.
pub enum SimulatedPermit {
    /// Of the product's gate.
    Controller {
        /// Kept for its drop alone.
        _permit: admission::AdmissionPermit,
    },
    /// Of a count.
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
    /// Makes an empty pool.
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

    /// Returns the places up to which the price is at most the worth of a priority.
    fn limit(&self, priority: priorities::RequestPriority) -> u32 {
        let worth = match priority {
            priorities::RequestPriority::Low => WORTH[0],
            priorities::RequestPriority::Normal => WORTH[1],
            priorities::RequestPriority::High => WORTH[2],
        };
        // price(use) = lowest worth * e^(use / flat part - 1) above the flat part.
        let part = flat_part() * (1.0 + (worth / WORTH[0]).ln());
        let part = match self.kind {
            PolicyKind::None => 1.0,
            PolicyKind::MildPrice => f64::midpoint(part, 1.0),
            PolicyKind::Thresholds | PolicyKind::Price => part,
        };
        // Rounded to whole places.
        let end = part * f64::from(CAPACITY) + 0.5;
        let affordable = (0..=CAPACITY).rev().find(|place| f64::from(*place) <= end);
        affordable.unwrap_or_default()
    }
}
