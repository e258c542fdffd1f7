//! One version of the configuration document.

use std::{collections, sync};

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::documents;

/// Routes, services, keys and limits of one version; they take effect together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetDocument {
    version: epochs::ConfigVersion,
    routes: collections::BTreeMap<String, Vec<sync::Arc<documents::RouteRule>>>,
    services: collections::BTreeMap<ids::ServiceName, documents::ServiceSpec>,
    keys: Option<collections::BTreeMap<String, documents::CustomerGrant>>,
    limits: documents::CallerLimits,
}

impl FleetDocument {
    /// Creates a document without routes.
    pub fn new(version: epochs::ConfigVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route for a host.
    #[must_use]
    pub fn with_route(mut self, host: &str, route: documents::RouteRule) -> Self {
        let routes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        let at = routes.partition_point(|known| known.prefix.len() >= route.prefix.len());
        routes.insert(at, sync::Arc::new(route));
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, service: documents::ServiceSpec) -> Self {
        self.services.insert(service.name.clone(), service);
        self
    }

    /// Sets the customer of each key; without this no request needs a key.
    #[must_use]
    pub fn with_keys(
        mut self,
        keys: collections::BTreeMap<String, documents::CustomerGrant>,
    ) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Sets the limits on callers.
    #[must_use]
    pub fn with_limits(mut self, limits: documents::CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the version.
    pub const fn version(&self) -> epochs::ConfigVersion {
        self.version
    }

    /// Returns the limits on callers.
    pub const fn limits(&self) -> documents::CallerLimits {
        self.limits
    }

    /// Returns whether requests need a key.
    pub const fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the services by name.
    pub const fn services(
        &self,
    ) -> &collections::BTreeMap<ids::ServiceName, documents::ServiceSpec> {
        &self.services
    }

    /// Returns the customer who holds a key.
    pub fn customer(&self, key: &str) -> Option<&documents::CustomerGrant> {
        self.keys.as_ref()?.get(key)
    }

    /// Returns the route whose prefix is the longest match of a path; `host` may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<documents::RouteRule>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
