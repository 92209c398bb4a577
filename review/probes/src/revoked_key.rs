//! A gateway is partitioned from the store for some seconds. Right after the cut begins, a key is taken away. Clients that
//! don't know of it go on to send requests with the key on their open connections.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    gateway::{Gateway, Plan, free_address},
    http,
    record::Record,
    store::Store,
};

/// `revoke_ms`, from the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time for which the gateway is cut off: less than the 8 s of `node_cut` with `reset revoke` in the site files.
const CUT: Duration = Duration::from_millis(6_000);
/// Number of times that this happens, each time with another key.
const ROUNDS: usize = 12;
/// Time before and after each cut.
const CALM: Duration = Duration::from_millis(1_000);
/// Clients, and their shortest and longest pauses after an answer. Together they send up to 90 requests a second.
const CLIENTS: usize = 60;
const PAUSE_MS: std::ops::Range<u64> = 450..850;
/// Cores of the gateway's machine.
const CORES: usize = 2;
/// Routes of the configuration: those of a small deployment, and seven growths by 420, the largest `big_config` of lamplight-fj.
const ROUTES: usize = 8 + 7 * 420;

type Runs = Arc<Mutex<Vec<(Instant, String)>>>;

pub fn play(trouble: bool, work: &Path, record: &mut Record) -> Verdict {
    let (store, store_address) = Store::start();
    let runs: Runs = Arc::default();
    for n in 0..4 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let spec = format!(
            r#"{{"service":"desk","address":"{address}","zone":"north","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1760000000000}}"#
        );
        store.put("servers", &format!("i-desk{n}"), &spec);
        let runs = Arc::clone(&runs);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runs = Arc::clone(&runs);
                thread::spawn(move || serve(stream, &runs));
            }
        });
    }
    let mut keys: Vec<String> = (0..=ROUNDS).map(|n| format!("key-{n}")).collect();
    store.put("config", "main", &config(3, &keys));
    let exchange = free_address();
    let plan =
        Plan { id: "front-1", zone: "north", store: store_address, seeds: &[exchange], cores: CORES, memory_mb: 110 };
    let gateway = Gateway::start(&plan, exchange, work);
    if !gateway.wait_ready(Duration::from_secs(15)) {
        record.say("the gateway is not ready");
        return Verdict::CouldNotRun;
    }
    let (mut wrong, mut refused, mut answered) = (0, 0, 0);
    for round in 1..=ROUNDS {
        let key = keys.pop().expect("there are keys");
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (key, stop) = (key.clone(), Arc::clone(&stop));
                let callers = gateway.callers;
                thread::spawn(move || client_loop(callers, &format!("r{round}c{client}"), &key, &stop))
            })
            .collect();
        thread::sleep(CALM);
        if trouble {
            record.say("the gateway is cut off from the store");
            store.set_cut(true);
        }
        thread::sleep(Duration::from_millis(30));
        store.put("config", "main", &config(3 + 2 * round as u64, &keys));
        let acknowledged = Instant::now();
        record
            .say_at(acknowledged, format!("the store acknowledges version {}, which takes {key} away", 3 + 2 * round));
        thread::sleep(CUT - Duration::from_millis(30));
        store.set_cut(false);
        if trouble {
            record.say("the cut has healed");
        }
        thread::sleep(CALM);
        stop.store(true, Ordering::SeqCst);
        let mut sent: HashMap<String, Sent> = HashMap::new();
        for client in clients {
            sent.extend(client.join().expect("a client ends"));
        }
        for (at, id) in runs.lock().unwrap().drain(..) {
            let Some(request) = sent.get(&id) else { continue };
            let after = request.at.saturating_duration_since(acknowledged);
            if after > REVOKE {
                wrong += 1;
                record.say_at(
                    request.at,
                    format!("client sends {id} with {key}, {} ms after it was taken away", after.as_millis()),
                );
                record.say_at(at, format!("a server runs {id}"));
                record.say_at(request.at + request.took, format!("client gets {} for {id}", request.status));
            }
        }
        let late = sent.values().filter(|request| request.at > acknowledged + REVOKE);
        let statuses = late.fold(HashMap::<u16, usize>::new(), |mut counts, request| {
            *counts.entry(request.status).or_default() += 1;
            counts
        });
        record.say(format!("round {round}: statuses of the requests sent later than revoke_ms: {statuses:?}"));
        refused += statuses.get(&401).copied().unwrap_or(0);
        answered += sent.values().filter(|request| request.status == 200).count();
    }
    for line in gateway.log_lines("config_adopted") {
        record.say(format!("log of the gateway: {line}"));
    }
    record.say(format!("{answered} requests answered with 200, {refused} with 401, {wrong} run later than revoke_ms"));
    if answered == 0 || refused == 0 {
        return Verdict::CouldNotRun;
    }
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}

struct Sent {
    at: Instant,
    took: Duration,
    status: u16,
}

/// Sends one request after the other on a kept connection. A closed one is opened again.
fn client_loop(callers: SocketAddr, name: &str, key: &str, stop: &AtomicBool) -> HashMap<String, Sent> {
    let mut sent = HashMap::new();
    let mut stream: Option<BufReader<TcpStream>> = None;
    let spread = PAUSE_MS.end - PAUSE_MS.start;
    let pause = PAUSE_MS.start + name.bytes().fold(7, |hash, byte| (hash * 31 + u64::from(byte)) % spread);
    let pause = Duration::from_millis(pause);
    thread::sleep(pause);
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        if stream.is_none() {
            stream = TcpStream::connect(callers).ok().map(BufReader::new);
        }
        let Some(open) = stream.as_mut() else { continue };
        let _ = open.get_ref().set_nodelay(true);
        let id = format!("{name}n{n}");
        let head = format!(
            "GET /p0/check HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\n\r\n"
        );
        let at = Instant::now();
        let reply = http::send_on(open, &head, &[], Duration::from_secs(4));
        if reply.status == 0 || reply.head.get("connection").eq_ignore_ascii_case("close") {
            stream = None;
        }
        sent.insert(id, Sent { at, took: reply.took, status: reply.status });
        thread::sleep(pause);
    }
    sent
}

fn serve(stream: TcpStream, runs: &Runs) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = http::read_head(&mut reader) {
        if http::read_body(&head, &mut reader).is_err() {
            return;
        }
        let id = head.get("x-attempt-id").to_owned();
        runs.lock().unwrap().push((Instant::now(), id.clone()));
        thread::sleep(Duration::from_millis(20));
        let answer =
            format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 1.2.3\r\nContent-Length: 2\r\n\r\nok");
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn config(version: u64, keys: &[String]) -> String {
    let routes: Vec<String> = (0..ROUTES)
        .map(|n| {
            format!(
                r#"{{"name":"r-{n:06}","hostname":"desk.example","path_prefix":"/p{n}/","route_type":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"anonymous":false,"session_affinity":false,"stream_resume":false}}"#
            )
        })
        .collect();
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"desk","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"coop","api_keys":[{}],"priority":1}}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}
