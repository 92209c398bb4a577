//! The routes, services and customers that a router serves, as one immutable snapshot.

use std::sync::Arc;

use compact_str::CompactString;

use crate::{
    hash::HashMap,
    id::{CustomerId, ModelName, Revision, ServiceName},
    unit::{Bytes, Millis},
};

/// One version of the routing configuration.
#[derive(Clone, Debug, Default)]
pub struct RoutingConfig {
    /// Version of the configuration; increases with each change.
    pub version: Revision,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    services: HashMap<ServiceName, Service>,
    /// Routes by lower-case host, those with the longest prefix first.
    routes: HashMap<CompactString, Vec<Arc<Route>>>,
    /// Customers by API key.
    keys: HashMap<CompactString, Arc<Customer>>,
    /// Whether there is a list of customers, which may be empty. Without one, no key is checked.
    checks_keys: bool,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the head of a request.
    pub head: Bytes,
    /// Maximum size of the body of a request.
    pub body: Bytes,
    /// Maximum time for receiving the head of a request.
    pub head_timeout: Millis,
    /// Maximum time for which a connection may stay without a request.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { head: Bytes(16 << 10), body: Bytes(4 << 20), head_timeout: Millis(3_000), idle_timeout: Millis(15_000) }
    }
}

/// Kind of the requests of a route, which decides whether they may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent requests.
    Safe,
    /// Requests that run at most once.
    Unsafe,
    /// Requests for event streams; idempotent if the streams are resumable.
    Stream {
        /// Whether a stream can be resumed at another backend server.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Route for the requests with one host and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: CompactString,
    /// Host of the requests.
    pub host: CompactString,
    /// Path prefix of the requests; begins and ends with a slash.
    pub prefix: CompactString,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Maximum time until the final response.
    pub timeout: Millis,
    /// Latency objective: time within which a response has its full value.
    pub objective: Millis,
    /// Maximum pause between two events of a stream whose response has its full value.
    pub max_pause: Option<Millis>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Models that may answer a request that does not name a model, smallest first.
    pub models: Vec<ModelName>,
    /// Services that the requests are split over; never empty.
    pub targets: Vec<Target>,
    /// Maximum number of backend servers that one request may run on.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub anonymous: bool,
    /// Whether requests that share a prompt prefix should go to the same backend server.
    pub affinity: bool,
}

/// A service of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Weight of the service; its share of the requests is relative to the sum of the weights.
    pub weight: u32,
}

/// A service: a pool of backend servers of one kind.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Number of connections that each backend server accepts from all routers together.
    pub max_connections: u32,
    /// Requests per second that a cold backend server can take; 0 for no limit.
    pub cold_per_second: f64,
    /// Price of each model for the same answer; empty if the backend servers are not model engines.
    pub models: HashMap<ModelName, f64>,
}

impl Service {
    /// Price of `model` relative to the cheapest model with a price; 1 if the price of `model` is not known.
    pub fn relative_price(&self, model: &ModelName) -> f64 {
        let cheapest = self.models.values().copied().filter(|price| *price > 0.0).fold(f64::INFINITY, f64::min);
        match self.models.get(model) {
            Some(price) if cheapest.is_finite() => (price / cheapest).max(1.0),
            _ => 1.0,
        }
    }
}

/// A customer and its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Id of the customer.
    pub id: CustomerId,
    /// Priority of the customer's requests, which overrides that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// API keys of the customer.
    pub keys: Vec<CompactString>,
}

/// Sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The customer that the key belongs to.
    Customer(Arc<Customer>),
    /// A caller without a key on an anonymous route, or any caller if the configuration has no list of customers.
    Anonymous,
    /// A caller with a key that is not in the configuration, or without a key where one is required.
    Unknown,
}

impl RoutingConfig {
    /// Whether `service` has the model `model`.
    pub fn has_model(&self, service: &ServiceName, model: &ModelName) -> bool {
        self.service(service).is_some_and(|service| service.models.contains_key(model))
    }

    /// Builds the snapshot. Routes without targets are left out. A list of customers that is empty admits nobody where a
    /// key is required; without a list, no key is checked.
    pub fn new(
        version: Revision,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        customers: Option<Vec<Customer>>,
    ) -> Self {
        let mut by_host: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::default();
        for route in routes.into_iter().filter(|route| !route.targets.is_empty()) {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let checks_keys = customers.is_some();
        let mut keys = HashMap::default();
        for customer in customers.into_iter().flatten().map(Arc::new) {
            keys.extend(customer.keys.iter().map(|key| (key.clone(), Arc::clone(&customer))));
        }
        Self { version, limits, services, routes: by_host, keys, checks_keys }
    }

    /// Returns the route of `host` with the longest prefix of `path`. Case and port of `host` are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        self.routes.get(host.as_str())?.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the sender of a request on `route` with `key`. A key that is not in the configuration may be a withdrawn
    /// one, so it is refused on anonymous routes as well.
    pub fn identify_caller(&self, route: &Route, key: Option<&str>) -> Caller {
        if !self.checks_keys {
            return Caller::Anonymous;
        }
        match key {
            Some(key) => self.keys.get(key).map_or(Caller::Unknown, |customer| Caller::Customer(Arc::clone(customer))),
            None if route.anonymous => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Names of all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }
}

impl Route {
    /// Returns the service for a request by weighted choice. Requests with equal `hash` go to the same service.
    pub fn target(&self, hash: u64) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = if total == 0 { 0 } else { hash % total };
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return &target.service;
            }
            point -= weight;
        }
        &self.targets[0].service
    }
}
