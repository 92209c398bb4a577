//! Sends malformed and oversized input to real processes while other callers send valid requests.

use std::{iter, net::SocketAddr, time::Duration};

use bytes::Bytes;
use eelgrasswell_testbed::{
    fleet::Fleet,
    http::send_raw,
    load::{LoadGenerator, LoadPlan, audit},
    plan::{FleetPlan, SAVUSAVU_KEY},
};
use eyre::{Result, WrapErr, ensure};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{io::AsyncWriteExt, net::TcpStream};

const SEED: u64 = 41;
/// Time after which a connection with bad input is closed if the other side has not closed it.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum growth of a process's memory. All bad input together is over 300 MB.
const MAX_GROWTH_MB: f64 = 48.0;

/// Input for one connection, and the required response.
struct BadInput {
    /// Description for error messages.
    name: &'static str,
    address: SocketAddr,
    /// First bytes to send.
    head: String,
    /// Bytes to send after `head`.
    chunk: Bytes,
    /// How often `chunk` is sent.
    chunks: usize,
    /// Status code of the response. If empty, any response and a closed connection are accepted.
    status: &'static str,
    /// Text that the response must contain; empty if there is none.
    reason: &'static str,
}

fn bad_inputs(fleet: &Fleet) -> Vec<BadInput> {
    const CHUNK: usize = 64 << 10;
    const MB_100: usize = 100 << 20;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let garbage: Vec<u8> = (0..CHUNK).map(|_| rng.random()).collect();
    let (garbage, filler) = (Bytes::from(garbage), Bytes::from(vec![b' '; CHUNK]));
    let (router, agent) = (&fleet.routers[0], &fleet.agents[0]);
    let post = |key: &str, rest: &str| {
        format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n{rest}")
    };
    let with_body = |body: &str| format!("content-length: {}\r\nconnection: close\r\n\r\n{body}", body.len());
    let header_flood = "x-flood: 0123456789012345678901234567890123456789\r\n".repeat(20_000);
    let request = |name, head, status, reason| BadInput {
        name,
        address: router.callers,
        head,
        chunk: Bytes::new(),
        chunks: 0,
        status,
        reason,
    };
    let raw_bytes = |name, address, chunk: &Bytes| BadInput {
        name,
        address,
        head: String::new(),
        chunk: chunk.clone(),
        chunks: 16,
        status: "",
        reason: "",
    };
    let encoded_chunk = Bytes::from([format!("{CHUNK:x}\r\n").as_bytes(), &filler, b"\r\n"].concat());
    let large_request = |name, address, head, chunk: &Bytes, status, reason| BadInput {
        name,
        address,
        head,
        chunk: chunk.clone(),
        chunks: MB_100 / CHUNK,
        status,
        reason,
    };
    let unknown_model = r#"{"model":"none","messages":[]}"#;
    vec![
        request("broken JSON", post(SAVUSAVU_KEY, &with_body("{\"model\": ")), "400", "bad_request"),
        request("control characters", post(SAVUSAVU_KEY, &with_body("\u{1}\u{2}")), "400", "bad_request"),
        request("unknown customer", post("nobody", &with_body(unknown_model)), "401", "unauthenticated"),
        request("unknown model", post(SAVUSAVU_KEY, &with_body(unknown_model)), "404", "not_found"),
        request("header flood", post(SAVUSAVU_KEY, &header_flood), "431", ""),
        large_request(
            "body of 100 MB",
            router.callers,
            post(SAVUSAVU_KEY, &format!("content-length: {MB_100}\r\nconnection: close\r\n\r\n")),
            &filler,
            "413",
            "too_large",
        ),
        large_request(
            "chunked body of 100 MB",
            router.callers,
            post(SAVUSAVU_KEY, "transfer-encoding: chunked\r\nconnection: close\r\n\r\n"),
            &encoded_chunk,
            "413",
            "too_large",
        ),
        large_request(
            "manifest of 100 MB",
            router.operators,
            format!(
                "PUT /v1/manifest?expected=1 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer operator-secret\r\n\
                 content-length: {MB_100}\r\nconnection: close\r\n\r\n"
            ),
            &filler,
            "413",
            "too_large",
        ),
        raw_bytes("random bytes to callers' port", router.callers, &garbage),
        raw_bytes("random bytes to operators' port", router.operators, &garbage),
        raw_bytes("random bytes to router's inner port", router.inner, &garbage),
        raw_bytes("random bytes to agent's inner port", agent.inner, &garbage),
        raw_bytes("random bytes to agent's operators' port", agent.operators, &garbage),
    ]
}

/// Guards against bad input that crashes a process, exhausts its memory, gets the wrong error, or delays or fails other
/// callers' requests.
#[tokio::test]
async fn bad_input_does_not_affect_other_callers() -> Result<()> {
    println!("seed {SEED}");
    const SLOW_CONNECTIONS: usize = 200;
    let mut fleet = Fleet::start(FleetPlan::small()).await?;
    let load = LoadGenerator::spawn(&LoadPlan {
        seed: SEED,
        callers: 8,
        pause: Duration::from_millis(5),
        routers: fleet.routers.iter().map(|router| router.callers).collect(),
    });
    load.wait_completed(100).await?;
    let memory = |fleet: &Fleet| -> Result<[f64; 2]> {
        let agent = fleet.agents[0].process.as_ref().ok_or_else(|| eyre::eyre!("the agent is not running"))?;
        Ok([fleet.router_memory_mb(0)?, agent.memory_mb()?])
    };
    let before = memory(&fleet)?;
    // Connections that send a request head byte by byte and never finish it. They stay open until the end of the test.
    let mut slow_connections = Vec::new();
    for address in [fleet.routers[0].callers, fleet.routers[0].operators, fleet.agents[0].inner] {
        for _ in 0..SLOW_CONNECTIONS / 4 {
            let mut connection = TcpStream::connect(address).await?;
            connection.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-slow: ").await?;
            slow_connections.push(connection);
        }
    }
    for input in bad_inputs(&fleet) {
        let parts = iter::once(Bytes::from(input.head)).chain(iter::repeat_n(input.chunk, input.chunks));
        let response = send_raw(input.address, parts, CONNECTION_TIMEOUT).await.wrap_err(input.name)?;
        let text = String::from_utf8_lossy(&response);
        let start: String = text.chars().take(400).collect();
        let expected_status = input.status.is_empty() || text.starts_with(&format!("HTTP/1.1 {}", input.status));
        ensure!(
            expected_status && text.contains(input.reason),
            "{}: expected {} {}, got {start}",
            input.name,
            input.status,
            input.reason
        );
        for connection in &mut slow_connections {
            let _ = connection.write_all(b"a").await;
        }
        load.wait_completed(10).await.wrap_err(input.name)?;
    }
    let after = memory(&fleet)?;
    println!("memory of router and agent in MB: {before:.1?} before, {after:.1?} after");
    let exceeds_limit = after.iter().zip(before).any(|(after, before)| after - before > MAX_GROWTH_MB);
    ensure!(!exceeds_limit, "memory of router and agent grew from {before:?} to {after:?} MB");
    drop(slow_connections);
    let records = load.finish().await?;
    let audit = audit(&fleet, 0, &records).await?;
    ensure!(
        audit.violations.is_empty()
            && audit.unanswered.is_empty()
            && audit.unbilled.is_empty()
            && audit.undelivered.is_empty(),
        "{audit:#?}"
    );
    ensure!(fleet.collect_failures().is_empty(), "{:#?}", fleet.collect_failures());
    Ok(())
}
