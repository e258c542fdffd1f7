//! This node's share of the retries that all nodes together may make.

use std::{collections, sync};

use pier_fleet::budgets;
use pier_types::{ids, times};

use crate::{settings, state};

/// Percentage of the allowance that is used; the rest is a reserve, since the windows of the
/// nodes do not begin together.
const USED_PERCENT: u32 = 75;

/// Counts the first sends and the repeats of each service in a sliding window.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    bounds: settings::EdgeBounds,
    services: sync::Mutex<collections::BTreeMap<ids::ServiceName, ServiceWindow>>,
}

#[derive(Debug)]
struct ServiceWindow {
    fresh: budgets::WindowCount,
    repeats: budgets::WindowCount,
}

impl RetryBudget {
    pub(crate) fn new(bounds: settings::EdgeBounds) -> Self {
        Self {
            bounds,
            services: sync::Mutex::default(),
        }
    }

    pub(crate) fn add_fresh(&self, service: &ids::ServiceName, now: times::BootTime) {
        self.with(service, |window| window.fresh.add(now));
    }

    /// Takes one repeat from the budget; returns false if this node's share is used up.
    ///
    /// The share is `retry_ratio` of this node's fresh requests, plus `retry_burst` divided by
    /// `nodes`.
    pub(crate) fn take(
        &self,
        service: &ids::ServiceName,
        nodes: u32,
        now: times::BootTime,
    ) -> bool {
        let bounds = self.bounds;
        self.with(service, |window| {
            let ratio = f64::from(window.fresh.total(now)) * bounds.retry_ratio;
            let burst = f64::from(bounds.retry_burst) / f64::from(nodes.max(1));
            let max_repeats = (ratio + burst) * f64::from(USED_PERCENT) / 100.0;
            if f64::from(window.repeats.total(now)) + 1.0 > max_repeats {
                return false;
            }
            window.repeats.add(now);
            true
        })
    }

    fn with<T>(
        &self,
        service: &ids::ServiceName,
        change: impl FnOnce(&mut ServiceWindow) -> T,
    ) -> T {
        let mut services = state::target_slot::lock(&self.services);
        let window = services.entry(service.clone());
        change(window.or_insert_with(|| ServiceWindow {
            fresh: budgets::WindowCount::new(self.bounds.retry_window),
            repeats: budgets::WindowCount::new(self.bounds.retry_window),
        }))
    }
}
