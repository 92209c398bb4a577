//! Tests of the endpoint over HTTP: it must require the credential, and reply to bad input with a clear error. The
//! platform is unreachable in these tests; commits and shards have their own tests.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
};

use bytes::Bytes;
use eelgrasswell_daemon::{operator, router::Router};
use eelgrasswell_manifest::settings::{HostSettings, RouterSettings};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use metrics_exporter_prometheus::PrometheusBuilder;
use serde_json::{Value, json};
use test_case::test_case;
use tokio::net::TcpListener;

use crate::config;

const CREDENTIAL: &str = "operators-secret";

/// A router that serves only the operators' endpoint.
struct Endpoint {
    router: Router,
    address: SocketAddr,
    dir: PathBuf,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Endpoint {
    async fn open() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let n = COUNT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("eelgrasswell-operator-{}-{n}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("inner"), "inner-secret").unwrap();
        fs::write(dir.join("operator"), CREDENTIAL).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        // Nothing listens on port 0, so calls to the platform fail immediately.
        let unreachable: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let settings = RouterSettings {
            host: HostSettings {
                id: "lautoka-entry-1".into(),
                domain: "lautoka".into(),
                inner: unreachable,
                inner_credential: dir.join("inner"),
                drain: Default::default(),
                log_level: "error".into(),
                fatal_invariants: false,
            },
            callers: unreachable,
            operators: address,
            operator_credential: dir.join("operator"),
            platform: unreachable,
            ratings: None,
            seeds: Vec::new(),
            limits: Default::default(),
        };
        let metrics = PrometheusBuilder::new().build_recorder().handle();
        let router = Router::open(settings, metrics).await.unwrap();
        tokio::spawn(operator::serve(router.clone(), listener));
        Self { router, address, dir, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Makes a call with `credential` as authorization header. Returns status and body.
    async fn call_as(&self, credential: &str, method: &str, target: &str, body: impl Into<Bytes>) -> (u16, String) {
        let req = Request::builder()
            .method(Method::from_bytes(method.as_bytes()).unwrap())
            .uri(format!("http://{}{target}", self.address))
            .header("authorization", credential)
            .body(Full::new(body.into()))
            .unwrap();
        let response = self.client.request(req).await.unwrap();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        (status, String::from_utf8(body.to_vec()).unwrap())
    }

    async fn call(&self, method: &str, target: &str, body: impl Into<Bytes>) -> (u16, Value) {
        let (status, body) = self.call_as(&format!("Bearer {CREDENTIAL}"), method, target, body).await;
        (status, serde_json::from_str(&body).unwrap())
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

#[test_case("GET", "/v1/manifest")]
#[test_case("PUT", "/v1/manifest?expected=0")]
#[test_case("GET", "/v1/status")]
#[test_case("GET", "/v1/hosts")]
#[test_case("POST", "/v1/domains/nadi/out")]
#[test_case("POST", "/v1/hosts/h/drain")]
#[test_case("POST", "/v1/rollouts/m/v/stop")]
#[test_case("GET", "/v1/bills/savusavu")]
#[test_case("POST", "/healthz")]
#[test_case("GET", "/nothing")]
#[tokio::test]
async fn call_without_credential_is_refused(method: &str, target: &str) {
    let endpoint = Endpoint::open().await;
    for credential in ["", "Bearer ", "Bearer operators-secreT", "operators-secret", "Basic operators-secret"] {
        let (status, body) = endpoint.call_as(credential, method, target, "").await;
        assert_eq!(status, 401, "{credential:?}: {body}");
        assert!(body.contains("unauthorized") && !body.contains(CREDENTIAL), "{body}");
    }
}

#[tokio::test]
async fn credential_can_be_replaced_without_a_restart() {
    let endpoint = Endpoint::open().await;
    fs::write(endpoint.dir.join("operator"), "another").unwrap();
    let old = endpoint.call_as(&format!("Bearer {CREDENTIAL}"), "GET", "/v1/hosts", "").await;
    let new = endpoint.call_as("Bearer another", "GET", "/v1/hosts", "").await;
    assert_eq!((old.0, new.0), (401, 200));
}

/// Guards against accepting an empty credential when the credential file is empty or missing.
#[tokio::test]
async fn unreadable_credential_refuses_all_calls() {
    let endpoint = Endpoint::open().await;
    fs::write(endpoint.dir.join("operator"), " \n").unwrap();
    assert_eq!(endpoint.call_as("Bearer ", "GET", "/v1/hosts", "").await.0, 503);
    fs::remove_file(endpoint.dir.join("operator")).unwrap();
    assert_eq!(endpoint.call_as("Bearer ", "GET", "/v1/hosts", "").await.0, 503);
}

#[tokio::test]
async fn health_and_metrics_need_no_credential() {
    let endpoint = Endpoint::open().await;
    assert_eq!(endpoint.call_as("", "GET", "/healthz", "").await.0, 200);
    assert_eq!(endpoint.call_as("", "GET", "/metrics", "").await.0, 200);
    let (status, body) = endpoint.call_as("", "GET", "/readyz", "").await;
    assert_eq!((status, body.as_str()), (503, r#"{"missing":["configuration","link"],"ready":false}"#));
    endpoint.router.config.adopt(config());
    let (status, body) = endpoint.call_as("", "GET", "/readyz", "").await;
    assert_eq!((status, body.as_str()), (503, r#"{"missing":["link"],"ready":false}"#));
}

#[tokio::test]
async fn manifest_is_shown_with_its_revisions() {
    let endpoint = Endpoint::open().await;
    endpoint.router.config.adopt(config());
    let (status, body) = endpoint.call("GET", "/v1/manifest", "").await;
    let expected = json!({"revision": 11, "manifest_revision": 7, "manifest": config().manifest, "rollouts": {}});
    assert_eq!((status, body), (200, expected));
}

#[test_case("PUT", "/v1/manifest", "{}", 400, "the parameter expected"; "no_expected_revision")]
#[test_case("PUT", "/v1/manifest?expected=x", "{}", 400, "could not parse expected=\"x\""; "bad_expected_revision")]
#[test_case("PUT", "/v1/manifest?expected=1&submission=a/b", "{}", 400, "submission=\"a/b\""; "bad_submission")]
#[test_case("PUT", "/v1/manifest?expected=1&force=1", "{}", 400, "unknown parameter \"force\""; "unknown_parameter")]
#[test_case("PUT", "/v1/manifest?expected=1", "services: {s: 1}", 422, "1 problems"; "invalid_manifest")]
#[test_case("PUT", "/v1/manifest?expected=1", "\u{0}", 422, "problems"; "no_yaml")]
#[test_case("POST", "/v1/rollouts/m/v/halt", "", 404, "expected start, step, stop or finish"; "unknown_rollout_action")]
#[test_case("POST", "/v1/domains/nadi/off", "", 404, "expected out or in"; "unknown_domain_action")]
#[test_case("POST", "/v1/hosts/nobody/drain", "", 404, "not in the host list"; "unknown_host")]
#[test_case("DELETE", "/v1/manifest", "", 404, "could not find DELETE /v1/manifest"; "unknown_method")]
#[tokio::test]
async fn bad_input_gets_a_clear_error(method: &str, target: &str, body: &'static str, status: u16, message: &str) {
    let endpoint = Endpoint::open().await;
    let (actual, body) = endpoint.call(method, target, body).await;
    assert_eq!(actual, status, "{body}");
    assert!(body["error"]["message"].as_str().unwrap().contains(message), "{body}");
}

#[tokio::test]
async fn invalid_manifest_is_refused_with_path_and_line() {
    let endpoint = Endpoint::open().await;
    let (_, body) = endpoint.call("PUT", "/v1/manifest?expected=0", "domains:\n  d:\n    region: r\n").await;
    let problem = json!({"path": "domains.d.in_service", "line": 3, "expected": "this key: true or false"});
    assert_eq!(body["error"]["problems"], json!([problem]));
}

#[tokio::test]
async fn too_large_body_is_refused() {
    let endpoint = Endpoint::open().await;
    let (status, body) = endpoint.call("PUT", "/v1/manifest?expected=0", vec![b' '; (1 << 20) + 1]).await;
    assert_eq!((status, &body["error"]["reason"]), (413, &json!("too_large")));
}

#[tokio::test]
async fn status_shows_the_view_of_this_router() {
    let endpoint = Endpoint::open().await;
    endpoint.router.config.adopt(config());
    let (status, body) = endpoint.call("GET", "/v1/status", "").await;
    assert_eq!(status, 200);
    assert_eq!((&body["revision"], &body["manifest_revision"]), (&json!(11), &json!(7)));
    assert_eq!(body["stale"], json!(endpoint.router.config.is_stale()));
    assert_eq!((&body["links"], &body["lagging"]), (&json!([]), &json!([])));
    let own = &body["routers"][0];
    assert_eq!((&own["id"], &own["revision"]), (&json!("lautoka-entry-1"), &json!(11)));
    let budget = &body["budgets"][1];
    assert_eq!((&budget["customer"], &budget["committed_micros"]), (&json!("savusavu"), &json!(null)));
}

#[test]
fn reported_revision_is_the_last_one() {
    let reported = eelgrasswell_daemon::revisions::Revisions::default();
    let host = "ba-loan-desk-1".into();
    assert_eq!(reported.get(&host), None);
    reported.record(&host, eelgrasswell_core::id::Revision(5));
    reported.record(&host, eelgrasswell_core::id::Revision(2));
    assert_eq!(reported.get(&host), Some(eelgrasswell_core::id::Revision(2)));
}
