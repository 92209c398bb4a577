//! Tests of the platform stand-in over HTTP.

use bytes::Bytes;
use eelgrasswell_testbed::platform::Platform;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use test_case::test_case;

/// Status, version and body of a reply.
type Reply = (u16, Option<u64>, String);

struct TestClient {
    platform: Platform,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl TestClient {
    async fn open() -> Self {
        let platform = Platform::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        Self { platform, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a call. Returns `None` if the connection was closed without a reply.
    async fn call(&self, method: Method, path: &str, if_version: Option<u64>, body: impl Into<Bytes>) -> Option<Reply> {
        let mut req = Request::builder().method(method).uri(format!("http://{}{path}", self.platform.address()));
        if let Some(version) = if_version {
            req = req.header("if-version", version);
        }
        let response = self.client.request(req.body(Full::new(body.into())).unwrap()).await.ok()?;
        let version = response.headers().get("x-version").map(|version| version.to_str().unwrap().parse().unwrap());
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        Some((status, version, String::from_utf8(body.to_vec()).unwrap()))
    }

    async fn get(&self, path: &str) -> Reply {
        self.call(Method::GET, path, None, "").await.unwrap()
    }

    async fn put(&self, path: &str, if_version: u64, body: &str) -> Option<Reply> {
        self.call(Method::PUT, path, Some(if_version), body.to_owned()).await
    }

    async fn json(&self, path: &str) -> Value {
        serde_json::from_str(&self.get(path).await.2).unwrap()
    }
}

/// Expected reply to a successful write.
fn written(version: u64) -> Option<Reply> {
    Some((200, None, json!({ "version": version }).to_string()))
}

fn status(reply: Option<Reply>) -> u16 {
    reply.unwrap().0
}

/// Guards against a stand-in that accepts a conditional write which the platform would reject.
#[tokio::test]
async fn put_conditional() {
    let client = TestClient::open().await;
    assert_eq!(client.put("/objects/a/b", 0, "one").await, written(1));
    assert_eq!(status(client.put("/objects/a/b", 0, "two").await), 409);
    assert_eq!(client.put("/objects/a/b", 1, "two").await, written(2));
    assert_eq!(status(client.put("/objects/a/b", 1, "three").await), 409);
    assert_eq!(client.get("/objects/a/b").await, (200, Some(2), "two".into()));
    assert_eq!(status(client.call(Method::DELETE, "/objects/a/b", Some(1), "").await), 409);
    assert_eq!(status(client.call(Method::DELETE, "/objects/a/b", Some(2), "").await), 200);
    assert_eq!(client.get("/objects/a/b").await.0, 404);
}

/// Guards against a stand-in that accepts larger values than the platform.
#[test_case(1_000_000, 200; "largest")]
#[test_case(1_000_001, 413; "too large")]
#[tokio::test]
async fn put_size(size: usize, expected: u16) {
    let client = TestClient::open().await;
    assert_eq!(status(client.put("/objects/a", 0, &"x".repeat(size)).await), expected);
}

/// Guards against a list with prefix `shard/1/` that includes the keys of shard 10.
#[tokio::test]
async fn list_prefix() {
    let client = TestClient::open().await;
    for key in ["shard/1/log/1", "shard/10/log/1", "shard/1/log/0", "lease/shard-1"] {
        client.put(&format!("/objects/{key}"), 0, "").await;
    }
    assert_eq!(client.json("/objects?prefix=shard/1/").await, json!({ "keys": ["shard/1/log/0", "shard/1/log/1"] }));
}

/// Guards against a fault that loses the write together with its reply.
#[tokio::test]
async fn lose_answers() {
    let client = TestClient::open().await;
    client.call(Method::POST, "/fault", None, r#"{"lose_answers": 1, "lose_prefix": "b"}"#).await;
    assert_eq!(client.put("/objects/a", 0, "one").await, written(1));
    assert_eq!(client.put("/objects/b", 0, "one").await, None);
    assert_eq!(client.get("/objects/b").await, (200, Some(1), "one".into()));
    assert_eq!(client.put("/objects/b", 1, "two").await, written(2));
}

/// Guards against calls that take effect during an outage, and against an outage that cannot be ended.
#[tokio::test]
async fn down() {
    let client = TestClient::open().await;
    client.call(Method::POST, "/fault", None, r#"{"down": true}"#).await;
    assert_eq!(status(client.put("/objects/a", 0, "one").await), 503);
    assert_eq!(client.get("/hosts").await.0, 503);
    client.call(Method::POST, "/fault", None, r#"{"down": false}"#).await;
    assert_eq!(client.get("/objects/a").await.0, 404);
}

/// Guards against watches that miss a change, or that count as more than one call.
#[tokio::test]
async fn watch_change() {
    let client = TestClient::open().await;
    client.put("/objects/a", 0, "one").await;
    assert_eq!(client.get("/watch/a?after=0&timeout_ms=60000").await, (200, Some(1), "one".into()));
    assert_eq!(client.get("/watch/a?after=1&timeout_ms=1").await.0, 204);
    let (changed, _) =
        tokio::join!(client.get("/watch/a?after=1&timeout_ms=60000"), client.put("/objects/a", 1, "two"));
    assert_eq!(changed, (200, Some(2), "two".into()));
    assert_eq!(client.json("/calls").await, json!({ "put": 2, "watch": 3 }));
}

/// Guards against a host list that ignores its lag, so that faults of its readers would stay undetected.
#[tokio::test]
async fn hosts_lag() {
    let client = TestClient::open().await;
    client.call(Method::PUT, "/hosts", None, r#"{"hosts": [{"id": "a"}, {"id": "b"}]}"#).await;
    client.call(Method::DELETE, "/hosts/a", None, "").await;
    client.call(Method::PUT, "/hosts/c", None, r#"{"id": "c"}"#).await;
    let hosts = json!({ "hosts": [{ "id": "b" }, { "id": "c" }] });
    assert_eq!(client.json("/hosts").await, hosts);
    client.call(Method::POST, "/fault", None, r#"{"host_lag_ms": 3600000}"#).await;
    client.call(Method::DELETE, "/hosts/b", None, "").await;
    assert_eq!(client.json("/hosts").await, hosts);
}
