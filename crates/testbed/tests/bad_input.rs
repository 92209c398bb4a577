//! Bad input to real processes, while other callers go on.

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
/// Longest time that a connection is kept when the other side does not close it.
const LIMIT: Duration = Duration::from_secs(5);
/// Most that a process may grow by, in MB. All bad input together is over 300 MB.
const MAX_GROWTH_MB: f64 = 48.0;

/// A connection with bad input and the status line that must answer it; empty when any end will do.
struct Bad {
    name: &'static str,
    address: SocketAddr,
    head: String,
    chunk: Bytes,
    chunks: usize,
    status: &'static str,
    reason: &'static str,
}

fn bad_connections(fleet: &Fleet) -> Vec<Bad> {
    const CHUNK: usize = 64 << 10;
    const MB_100: usize = 100 << 20;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let garbage: Vec<u8> = (0..CHUNK).map(|_| rng.random()).collect();
    let (garbage, filler) = (Bytes::from(garbage), Bytes::from(vec![b' '; CHUNK]));
    let (router, agent) = (&fleet.routers[0], &fleet.agents[0]);
    let post = |key: &str, rest: &str| {
        format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n{rest}")
    };
    let whole = |body: &str| format!("content-length: {}\r\nconnection: close\r\n\r\n{body}", body.len());
    let flood = "x-flood: 0123456789012345678901234567890123456789\r\n".repeat(20_000);
    let caller = |name, head, status, reason| Bad {
        name,
        address: router.callers,
        head,
        chunk: Bytes::new(),
        chunks: 0,
        status,
        reason,
    };
    let bytes = |name, address, chunk: &Bytes| Bad {
        name,
        address,
        head: String::new(),
        chunk: chunk.clone(),
        chunks: 16,
        status: "",
        reason: "",
    };
    let chunked = Bytes::from([format!("{CHUNK:x}\r\n").as_bytes(), &filler, b"\r\n"].concat());
    let large = |name, address, head, chunk: &Bytes, status, reason| Bad {
        name,
        address,
        head,
        chunk: chunk.clone(),
        chunks: MB_100 / CHUNK,
        status,
        reason,
    };
    let unknown = r#"{"model":"none","messages":[]}"#;
    vec![
        caller("broken JSON", post(SAVUSAVU_KEY, &whole("{\"model\": ")), "400", "bad_request"),
        caller("not UTF-8 text", post(SAVUSAVU_KEY, &whole("\u{1}\u{2}")), "400", "bad_request"),
        caller("unknown customer", post("nobody", &whole(unknown)), "401", "unauthenticated"),
        caller("unknown model", post(SAVUSAVU_KEY, &whole(unknown)), "404", "not_found"),
        caller("header flood", post(SAVUSAVU_KEY, &flood), "431", ""),
        large(
            "body of 100 MB",
            router.callers,
            post(SAVUSAVU_KEY, &format!("content-length: {MB_100}\r\nconnection: close\r\n\r\n")),
            &filler,
            "413",
            "too_large",
        ),
        large(
            "chunked body of 100 MB",
            router.callers,
            post(SAVUSAVU_KEY, "transfer-encoding: chunked\r\nconnection: close\r\n\r\n"),
            &chunked,
            "413",
            "too_large",
        ),
        large(
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
        bytes("garbage to callers' port", router.callers, &garbage),
        bytes("garbage to operators' port", router.operators, &garbage),
        bytes("garbage to router's inner port", router.inner, &garbage),
        bytes("garbage to agent's inner port", agent.inner, &garbage),
        bytes("garbage to agent's operators' port", agent.operators, &garbage),
    ]
}

/// Guards against bad input that crashes a process, fills its memory, gets no clear error or disturbs
/// other callers.
#[tokio::test]
async fn bad_input_disturbs_nobody() -> Result<()> {
    println!("seed {SEED}");
    const CONNECTIONS: usize = 200;
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
    // Connections that send a head byte by byte and never end it stay open until the end of the test.
    let mut slow = Vec::new();
    for address in [fleet.routers[0].callers, fleet.routers[0].operators, fleet.agents[0].inner] {
        for _ in 0..CONNECTIONS / 4 {
            let mut connection = TcpStream::connect(address).await?;
            connection.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-slow: ").await?;
            slow.push(connection);
        }
    }
    for bad in bad_connections(&fleet) {
        let parts = iter::once(Bytes::from(bad.head)).chain(iter::repeat_n(bad.chunk, bad.chunks));
        let answer = send_raw(bad.address, parts, LIMIT).await.wrap_err(bad.name)?;
        let text = String::from_utf8_lossy(&answer);
        let start: String = text.chars().take(400).collect();
        let clear = bad.status.is_empty() || text.starts_with(&format!("HTTP/1.1 {}", bad.status));
        ensure!(clear && text.contains(bad.reason), "{}: expected {} {}: {start}", bad.name, bad.status, bad.reason);
        for connection in &mut slow {
            let _ = connection.write_all(b"a").await;
        }
        load.wait_completed(10).await.wrap_err(bad.name)?;
    }
    let after = memory(&fleet)?;
    println!("memory of router and agent in MB: {before:.1?} before, {after:.1?} after");
    let grown = after.iter().zip(before).any(|(after, before)| after - before > MAX_GROWTH_MB);
    ensure!(!grown, "memory grew from {before:?} to {after:?} MB");
    drop(slow);
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
