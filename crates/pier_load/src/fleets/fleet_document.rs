//! The configuration of a fleet.

use std::fmt::Write as _;

use pier_config::documents;

use crate::fleets;

/// Bearer key of the fleet's only customer.
pub const BEARER_KEY: &str = "load-key";

/// Name of the fleet's only model.
pub const MODEL_NAME: &str = "draft";

/// Generates the configuration document of a fleet.
#[derive(Debug)]
pub struct FleetDocument;

impl FleetDocument {
    /// Returns the text of the document.
    pub fn text(plan: &fleets::FleetPlan) -> String {
        let mut text = format!(
            "[document]\nname = load\n\n[model {MODEL_NAME}]\nversion = 1\nmembers = 1\n\
             roles = unified\nwarm-limit = {}\ncold-limit = {}\n{MODEL}\n",
            plan.warm_limit, plan.cold_limit
        );
        for data_centre in &plan.data_centres {
            let _infallible = write!(
                text,
                "[data-centre {data_centre}]\nregion = load\nstate = in-service\n\
                 entry-slots = {}\nreplicas.{MODEL_NAME} = {}\n\n",
                plan.nodes, plan.engines
            );
        }
        let hash = documents::KeyHash::of(BEARER_KEY);
        let _infallible = write!(
            text,
            "[customer load]\nkey-sha256 = {hash}\nretry-percent = {}\n{CUSTOMER}",
            plan.retry_percent
        );
        text
    }
}

const MODEL: &str = "context-tokens = 32768
max-tokens = 4096
max-body-bytes = 1048576
weight-bytes = 1000000
prefix-affinity = yes
";

const CUSTOMER: &str = "weight = 1
max-priority = high
models = draft
repeat = completions

[limits]
weight-store-bytes-per-second = 1000000000
claim-retention-hours = 1
freshness-ms = 2500
deadline-default-ms = 20000
max-body-bytes = 1048576
";
