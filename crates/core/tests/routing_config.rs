//! Guards against requests that are sent to the wrong route, and against keys that identify the wrong customer.

use eelgrasswell_core::{
    hash::HashMap,
    id::Revision,
    routing_config::{Caller, CallerLimits, Customer, Route, RouteKind, RoutingConfig, Service, Target},
    unit::Millis,
};
use test_case::test_case;

fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: Millis(1_000),
        objective: Millis(100),
        max_pause: None,
        priority: 0,
        models: Vec::new(),
        targets: vec![Target { service: service.into(), weight: 1 }],
        max_attempts: 1,
        anonymous: false,
        affinity: false,
    }
}

fn config() -> RoutingConfig {
    let customer = |id: &str, key: &str| Customer { id: id.into(), priority: None, keys: vec![key.into()] };
    config_with(Some(vec![customer("c1", "k1"), customer("c2", "k2")]))
}

fn config_with(customers: Option<Vec<Customer>>) -> RoutingConfig {
    let open = Route { anonymous: true, ..route("a.example", "/open/", "s3") };
    let routes = vec![route("a.example", "/x/", "s1"), route("a.example", "/x/y/", "s2"), open];
    RoutingConfig::new(Revision(1), CallerLimits::default(), routes, HashMap::default(), customers)
}

#[test_case("a.example", "/x/1", Some("s1"); "prefix")]
#[test_case("A.EXAMPLE:80", "/x/1", Some("s1"); "case and port of the host")]
#[test_case("a.example", "/x/y/1", Some("s2"); "longest prefix")]
#[test_case("a.example", "/x/yz", Some("s1"); "prefix ends with a slash")]
#[test_case("a.example", "/x", None; "shorter than the prefix")]
#[test_case("b.example", "/x/1", None; "other host")]
fn route_case(host: &str, path: &str, service: Option<&str>) {
    let config = config();
    let target = config.route(host, path).map(|route| route.target(0).as_str());
    assert_eq!(target, service);
}

#[test]
fn identify_caller_by_key() {
    let config = config();
    let (keyed, open) = (config.route("a.example", "/x/1").unwrap(), config.route("a.example", "/open/1").unwrap());
    let id = |caller| match caller {
        Caller::Customer(customer) => customer.id.to_string(),
        Caller::Anonymous => "anonymous".into(),
        Caller::Unknown => "unknown".into(),
    };
    assert_eq!(id(config.identify_caller(keyed, Some("k2"))), "c2");
    assert_eq!(id(config.identify_caller(keyed, Some("k3"))), "unknown");
    assert_eq!(id(config.identify_caller(keyed, None)), "unknown");
    assert_eq!(id(config.identify_caller(open, None)), "anonymous");
    assert_eq!(id(config.identify_caller(open, Some("k1"))), "c1");
}

/// Guards against a withdrawn key that goes on working on an anonymous route.
#[test]
fn identify_caller_with_unknown_key_on_anonymous_route() {
    let config = config();
    let open = config.route("a.example", "/open/1").unwrap();
    assert_eq!(config.identify_caller(open, Some("k3")), Caller::Unknown);
}

/// Guards against a list of customers that has become empty and lets all callers in (issue 34).
#[test_case(Some(Vec::new()), Caller::Unknown, Caller::Anonymous; "empty list")]
#[test_case(None, Caller::Anonymous, Caller::Anonymous; "no list")]
fn identify_caller_without_customers(customers: Option<Vec<Customer>>, keyless: Caller, open_keyless: Caller) {
    let config = config_with(customers);
    let (keyed, open) = (config.route("a.example", "/x/1").unwrap(), config.route("a.example", "/open/1").unwrap());
    for route in [keyed, open] {
        assert_eq!(config.identify_caller(route, Some("k1")), keyless);
    }
    assert_eq!(config.identify_caller(keyed, None), keyless);
    assert_eq!(config.identify_caller(open, None), open_keyless);
}

#[test]
fn target_by_weight() {
    let target = |service: &str, weight| Target { service: service.into(), weight };
    let route = Route { targets: vec![target("s1", 90), target("s2", 10)], ..route("a", "/", "") };
    let second = (0..1_000).filter(|hash| route.target(*hash).as_str() == "s2").count();
    assert_eq!(second, 100);
}

#[test]
fn relative_price_of_models() {
    let models = HashMap::from_iter([("s".into(), 0.02), ("l".into(), 0.3)]);
    let service = Service { models, ..Service::default() };
    assert!((service.relative_price(&"l".into()) - 15.0).abs() < 1e-9);
    assert!((service.relative_price(&"s".into()) - 1.0).abs() < 1e-9);
    assert!((service.relative_price(&"unknown".into()) - 1.0).abs() < 1e-9);
}
