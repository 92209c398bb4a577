//! Configurations as the operator writes them into the store (`config/main`).

/// API key of the only tenant.
pub const KEY: &str = "key-of-the-shop";
/// The only tenant.
pub const TENANT: &str = r#"{"name":"shop","api_keys":["key-of-the-shop"]}"#;

/// A route for the paths below `/NAME/` to the service `service`, whose requests run at one server at most.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u32) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"site.example","path_prefix":"/{name}/","route_type":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":1,"anonymous":false,"session_affinity":false,"stream_resume":false}}"#
    )
}

/// A configuration with the routes `routes` to `service`, and `tenants`, both as JSON texts joined by commas.
pub fn config(version: u64, routes: &str, service: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{service}","health_path":"/healthz","max_connections":110,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#
    )
}

/// The configuration with one route, `/book/`, whose requests are not idempotent.
pub fn booking_config(version: u64, tenants: &str) -> String {
    config(version, &route("book", "unsafe", "desk", 1_500), "desk", tenants)
}
