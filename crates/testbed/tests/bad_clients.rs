//! Crowds of clients that do not behave, against a gateway process with low limits. After each crowd the process lives, its
//! memory and open files have stayed under the bounds, and an ordinary request is answered.
//!
//! The bounds are those of the smallest host. Sizes of crowds are fixed: on a gateway without these limits, most crowds exceed
//! a bound.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_testbed::site::{Rig, RigPlan, config, wait_until};
use eyre::{Result, ensure};
use hyper::{Method, StatusCode};
use serde_json::json;
use test_case::test_case;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Memory limit of the gateway, and the bound on its largest resident memory, in MB: the smallest host.
const MEMORY_MB: u64 = 88;
/// Limit on the gateway's file descriptors, and the bound on their number.
const MAX_FDS: usize = 256;
/// The same in the settings.
const SETTINGS: &str = "max_fds: 256\n";
/// Largest legal body, in bytes.
const MAX_BODY: usize = 4_194_304;
/// Largest legal head, in bytes.
const MAX_HEAD: usize = 16_384;
/// Number of clients that send large bodies: together they send more than twice the memory limit.
const SENDERS: usize = 48;
/// Number of clients that do not read answers of a megabyte and more.
const READERS: usize = 120;
/// Number of clients that only open connections: more than the gateway may have files.
const CONNECTIONS: usize = 400;
/// Time that a crowd gets to send what it can.
const CROWD_TIME: Duration = Duration::from_secs(6);

/// Where a crowd connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    Route,
    NoRoute,
    Readiness,
    Metrics,
    Exchange,
}

impl Target {
    fn address(self, rig: &Rig) -> SocketAddr {
        let gateway = &rig.gateways[0];
        match self {
            Self::Route | Self::NoRoute => gateway.callers,
            Self::Readiness => gateway.readiness,
            Self::Metrics => gateway.metrics,
            Self::Exchange => gateway.exchange,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Route => "/book/1",
            Self::NoRoute => "/none/1",
            Self::Readiness => "/readyz",
            Self::Metrics => "/metrics",
            Self::Exchange => "/eelgrasswell.v1.Fleet/Exchange",
        }
    }

    /// A request head without its end; `field` is one more field.
    fn head(self, method: &str, field: &str) -> String {
        let path = self.path();
        format!("{method} {path} HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-a\r\n{field}\r\n")
    }
}

/// How a body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// In one write.
    Whole,
    /// In writes of 1,000 bytes.
    Pieces,
    /// In chunks of 512 bytes.
    Chunks,
}

/// Writes of one client. The connection stays open after the last one.
type Writes = Arc<Vec<Bytes>>;

async fn start() -> Result<Rig> {
    start_with(SETTINGS).await
}

async fn start_with(settings: &'static str) -> Result<Rig> {
    let plan = RigPlan { engines: 1, desks: 1, memory_mb: MEMORY_MB, settings, ..RigPlan::default() };
    let rig = Rig::start(plan).await?;
    let mut wide = config(2);
    wide["limits"]["max_body_bytes"] = json!(MAX_BODY);
    rig.store.put("config", "main", wide);
    wait_until("the larger limit is in force", async || {
        let body = vec![b'x'; 200_000];
        let client = rig.customer("key-a").with("x-attempt-id", "probe");
        let reply = client.call(Method::POST, rig.gateways[0].callers, "/read/1", body).await;
        reply.is_ok_and(|reply| reply.status == StatusCode::OK)
    })
    .await?;
    Ok(rig)
}

/// Sends `writes` from `count` clients at once, none of which reads. Checks the gateway while their connections are open, and
/// that an ordinary request is answered then.
async fn check_crowd(rig: &mut Rig, target: Target, count: usize, writes: Vec<Bytes>) -> Result<()> {
    check_crowd_within(rig, target, count, writes, MAX_FDS).await
}

async fn check_crowd_within(
    rig: &mut Rig,
    target: Target,
    count: usize,
    writes: Vec<Bytes>,
    max_fds: usize,
) -> Result<()> {
    let address = target.address(rig);
    let writes: Writes = Arc::new(writes);
    let mut crowd = JoinSet::new();
    for _ in 0..count {
        crowd.spawn(send(address, Arc::clone(&writes)));
    }
    let mut open = Vec::new();
    // A client that is not read from blocks in its write.
    let _ = timeout(CROWD_TIME, async {
        while let Some(client) = crowd.join_next().await {
            open.extend(client.ok().flatten());
        }
    })
    .await;
    sleep(Duration::from_millis(500)).await;
    let files = check_process(rig, max_fds)?;
    wait_until("an ordinary request is answered", async || {
        let client = rig.customer("key-b").with("x-attempt-id", "ordinary");
        let reply = timeout(Duration::from_secs(3), client.get(rig.gateways[0].callers, "/read/1")).await;
        reply.is_ok_and(|reply| reply.is_ok_and(|reply| reply.status == StatusCode::OK))
    })
    .await?;
    wait_until("the readiness endpoint answers", async || {
        timeout(Duration::from_secs(3), rig.gateways[0].is_ready()).await.unwrap_or(false)
    })
    .await?;
    let (blocked, open) = (crowd.len(), open.len());
    println!("{count} clients: {open} done, {blocked} blocked, {files} files, {} MB", peak_memory(rig)?);
    check_process(rig, max_fds)?;
    Ok(())
}

async fn send(address: SocketAddr, writes: Writes) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    for bytes in writes.iter() {
        stream.write_all(bytes).await.ok()?;
    }
    Some(stream)
}

fn peak_memory(rig: &Rig) -> Result<f64> {
    rig.gateways[0].process.peak_memory_mb()
}

fn check_process(rig: &mut Rig, max_fds: usize) -> Result<usize> {
    let process = &mut rig.gateways[0].process;
    ensure!(process.exit_status().is_none(), "the gateway has ended");
    let (memory, files) = (process.peak_memory_mb()?, process.open_files()?);
    ensure!(memory < MEMORY_MB as f64, "{memory} MB of {MEMORY_MB}, {files} files");
    ensure!(files <= max_fds, "{files} files of {max_fds}, {memory} MB");
    Ok(files)
}

/// Writes of a body of `size` bytes that stops just short of its end.
fn unfinished_body(target: Target, form: Form, size: usize) -> Vec<Bytes> {
    let body = vec![b'x'; size - 1];
    let length = format!("content-length: {size}\r\n");
    let field = if form == Form::Chunks { "transfer-encoding: chunked\r\n" } else { &length };
    let mut writes = vec![Bytes::from(target.head("POST", field))];
    match form {
        Form::Whole => writes.push(body.into()),
        Form::Pieces => writes.extend(body.chunks(1_000).map(Bytes::copy_from_slice)),
        Form::Chunks => {
            // Two hundred chunks in each write, or the clients take longer than the gateway.
            let chunk = [format!("{:x}\r\n", 512).as_bytes(), &[b'x'; 512], b"\r\n"].concat();
            writes.extend((0..size / 512 / 200).map(|_| Bytes::from(chunk.repeat(200))));
        }
    }
    writes
}

/// Guards against a gateway that holds as many unfinished bodies as callers send, and is killed for its memory.
#[test_case(Target::Route, Form::Whole; "route in one piece")]
#[test_case(Target::Route, Form::Pieces; "route in small pieces")]
#[test_case(Target::Route, Form::Chunks; "route in chunks")]
#[test_case(Target::NoRoute, Form::Whole; "no route in one piece")]
#[test_case(Target::NoRoute, Form::Chunks; "no route in chunks")]
#[test_case(Target::Readiness, Form::Whole; "readiness in one piece")]
#[test_case(Target::Readiness, Form::Pieces; "readiness in small pieces")]
#[test_case(Target::Readiness, Form::Chunks; "readiness in chunks")]
#[test_case(Target::Exchange, Form::Whole; "exchange in one piece")]
#[tokio::test]
async fn unfinished_bodies(target: Target, form: Form) -> Result<()> {
    let mut rig = start().await?;
    check_crowd(&mut rig, target, SENDERS, unfinished_body(target, form, MAX_BODY)).await?;
    let runs = rig.desks[0].runs();
    ensure!(runs.iter().all(|run| ["probe", "ordinary"].contains(&run.id.as_str())), "an unfinished request ran");
    Ok(())
}

/// Guards against a gateway that reads a body to its end although it is over the limit.
#[test_case(Target::Route, Form::Whole; "route in one piece")]
#[test_case(Target::Route, Form::Chunks; "route in chunks")]
#[test_case(Target::NoRoute, Form::Chunks; "no route in chunks")]
#[test_case(Target::Readiness, Form::Chunks; "readiness in chunks")]
#[tokio::test]
async fn bodies_far_over_limit(target: Target, form: Form) -> Result<()> {
    let mut rig = start().await?;
    check_crowd(&mut rig, target, SENDERS, unfinished_body(target, form, 8 * MAX_BODY)).await
}

/// Guards against requests of legal size whose very many short fields need many times their size.
#[test_case(Target::Route; "route")]
#[test_case(Target::NoRoute; "no route")]
#[test_case(Target::Readiness; "readiness")]
#[test_case(Target::Exchange; "exchange")]
#[tokio::test]
async fn very_many_fields(target: Target) -> Result<()> {
    let mut rig = start().await?;
    let head = target.head("GET", "");
    let head = head.trim_end();
    let fields = "\r\na:b".repeat((MAX_HEAD - head.len() - 4) / 5);
    let request = format!("{head}{fields}\r\n\r\n");
    check_crowd(&mut rig, target, CONNECTIONS / 2, vec![request.repeat(8).into()]).await
}

/// Guards against heads without an end that each fill a large buffer.
#[test_case(Target::Route; "route")]
#[test_case(Target::Readiness; "readiness")]
#[test_case(Target::Metrics; "metrics")]
#[tokio::test]
async fn heads_without_end(target: Target) -> Result<()> {
    let mut rig = start().await?;
    let head = target.head("GET", "");
    let filler = Bytes::from(vec![b'x'; 380_000]);
    check_crowd(&mut rig, target, CONNECTIONS / 2, vec![format!("{}\r\nx-filler: ", head.trim_end()).into(), filler])
        .await
}

/// Guards against a client that sends thousands of requests ahead and reads none of the answers.
#[test_case(Target::Route; "route")]
#[test_case(Target::NoRoute; "no route")]
#[test_case(Target::Readiness; "readiness")]
#[test_case(Target::Metrics; "metrics")]
#[tokio::test]
async fn many_requests_sent_ahead(target: Target) -> Result<()> {
    let mut rig = start().await?;
    let request = target.head("GET", "x-attempt-id: ahead\r\n");
    check_crowd(&mut rig, target, SENDERS, vec![Bytes::from(request.repeat(500)); 8]).await
}

/// Guards against clients that stop half-way: each keeps a connection, until the gateway has no files left.
#[test_case(Target::Route, b""; "callers silent")]
#[test_case(Target::Route, b"GET /read/1 HTTP/1.1\r\nhos"; "callers half a head")]
#[test_case(Target::Readiness, b""; "readiness silent")]
#[test_case(Target::Readiness, b"GET /readyz HT"; "readiness half a head")]
#[test_case(Target::Metrics, b"GET /metrics HT"; "metrics half a head")]
#[test_case(Target::Exchange, b""; "exchange silent")]
#[test_case(Target::Exchange, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x06\x04"; "exchange half a frame")]
#[test_case(Target::Exchange, &[0xa5; 20_000]; "exchange garbage")]
#[tokio::test]
async fn connections_that_stop(target: Target, bytes: &'static [u8]) -> Result<()> {
    let mut rig = start().await?;
    check_crowd(&mut rig, target, CONNECTIONS, vec![Bytes::from_static(bytes)]).await
}

/// Guards against bodies that come a byte at a time, until the gateway has no files left.
#[tokio::test]
async fn bodies_that_come_slowly() -> Result<()> {
    let mut rig = start().await?;
    let address = rig.gateways[0].callers;
    let mut slow = JoinSet::new();
    for _ in 0..CONNECTIONS {
        slow.spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok()?;
            stream.write_all(Target::Route.head("POST", "content-length: 1000\r\n").as_bytes()).await.ok()?;
            for _ in 0..60 {
                stream.write_all(b"x").await.ok()?;
                sleep(Duration::from_millis(100)).await;
            }
            Some(())
        });
    }
    sleep(Duration::from_secs(1)).await;
    check_crowd(&mut rig, Target::Route, 1, vec![]).await
}

/// Guards against large answers that are held for callers who do not read them.
#[tokio::test]
async fn slow_readers_of_large_answers() -> Result<()> {
    let mut rig = start().await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.endless = true);
    let address = rig.gateways[0].callers;
    let head =
        "GET /read/1 HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-a\r\nx-attempt-id: slow\r\n\r\n";
    let mut readers = JoinSet::new();
    for _ in 0..READERS {
        readers.spawn(send(address, Arc::new(vec![Bytes::from(head)])));
    }
    let readers = readers.join_all().await;
    wait_until("the answers run", async || rig.desks[0].runs().iter().any(|run| run.id == "slow")).await?;
    sleep(Duration::from_secs(2)).await;
    rig.desks[0].set_behaviour(|behaviour| behaviour.endless = false);
    check_crowd(&mut rig, Target::Route, 1, vec![]).await?;
    drop(readers);
    Ok(())
}

/// Guards against bounds that refuse the largest legal request on the smallest host.
#[tokio::test]
async fn largest_legal_request_is_served() -> Result<()> {
    let mut rig = start().await?;
    // The gateway counts its own and the client's framing fields, too.
    let filler = "y".repeat(MAX_HEAD - 700);
    for n in 0..3 {
        let client = rig.customer("key-a").with("x-attempt-id", &format!("large-{n}")).with("x-filler", &filler);
        let reply = client.call(Method::POST, rig.gateways[0].callers, "/book/1", vec![b'x'; MAX_BODY]).await?;
        ensure!(reply.status == StatusCode::OK, "{}: {}", reply.status, reply.text());
    }
    check_process(&mut rig, MAX_FDS)?;
    Ok(())
}

/// Guards against a bound on header fields that refuses requests within the limits, and against none.
#[test_case(240, StatusCode::OK; "within the bound")]
#[test_case(300, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE; "above the bound")]
#[tokio::test]
async fn header_fields(count: usize, status: StatusCode) -> Result<()> {
    let rig = start().await?;
    let client = (0..count)
        .fold(rig.customer("key-a").with("x-attempt-id", "fields"), |client, n| client.with(&format!("x-{n}"), "v"));
    let reply = client.get(rig.gateways[0].callers, "/read/1").await?;
    ensure!(reply.status == status, "{}: {}", reply.status, reply.text());
    Ok(())
}

/// Guards against large bodies that are held beside each other until the memory is used up, and against a refusal for a
/// request that runs.
#[tokio::test]
async fn body_without_room_is_refused() -> Result<()> {
    const BOOKINGS: usize = 24;
    let mut rig = start().await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.delay = Duration::from_secs(2));
    let mut bookings = JoinSet::new();
    for n in 0..BOOKINGS {
        let (client, address) = (rig.customer("key-a").with("x-attempt-id", &format!("b{n}")), rig.gateways[0].callers);
        bookings.spawn(async move {
            let reply = client.call(Method::POST, address, "/book/1", vec![b'x'; MAX_BODY]).await;
            (n, reply)
        });
    }
    let (mut served, mut refused) = (0, 0);
    for (n, reply) in bookings.join_all().await {
        let runs = rig.desks[0].runs().iter().filter(|run| run.id == format!("b{n}")).count();
        match reply {
            Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => {
                refused += 1;
                ensure!(runs == 0, "b{n} ran and was refused");
                ensure!(!reply.header("retry-after").is_empty(), "b{n}: {}", reply.text());
            }
            Ok(reply) => {
                served += 1;
                ensure!((reply.status, runs) == (StatusCode::OK, 1), "b{n}: {} after {runs} runs", reply.status);
            }
            // The refusal may be lost when the gateway closes a connection with unread bytes.
            Err(_) => ensure!(runs == 0, "b{n} ran and its connection was closed"),
        }
    }
    println!("{served} served, {refused} refused of {BOOKINGS}, {} MB", peak_memory(&rig)?);
    ensure!(served > 0 && served < BOOKINGS, "{served} served");
    check_process(&mut rig, MAX_FDS)?;
    Ok(())
}

/// Guards against a gateway that keeps something for each name of a model that callers think of (review/11, LOST).
#[tokio::test]
async fn many_names_of_models() -> Result<()> {
    const CLIENTS: usize = 14;
    const REQUESTS: usize = 420;
    let mut rig = start().await?;
    let address = rig.gateways[0].callers;
    let mut crowd = JoinSet::new();
    for client in 0..CLIENTS {
        let caller = rig.customer("key-a").with("x-attempt-id", "names");
        crowd.spawn(async move {
            let mut served = 0;
            for n in 0..REQUESTS {
                let name = format!("{client}-{n}-{}", "m".repeat(MAX_HEAD - 1_000));
                let reply = caller.with("x-model", &name).get(address, "/read/1").await;
                served += usize::from(reply.is_ok_and(|reply| reply.status == StatusCode::OK));
            }
            served
        });
    }
    let served: usize = crowd.join_all().await.into_iter().sum();
    ensure!(served == CLIENTS * REQUESTS, "{served} served");
    check_crowd(&mut rig, Target::Route, 1, vec![]).await
}

/// Guards against prompts of legal size whose very many parts need many times their size while the body is awaited (review/13,
/// LOST).
#[tokio::test]
async fn very_many_parts_of_prompts() -> Result<()> {
    const CLIENTS: usize = 600;
    const FDS: usize = 1_400;
    let mut rig = start_with("max_fds: 1400\n").await?;
    let parts = "a:1,".repeat((MAX_HEAD - 600) / 4);
    let head = Target::Route
        .head("POST", &format!("x-prompt-prefix: {}\r\ncontent-length: 1000\r\n", parts.trim_end_matches(',')));
    let writes = vec![head.into(), Bytes::from_static(&[b'x'; 900])];
    check_crowd_within(&mut rig, Target::Route, CLIENTS, writes, FDS).await
}
