//! Tests of the engine stand-in's protocol, in the test's process and as a separate process.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command},
    time::Duration,
};

use bytes::Bytes;
use eelgrasswell_testbed::engine::{Engine, FaultsUpdate, Options, answer_text};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::{Value, json};
use test_case::test_case;
use tokio::time::{sleep, timeout};

/// Options without any service time.
const NO_DELAYS: Options = Options { first_token: Duration::ZERO, token_interval: Duration::ZERO, slots: 8 };

async fn start_engine() -> Engine {
    Engine::spawn("127.0.0.1:0".parse().unwrap(), NO_DELAYS).await.unwrap()
}

/// Sends a request and returns the status and body of the response, or `None` if the connection fails.
async fn call(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Option<(StatusCode, String)> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut req = Request::post(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let response = client.request(req.body(Full::new(Bytes::from(body.to_owned()))).unwrap()).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8(body.to_vec()).unwrap()))
}

async fn chat(address: SocketAddr, id: &str, version: &str, stream: bool) -> Option<(StatusCode, String)> {
    let body = json!({
        "model": "loan-desk",
        "messages": [{"role": "user", "content": "what is owed"}],
        "max_tokens": 5,
        "stream": stream,
    });
    let headers = [("x-request-id", id), ("x-version", version)];
    call(address, "/v1/chat/completions", &headers, &body.to_string()).await
}

fn answer_content(body: &str) -> String {
    let answer: Value = serde_json::from_str(body).unwrap();
    answer["choices"][0]["message"]["content"].as_str().unwrap().to_owned()
}

/// Guards against answers whose text depends on more than model, version and prompt, which tests cannot predict.
#[tokio::test]
async fn chat_text_depends_on_version_only() {
    let engine = start_engine().await;
    let (_, first) = chat(engine.address(), "r1", "v1", false).await.unwrap();
    let (_, second) = chat(engine.address(), "r2", "v2", false).await.unwrap();
    let (_, stream) = chat(engine.address(), "r3", "v1", true).await.unwrap();
    assert_eq!(answer_content(&first), answer_text("loan-desk", "v1", "what is owed", 5));
    assert_eq!(answer_content(&second), answer_text("loan-desk", "v2", "what is owed", 5));
    assert_ne!(answer_content(&first), answer_content(&second));
    assert_eq!(stream.matches("\"content\"").count(), 5);
    assert!(stream.contains("\"completion_tokens\":5") && stream.ends_with("data: [DONE]\n\n"), "{stream}");
    let runs = engine.runs();
    assert!(runs.iter().all(|run| run.finished && run.tokens == 5), "{runs:?}");
}

/// Guards against faults that affect other versions, or different requests in another run with the same seed.
#[test_case(1_000, "", 100, 100 ; "all")]
#[test_case(0, "", 0, 0 ; "none")]
#[test_case(1_000, "v2", 0, 100 ; "one version")]
#[test_case(50, "v1", 6, 0 ; "share")]
#[tokio::test]
async fn fault_errors_hits_share(permille: u64, version: &str, hits_v1: usize, hits_v2: usize) {
    let engine = start_engine().await;
    let fault = FaultsUpdate {
        error_permille: Some(permille),
        seed: Some(5),
        version: Some(version.to_owned()),
        ..FaultsUpdate::default()
    };
    engine.update_faults(&fault).await;
    for (version, expected) in [("v1", hits_v1), ("v2", hits_v2)] {
        let mut hits = 0;
        for number in 0..100 {
            let (status, _) = chat(engine.address(), &format!("r{number}"), version, false).await.unwrap();
            hits += usize::from(status == StatusCode::INTERNAL_SERVER_ERROR);
        }
        assert_eq!(hits, expected, "{version}");
    }
}

/// Guards against a bad version whose answers are the same as good ones.
#[tokio::test]
async fn fault_bad_changes_text() {
    let engine = start_engine().await;
    engine.update_faults(&FaultsUpdate { bad_permille: Some(1_000), ..FaultsUpdate::default() }).await;
    let (status, body) = chat(engine.address(), "r1", "v1", false).await.unwrap();
    assert_eq!(status, StatusCode::OK);
    assert!(answer_content(&body).split_whitespace().all(|word| word.starts_with('x')), "{body}");
}

/// Guards against a server that accepts connections while it is down, or does not restart.
#[tokio::test]
async fn fault_down_closes_and_returns() {
    let engine = start_engine().await;
    engine.update_faults(&FaultsUpdate { down_ms: Some(200), ..FaultsUpdate::default() }).await;
    let down_and_up = async {
        while chat(engine.address(), "r1", "v1", false).await.is_some() {}
        while chat(engine.address(), "r2", "v1", false).await.is_none() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(10), down_and_up).await.unwrap();
}

/// Guards against a cancelled request that continues to run.
#[tokio::test]
async fn cancel_ends_stream() {
    let options = Options { token_interval: Duration::from_millis(5), ..NO_DELAYS };
    let engine = Engine::spawn("127.0.0.1:0".parse().unwrap(), options).await.unwrap();
    let body = json!({"model": "m", "max_tokens": 100_000, "stream": true}).to_string();
    let request = call(engine.address(), "/v1/chat/completions", &[("x-request-id", "r1")], &body);
    let cancel = async {
        while engine.runs().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        call(engine.address(), "/cancel/r1", &[], "").await.unwrap();
    };
    let (answer, ()) = timeout(Duration::from_secs(10), async { tokio::join!(request, cancel) }).await.unwrap();
    assert!(!answer.unwrap().1.contains("[DONE]"));
    assert!(engine.runs()[0].cancelled);
}

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a process that writes its address to the ready file before it serves there.
#[tokio::test]
async fn process_writes_bound_address() {
    let profile = std::env::current_exe().unwrap().ancestors().nth(2).unwrap().to_owned();
    let ready = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("engine-{}", std::process::id()));
    let child = Command::new(profile.join("examples/engine"))
        .args(["--listen", "127.0.0.1:0", "--ready-file"])
        .arg(&ready)
        .spawn()
        .unwrap();
    let _process = Process(child);
    let address = async {
        loop {
            match fs::read_to_string(&ready) {
                Ok(text) => return text.parse::<SocketAddr>().unwrap(),
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        }
    };
    let address = timeout(Duration::from_secs(10), address).await.unwrap();
    let _ = fs::remove_file(&ready);
    let (status, body) = call(address, "/records/1?x=y", &[("idempotency-key", "k")], "deposit").await.unwrap();
    assert_eq!(status, StatusCode::OK);
    assert!(body.contains("/records/1?x=y") && body.contains("\"k\""), "{body}");
}
