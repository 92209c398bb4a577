//! A bad version is rolled back. The operator orders the next version while the servers of the bad one are still there. The
//! sessions of the old version must stay on it.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
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

/// `session_s`, from the settings.
const SESSION: Duration = Duration::from_secs(5);
/// `duration_s` of the orders.
const ORDER_S: u64 = 24;
/// Number of requests on another version that the rule allows.
const ALLOWED: usize = 3;
/// Servers of each version.
const SERVERS: usize = 4;
/// Time after `rolled_back` at which the servers of the bad version drain: "some seconds later".
const DRAIN_AFTER: Duration = Duration::from_millis(3_500);
/// Clients, and the pause after each answer. Together they send some 60 requests a second.
const CLIENTS: usize = 60;
/// Requests of a session. Then its client begins the next session.
const REQUESTS: usize = 5;
/// Subjects, which share the first part of their prompts.
const SUBJECTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(900);

#[derive(Clone)]
struct Run {
    at: Instant,
    ended: Instant,
    id: String,
    session: String,
    version: u64,
}

type Runs = Arc<Mutex<Vec<Run>>>;

pub fn play(trouble: bool, work: &Path, record: &mut Record) -> Verdict {
    let (store, store_address) = Store::start();
    store.put("config", "main", CONFIG);
    let runs: Runs = Arc::default();
    let start_version = |version: u64, fails: bool| {
        (0..SERVERS).map(|n| start_server(&store, version, n, fails, &runs)).collect::<Vec<_>>()
    };
    start_version(1, false);
    let exchange: Vec<SocketAddr> = (0..2).map(|_| free_address()).collect();
    let mut gateways = Vec::new();
    for (n, address) in exchange.iter().enumerate() {
        let id = format!("front-{n}");
        let plan = Plan { id: &id, zone: "north", store: store_address, seeds: &exchange, cores: 1, memory_mb: 110 };
        gateways.push(Gateway::start(&plan, *address, work));
    }
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(15))) {
        record.say("a gateway is not ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, callers) = (Arc::clone(&stop), gateways[client % gateways.len()].callers);
            thread::spawn(move || client_loop(callers, client, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let mut ordered: HashMap<u64, Instant> = HashMap::new();
    if trouble {
        ordered.insert(2, Instant::now());
        start_version(2, true);
        order(&store, 2);
        record.say("the operator orders v2, half of whose answers are failures");
        let Some(rolled_back) = wait_for_status(&store, "rolled_back", Duration::from_secs(20)) else {
            record.say("v2 was not rolled back in 20 s");
            return Verdict::CouldNotRun;
        };
        record.say_at(rolled_back, "the system reports that v2 is rolled_back");
        let servers = store.clone();
        thread::spawn(move || {
            thread::sleep(DRAIN_AFTER.saturating_sub(rolled_back.elapsed()));
            (0..SERVERS).for_each(|n| {
                servers.put("servers", &server_id(2, n), &servers.spec_with_state(&server_id(2, n), "draining"))
            });
        });
        thread::sleep(Duration::from_millis(500));
    }
    ordered.insert(3, Instant::now());
    start_version(3, false);
    order(&store, 3);
    record.say("the operator orders v3, which is good");
    thread::sleep(Duration::from_secs(ORDER_S / 2 - 2));
    stop.store(true, Ordering::SeqCst);
    let answered: usize = clients.into_iter().map(|client| client.join().expect("a client ends")).sum();
    let mut runs = runs.lock().unwrap().clone();
    runs.sort_by_key(|run| run.at);
    let mut wrong = 0;
    let mut counts: HashMap<u64, usize> = HashMap::new();
    let mut last: HashMap<&str, &Run> = HashMap::new();
    for run in &runs {
        let before = last.insert(&run.session, run);
        if ordered.get(&3).is_some_and(|at| run.at > *at) {
            *counts.entry(run.version).or_default() += 1;
        }
        // A request that is sent again after a failure is the same request.
        let Some(before) = before.filter(|before| before.id != run.id) else { continue };
        let in_session = run.at.saturating_duration_since(before.ended) < SESSION;
        let first_half = ordered.get(&run.version).is_some_and(|at| at.elapsed_until(run.at) < ORDER_S / 2);
        if in_session && before.version == 1 && run.version != 1 && first_half {
            wrong += 1;
            record.say_at(
                run.at,
                format!("{} of {} runs on v{}, the one before on v1", run.id, run.session, run.version),
            );
        }
    }
    record.say(format!(
        "runs since the order for v3, by version: {counts:?}; {answered} requests were answered with 200"
    ));
    record.say(format!("{wrong} requests ran on another version than the one before in their session"));
    if answered < 300 {
        return Verdict::CouldNotRun;
    }
    if wrong > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

trait Elapsed {
    /// Seconds from this time to `later`.
    fn elapsed_until(&self, later: Instant) -> u64;
}

impl Elapsed for Instant {
    fn elapsed_until(&self, later: Instant) -> u64 {
        later.saturating_duration_since(*self).as_secs()
    }
}

fn order(store: &Store, version: u64) {
    store.put("rollouts", "chat", &format!(r#"{{"service":"chat","target":"v{version}","duration_s":{ORDER_S}}}"#));
}

fn wait_for_status(store: &Store, state: &str, limit: Duration) -> Option<Instant> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let written = store.statuses();
        if let Some((at, ..)) = written.iter().find(|(_, kind, _, status)| kind == "rollouts" && status.contains(state))
        {
            return Some(*at);
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

fn server_id(version: u64, n: usize) -> String {
    format!("i-chat-v{version}-{n}")
}

/// A client with one session after the other. Returns the number of its requests that were answered with 200.
fn client_loop(callers: SocketAddr, client: usize, stop: &AtomicBool) -> usize {
    let mut answered = 0;
    let mut stream: Option<BufReader<TcpStream>> = None;
    thread::sleep(PAUSE * client as u32 / CLIENTS as u32);
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        if stream.is_none() {
            stream = TcpStream::connect(callers).ok().map(BufReader::new);
        }
        let Some(open) = stream.as_mut() else { continue };
        let _ = open.get_ref().set_nodelay(true);
        // Clients change their sessions at different times.
        let session = format!("c{client}s{}", (n + client) / REQUESTS);
        let (subject, own) = ((client + n / REQUESTS) % SUBJECTS, client * 1_000 + n);
        let head = format!(
            "POST /ask/a HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: c{client}n{n}\r\nSession: {session}\r\nX-Model: small\r\nX-Token-Count: 2200,40\r\nX-Prompt-Prefix: a{subject:x}:2100,b{own:x}:100\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key-a\r\nContent-Length: 3\r\n\r\n"
        );
        let reply = http::send_on(open, &head, b"ask", Duration::from_secs(13));
        if reply.status == 0 || reply.head.get("connection").eq_ignore_ascii_case("close") {
            stream = None;
        }
        answered += usize::from(reply.status == 200);
        thread::sleep(PAUSE);
    }
    answered
}

fn start_server(store: &Store, version: u64, n: usize, fails: bool, runs: &Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let spec = format!(
        r#"{{"service":"chat","address":"{address}","zone":"north","version":"v{version}","slots":48,"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{{"name":"small","version":1,"adapters":[]}}],"sequence":1,"born":{}}}"#,
        1_760_000_000_000_u64 + version
    );
    let (runs, count) = (Arc::clone(runs), Arc::new(AtomicUsize::new(0)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, count) = (Arc::clone(&runs), Arc::clone(&count));
            thread::spawn(move || serve(stream, version, fails, &count, &runs));
        }
    });
    store.put("servers", &server_id(version, n), &spec);
}

fn serve(stream: TcpStream, version: u64, fails: bool, count: &AtomicUsize, runs: &Runs) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = http::read_head(&mut reader) {
        if http::read_body(&head, &mut reader).is_err() {
            return;
        }
        let (at, id) = (Instant::now(), head.get("x-attempt-id").to_owned());
        let fails = fails && count.fetch_add(1, Ordering::SeqCst).is_multiple_of(2);
        thread::sleep(Duration::from_millis(100));
        let (status, kind, body) =
            if fails { ("500 Failed", "text/plain", "failed") } else { ("200 OK", "text/event-stream", EVENTS) };
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 1.2.3\r\nX-Weight-Versions: 1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let session = head.get("session").to_owned();
        runs.lock().unwrap().push(Run { at, ended: Instant::now(), id, session, version });
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-ask","hostname":"desk.example","path_prefix":"/ask/","route_type":"streaming","timeout_ms":12000,"target_latency_ms":1000,"gap_aim_ms":1000,"priority":0,"service":"chat","max_attempts":3,"anonymous":false,"session_affinity":true,"stream_resume":true}],"services":[{"name":"chat","health_path":"/healthz","max_connections":300,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":18.0,"engine":{"slots":48,"kv_capacity_tokens":444000,"kv_token_bytes":35136,"link_mbps":1100000.0,"models":[{"name":"small","cost":0.019}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"coop","api_keys":["key-a"],"priority":1}]}"#;
