//! The only server of a service preempts some of its streams for three seconds and goes on with them. Meanwhile the gateway is
//! told to stop. It has time enough for these streams, and a server's silence is no reason to end an answer.

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

/// `grace_s`, from the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Route's `timeout_ms`, and the clients' deadline.
const TIMEOUT: Duration = Duration::from_secs(12);
/// Clients, each with one stream after the other on a kept connection.
const CLIENTS: usize = 12;
/// Events of a stream and the time between two of them.
const EVENTS: usize = 20;
const STEP: Duration = Duration::from_millis(100);
/// Number of streams that are preempted, and for how long. Clients wait for eight times `gap_aim_ms`, which is 8 s.
const PREEMPTED: usize = 4;
const PREEMPTION: Duration = Duration::from_millis(3_200);
/// Time from the preemption to the signal.
const BEFORE_SIGNAL: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Engine {
    /// Streams in progress, oldest first, each with the time until which it is preempted.
    running: Mutex<Vec<(String, Option<Instant>)>>,
    /// Ends of runs: when, and whether the stream was complete.
    ended: Mutex<HashMap<String, (Instant, bool)>>,
}

struct Stream {
    id: String,
    sent: Instant,
    took: Duration,
    complete: bool,
}

pub fn play(trouble: bool, work: &Path, record: &mut Record) -> Verdict {
    let (store, store_address) = Store::start();
    store.put("config", "main", CONFIG);
    let engine = Arc::new(Engine::default());
    start_engine(&store, &engine);
    let exchange = free_address();
    let plan =
        Plan { id: "front-0", zone: "north", store: store_address, seeds: &[exchange], cores: 1, memory_mb: 110 };
    let mut gateway = Gateway::start(&plan, exchange, work);
    if !gateway.wait_ready(Duration::from_secs(15)) {
        record.say("the gateway is not ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, callers) = (Arc::clone(&stop), gateway.callers);
            thread::spawn(move || client_loop(callers, client, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(9));
    if trouble {
        let until = Instant::now() + PREEMPTION;
        let mut running = engine.running.lock().unwrap();
        for (id, paused) in running.iter_mut().rev().take(PREEMPTED) {
            *paused = Some(until);
            record.say(format!("the server preempts {id} for {} ms", PREEMPTION.as_millis()));
        }
    }
    thread::sleep(BEFORE_SIGNAL);
    let signal = Instant::now();
    gateway.terminate();
    record.say_at(signal, "SIGTERM to the gateway");
    let exited = gateway.wait_exit(GRACE + Duration::from_secs(1));
    match exited {
        Some(at) => record.say_at(at, "the gateway has exited"),
        None => record.say("the gateway has not exited in time"),
    }
    stop.store(true, Ordering::SeqCst);
    let streams: Vec<Stream> = clients.into_iter().flat_map(|client| client.join().expect("a client ends")).collect();
    let ended = engine.ended.lock().unwrap();
    let last_sixth = signal + GRACE * 5 / 6;
    let (mut complete, mut lost) = (0, 0);
    for stream in &streams {
        let end = stream.sent + stream.took;
        if end < signal {
            complete += usize::from(stream.complete);
            continue;
        }
        let run = ended.get(&stream.id);
        let after = end.saturating_duration_since(signal).as_millis();
        let how = if stream.complete { "complete" } else { "cut" };
        record.say_at(end, format!("the client's stream {} ends, {how}, {after} ms after the signal", stream.id));
        if let Some((at, whole)) = run {
            let whole = if *whole { "whole" } else { "because its connection was closed" };
            record.say_at(*at, format!("the server's run of {} ends, {whole}", stream.id));
        }
        // What the rule doesn't count: runs still at work in the last sixth, and what has reached its time.
        let at_work_late = run.is_none_or(|(at, _)| *at >= last_sixth);
        lost += usize::from(!stream.complete && !at_work_late && stream.took < TIMEOUT);
    }
    record.say(format!(
        "{complete} streams were complete before the signal; {lost} were passed on and ended without a complete answer"
    ));
    if complete < CLIENTS || exited.is_none() {
        return Verdict::CouldNotRun;
    }
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}

fn client_loop(callers: SocketAddr, client: usize, stop: &AtomicBool) -> Vec<Stream> {
    let mut streams = Vec::new();
    thread::sleep(STEP * (client * EVENTS / CLIENTS) as u32);
    let Ok(stream) = TcpStream::connect(callers) else { return streams };
    let _ = stream.set_nodelay(true);
    let mut open = BufReader::new(stream);
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("c{client}n{n}");
        let head = format!(
            "POST /ask/a HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Model: small\r\nX-Token-Count: 600,180\r\nX-Prompt-Prefix: a1:300,b{client:x}{n:03x}:300\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer key-a\r\nContent-Length: 3\r\n\r\n",
            TIMEOUT.as_millis()
        );
        let sent = Instant::now();
        let reply = http::send_on(&mut open, &head, b"ask", TIMEOUT + Duration::from_secs(1));
        let complete = reply.status == 200;
        if complete || reply.head.word(1) == "200" {
            streams.push(Stream { id, sent, took: reply.took, complete });
        }
        if !complete || reply.head.get("connection").eq_ignore_ascii_case("close") {
            break;
        }
    }
    streams
}

fn start_engine(store: &Store, engine: &Arc<Engine>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let spec = format!(
        r#"{{"service":"chat","address":"{address}","zone":"north","version":"v1","slots":48,"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{{"name":"small","version":1,"adapters":[]}}],"sequence":1,"born":1760000000000}}"#
    );
    let engine = Arc::clone(engine);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let engine = Arc::clone(&engine);
            thread::spawn(move || serve(stream, &engine));
        }
    });
    store.put("servers", "i-chat0", &spec);
}

fn serve(stream: TcpStream, engine: &Engine) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = http::read_head(&mut reader) {
        if http::read_body(&head, &mut reader).is_err() {
            return;
        }
        let id = head.get("x-attempt-id").to_owned();
        engine.running.lock().unwrap().push((id.clone(), None));
        let from = head.get("last-event-id").parse().unwrap_or(0);
        let complete = send_events(reader.get_mut(), &id, from, engine);
        engine.running.lock().unwrap().retain(|(other, _)| *other != id);
        engine.ended.lock().unwrap().insert(id, (Instant::now(), complete));
        if !complete {
            return;
        }
    }
}

/// Sends the events after `from`; false if the connection is closed. A preempted stream waits.
fn send_events(stream: &mut TcpStream, id: &str, from: usize, engine: &Engine) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 1.2.3\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in from + 1..=EVENTS {
        thread::sleep(STEP);
        let paused = || {
            let running = engine.running.lock().unwrap();
            let until = running.iter().find(|(other, _)| other == id).and_then(|(_, until)| *until);
            until.is_some_and(|until| Instant::now() < until)
        };
        while paused() {
            if is_closed(stream) {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let event = format!("id: {event}\ndata: abcdefghi\n\n");
        if stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Whether the other end has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(peeked, Err(err) if err.kind() == std::io::ErrorKind::WouldBlock)
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-ask","hostname":"desk.example","path_prefix":"/ask/","route_type":"streaming","timeout_ms":12000,"target_latency_ms":1000,"gap_aim_ms":1000,"priority":0,"service":"chat","max_attempts":3,"anonymous":false,"session_affinity":true,"stream_resume":true}],"services":[{"name":"chat","health_path":"/healthz","max_connections":300,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":18.0,"engine":{"slots":48,"kv_capacity_tokens":444000,"kv_token_bytes":35136,"link_mbps":1100000.0,"models":[{"name":"small","cost":0.019}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"coop","api_keys":["key-a"],"priority":1}]}"#;
