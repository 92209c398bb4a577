//! The routes, services and keys that a router serves by, as one immutable snapshot.

use std::sync::Arc;

use compact_str::CompactString;

use crate::{
    hash::HashMap,
    id::{CustomerId, ModelName, Revision, ServiceName},
    unit::{Bytes, Millis},
};

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RoutingConfig {
    /// Version of the configuration; rises with each change.
    pub version: Revision,
    /// What callers may send.
    pub limits: CallerLimits,
    services: HashMap<ServiceName, Service>,
    routes: HashMap<CompactString, Vec<Arc<Route>>>,
    keys: HashMap<CompactString, Arc<Customer>>,
    has_customers: bool,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub head: Bytes,
    /// Largest body of a request.
    pub body: Bytes,
    /// Longest time for the head of a request.
    pub head_timeout: Millis,
    /// Longest time that a connection may stay without a request.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { head: Bytes(16 << 10), body: Bytes(4 << 20), head_timeout: Millis(3_000), idle_timeout: Millis(15_000) }
    }
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent requests.
    Safe,
    /// Requests that run at most once.
    Unsafe,
    /// Event streams; idempotent when they may be resumed.
    Stream {
        /// Whether a stream may be resumed at another backend server.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: CompactString,
    /// Host that callers name.
    pub host: CompactString,
    /// Path prefix; begins and ends with a slash.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout: Millis,
    /// Time within which an answer has its full value.
    pub objective: Millis,
    /// Longest pause between two events of a stream whose answer has its full value.
    pub max_pause: Option<Millis>,
    /// Rank, 0 first.
    pub priority: u32,
    /// Models that may answer a request that names none, smallest first.
    pub models: Vec<ModelName>,
    /// Services with their weights; never empty.
    pub targets: Vec<Target>,
    /// Most backend servers that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether requests that share a prompt prefix should meet at one backend server.
    pub affinity: bool,
}

/// One of the services of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum of the weights.
    pub weight: u32,
}

/// A pool of backend servers of one kind.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Connections that each backend server accepts from all routers together.
    pub max_connections: u32,
    /// Requests per second that a cold backend server bears; 0 where it has no limit.
    pub cold_per_second: f64,
    /// Price of each model for the same answer; empty where the backend servers are no model engines.
    pub models: HashMap<ModelName, f64>,
}

impl Service {
    /// Price of `model` relative to the cheapest one.
    pub fn relative_price(&self, model: &ModelName) -> f64 {
        let cheapest = self.models.values().copied().filter(|price| *price > 0.0).fold(f64::INFINITY, f64::min);
        match self.models.get(model) {
            Some(price) if cheapest.is_finite() => (price / cheapest).max(1.0),
            _ => 1.0,
        }
    }
}

/// A customer with keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The customer.
    pub id: CustomerId,
    /// Rank that goes before that of the route, 0 first.
    pub priority: Option<u32>,
    /// Keys of the customer.
    pub keys: Vec<CompactString>,
}

/// Who sends a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// A customer, by key.
    Customer(Arc<Customer>),
    /// Nobody in particular: the route or the site asks for no key.
    Anonymous,
    /// The request needs a key that is known, and has none.
    Unknown,
}

impl RoutingConfig {
    /// Builds the snapshot. Routes without a target are left out.
    pub fn new(
        version: Revision,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        customers: Vec<Customer>,
    ) -> Self {
        let mut by_host: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::default();
        for route in routes.into_iter().filter(|route| !route.targets.is_empty()) {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let has_customers = !customers.is_empty();
        let mut keys = HashMap::default();
        for customer in customers.into_iter().map(Arc::new) {
            keys.extend(customer.keys.iter().map(|key| (key.clone(), Arc::clone(&customer))));
        }
        Self { version, limits, services, routes: by_host, keys, has_customers }
    }

    /// The route with the longest prefix of `path` at `host`; a port in `host` does not count.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        self.routes.get(name.as_str())?.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Who sends a request on `route` with `key`.
    pub fn identify_caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let customer = key.and_then(|key| self.keys.get(key));
        match customer {
            Some(customer) => Caller::Customer(Arc::clone(customer)),
            None if route.anonymous || !self.has_customers => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Names of all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }
}

impl Route {
    /// The service for a request whose hash is `hash`; equal hashes go to one service.
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
