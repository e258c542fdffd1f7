//! Admission controllers and retry budgets, derived from the configuration.

use std::{collections, sync};

use pier_config::documents;
use pier_request::{admission, retries};
use pier_types::{ids, routes, sizes};

/// Number of retries that a customer may make in a burst.
const BURST_RETRIES: u32 = 10;

/// Per-mille units in one percent.
const THOUSANDTHS_PER_PERCENT: u32 = 10;

/// The admission controller of each pool and the retry budget of each customer.
#[derive(Debug, Default)]
pub(super) struct CustomerTable {
    controllers: collections::BTreeMap<routes::PoolKey, admission::AdmissionController>,
    budgets: collections::BTreeMap<ids::CustomerName, CustomerBudget>,
}

/// A retry budget and the setting that it was created from.
#[derive(Debug, Clone)]
struct CustomerBudget {
    percent: documents::RetryPercent,
    budget: sync::Arc<retries::RetryBudget>,
}

impl CustomerTable {
    /// Returns the table for a newer document; counters and unchanged budgets are carried over.
    pub(super) fn replace(&self, document: &documents::ConfigDocument) -> Self {
        let models = document.models.keys().cloned().map(routes::PoolKey::Model);
        let services = document.services.keys().cloned();
        let pools = models.chain(services.map(routes::PoolKey::Service));
        let customers = document.customers.iter();
        Self {
            controllers: pools
                .map(|pool| self.next_controller(pool, document))
                .collect(),
            budgets: customers
                .map(|(name, section)| (name.clone(), self.next_budget(name, section)))
                .collect(),
        }
    }

    /// Returns the admission controller of a pool.
    pub(super) fn controller_of(
        &self,
        pool: &routes::PoolKey,
    ) -> Option<&admission::AdmissionController> {
        self.controllers.get(pool)
    }

    /// Returns the retry budget of a customer.
    pub(super) fn budget_of(
        &self,
        customer: &ids::CustomerName,
    ) -> Option<&sync::Arc<retries::RetryBudget>> {
        self.budgets.get(customer).map(|budget| &budget.budget)
    }

    fn next_controller(
        &self,
        pool: routes::PoolKey,
        document: &documents::ConfigDocument,
    ) -> (routes::PoolKey, admission::AdmissionController) {
        let weights = weights_of(&pool, document);
        let known = self.controllers.get(&pool);
        let controller = known.map_or_else(
            || admission::AdmissionController::default().with_customers(&weights),
            |known| known.with_customers(&weights),
        );
        (pool, controller)
    }

    fn next_budget(
        &self,
        customer: &ids::CustomerName,
        section: &documents::CustomerSection,
    ) -> CustomerBudget {
        let percent = section.retry_percent;
        let known = self.budgets.get(customer);
        if let Some(known) = known.filter(|known| known.percent == percent) {
            return known.clone();
        }
        let per_thousand = u32::from(percent.get()) * THOUSANDTHS_PER_PERCENT;
        let burst = if per_thousand == 0 { 0 } else { BURST_RETRIES };
        let budget = retries::RetryBudget::new(per_thousand, burst);
        CustomerBudget {
            percent,
            budget: sync::Arc::new(budget),
        }
    }
}

/// Returns the weights of the customers that may use a pool.
fn weights_of(
    pool: &routes::PoolKey,
    document: &documents::ConfigDocument,
) -> collections::BTreeMap<ids::CustomerName, sizes::CustomerWeight> {
    let may_use = |section: &documents::CustomerSection| match pool {
        routes::PoolKey::Model(model) => section.models.contains(model),
        routes::PoolKey::Service(service) => section.services.contains(service),
    };
    let customers = document.customers.iter();
    customers
        .filter(|(_name, section)| may_use(section))
        .map(|(name, section)| (name.clone(), section.weight))
        .collect()
}
