//! Many clients that stay within the limits of the configuration, but don't behave: some send bodies of legal size, others send
//! requests ahead on one connection and read nothing. The platform ends a process that exceeds its memory. Bytes that
//! have been received and not yet read count toward it.

use std::{
    collections::HashSet,
    fs,
    io::{BufReader, ErrorKind, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    gateway::{Gateway, Plan, free_address},
    http,
    record::Record,
    store::Store,
};

/// Memory of a `front` machine of lamplight-fj, in MB. The larger meaning of MB counts here.
const MEMORY_MB: u64 = 110;
const MEMORY: u64 = MEMORY_MB << 20;
/// Ordinary clients, each with one stream, or one booking, after the other on a kept connection.
const STREAM_CLIENTS: usize = 12;
const BOOKING_CLIENTS: usize = 16;
/// Clients that send bodies of legal size. Each sends `CHUNK` bytes every `CHUNK_PAUSE`: together 64 MB a second, about half of
/// what the machine's link takes.
const UPLOADERS: usize = 40;
const BODY: usize = 4_000_000;
const CHUNK: usize = 16_000;
const CHUNK_PAUSE: Duration = Duration::from_millis(10);
/// Clients that send requests ahead, the most that each sends, and the size of their bodies. They come one every
/// `AHEAD_PAUSE`.
const AHEAD: usize = 200;
const AHEAD_REQUESTS: usize = 40;
const AHEAD_BODY: usize = 8_000;
const AHEAD_PAUSE: Duration = Duration::from_millis(10);
/// Time after which a client comes back, if it gets an answer or its connection is closed.
const COME_BACK: Duration = Duration::from_millis(400);
/// Time for which the crowd comes.
const CROWD_TIME: Duration = Duration::from_secs(40);
/// The same where its clients come one after the other.
const SINGLE_TIME: Duration = Duration::from_secs(20);
/// Interval at which the platform looks at the process's memory.
const LOOK: Duration = Duration::from_millis(20);
/// Model servers, their streams at a time, events of a stream and the time between two of them.
const MODEL_SERVERS: usize = 18;
const MODEL_SLOTS: usize = 64;
const EVENTS: usize = 55;
const STEP: Duration = Duration::from_millis(80);
/// Servers for bookings, their bookings at a time, and the time that one takes.
const DESKS: usize = 4;
const DESK_SLOTS: usize = 6;
const BOOKING_WORK: Duration = Duration::from_millis(30);
/// Deadline of streams, and their route's `timeout_ms`.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The same for bookings.
const BOOKING_TIMEOUT: Duration = Duration::from_secs(1);

/// Ids of the requests that servers have begun to run.
type Runs = Arc<Mutex<HashSet<String>>>;

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Stream,
    Booking,
}

/// A request of an ordinary client.
struct Sent {
    id: String,
    ended: Instant,
    /// Whether an answer began.
    answered: bool,
    complete: bool,
}

pub fn play(trouble: bool, work: &Path, record: &mut Record) -> Verdict {
    let (store, store_address) = Store::start();
    store.put("config", "main", CONFIG);
    let runs: Runs = Arc::default();
    for n in 0..MODEL_SERVERS {
        start_server(&store, Kind::Stream, n, &runs);
    }
    for n in 0..DESKS {
        start_server(&store, Kind::Booking, n, &runs);
    }
    let exchange = free_address();
    let plan =
        Plan { id: "front-0", zone: "north", store: store_address, seeds: &[exchange], cores: 1, memory_mb: MEMORY_MB };
    let mut gateway = Gateway::start(&plan, exchange, work);
    if !gateway.wait_ready(Duration::from_secs(15)) {
        record.say("the gateway is not ready");
        return Verdict::CouldNotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let callers = gateway.callers;
    let kinds = [Kind::Stream; STREAM_CLIENTS].into_iter().chain([Kind::Booking; BOOKING_CLIENTS]);
    let ordinary: Vec<_> = kinds
        .enumerate()
        .map(|(client, kind)| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || ordinary_client(callers, kind, client, &stop))
        })
        .collect();
    thread::sleep(EVENTS as u32 * STEP + Duration::from_secs(1));
    let (resident, unread) = memory(gateway.pid());
    record.say(format!("before the crowd: {}", describe(resident, unread)));
    let crowd = if trouble {
        record.say(format!(
            "{UPLOADERS} clients begin to send bodies of {BODY} bytes, and {AHEAD} clients to send requests ahead"
        ));
        start_crowd(callers, &stop)
    } else {
        record.say("the same clients come one after the other");
        vec![start_singles(callers, &stop)]
    };
    let started = Instant::now();
    let limit = if trouble { CROWD_TIME } else { SINGLE_TIME };
    let mut largest = (0, 0);
    let mut next_line = Duration::ZERO;
    let mut killed = None;
    while started.elapsed() < limit && killed.is_none() {
        thread::sleep(LOOK);
        let (resident, unread) = memory(gateway.pid());
        if resident + unread > largest.0 + largest.1 {
            largest = (resident, unread);
        }
        if started.elapsed() >= next_line {
            record.say(describe(resident, unread));
            next_line += Duration::from_secs(1);
        }
        if resident + unread > MEMORY {
            let at = Instant::now();
            gateway.kill();
            record.say_at(at, format!("the platform kills the process: {}", describe(resident, unread)));
            killed = Some(at);
        }
    }
    record.say(format!("largest: {}, limit {MEMORY_MB} MB", describe(largest.0, largest.1)));
    stop.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = ordinary.into_iter().flat_map(|client| client.join().expect("a client ends")).collect();
    for client in crowd {
        client.join().expect("a client ends");
    }
    let runs = runs.lock().unwrap();
    let complete = sent.iter().filter(|request| request.complete).count();
    let (mut cut, mut lost) = (0, 0);
    for request in sent.iter().filter(|request| !request.complete && runs.contains(&request.id)) {
        let how = if request.answered { "its answer is cut" } else { "no answer came" };
        lost += usize::from(!request.answered);
        cut += usize::from(request.answered);
        record.say_at(request.ended, format!("the connection of {} is closed: a server ran it, {how}", request.id));
    }
    record.say(format!(
        "requests of ordinary clients: {complete} complete, {lost} run and not answered, {cut} run and cut in their answer"
    ));
    if complete < STREAM_CLIENTS + BOOKING_CLIENTS {
        return Verdict::CouldNotRun;
    }
    if killed.is_some() && lost > 3 { Verdict::Broken } else { Verdict::Held }
}

fn describe(resident: u64, unread: u64) -> String {
    format!("{} MB resident, {} MB received and not yet read", resident >> 20, unread >> 20)
}

/// Resident memory of the process, and the bytes that its sockets have received and it has not read.
fn memory(pid: u32) -> (u64, u64) {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let resident = resident.split_whitespace().next().and_then(|kb| kb.parse::<u64>().ok()).unwrap_or_default() << 10;
    let files = fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
    let sockets: HashSet<String> = files
        .filter_map(|file| {
            let target = fs::read_link(file.path()).ok()?;
            Some(target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
        })
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        const LISTENING: &str = "0A";
        let words: Vec<&str> = line.split_whitespace().collect();
        let (state, queues, inode) = (*words.get(3)?, *words.get(4)?, *words.get(9)?);
        let received = u64::from_str_radix(queues.split_once(':')?.1, 16).ok()?;
        (state != LISTENING && sockets.contains(inode)).then_some(received)
    });
    (resident, unread.sum())
}

fn start_crowd(callers: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let uploaders = (0..UPLOADERS).map(|client| {
        let stop = Arc::clone(stop);
        thread::spawn(move || {
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                upload(callers, &format!("u{client}n{n}"), &stop);
            }
        })
    });
    let ahead = (0..AHEAD).map(|client| {
        let stop = Arc::clone(stop);
        thread::spawn(move || {
            thread::sleep(AHEAD_PAUSE * client as u32);
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                send_ahead(callers, &format!("a{client}n{n}"), None, &stop);
            }
        })
    });
    uploaders.chain(ahead).collect()
}

/// One client of each kind in turn, one at a time.
fn start_singles(callers: SocketAddr, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        for n in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            upload(callers, &format!("u{n}"), &stop);
            send_ahead(callers, &format!("a{n}"), Some(Duration::from_secs(1)), &stop);
        }
    })
}

/// Sends a request with a large body and waits for the beginning of its answer.
fn upload(callers: SocketAddr, id: &str, stop: &AtomicBool) {
    if let Ok(mut stream) = TcpStream::connect(callers) {
        let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
        let chunk = vec![b'x'; CHUNK];
        let mut open = stream.write_all(head(id, BODY).as_bytes()).is_ok();
        for _ in 0..BODY / CHUNK {
            if !open || stop.load(Ordering::SeqCst) {
                break;
            }
            thread::sleep(CHUNK_PAUSE);
            open = stream.write_all(&chunk).is_ok();
        }
        let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
        while open && !stop.load(Ordering::SeqCst) {
            // An answer or the end of the connection.
            open = stream.peek(&mut [0]).is_err_and(|err| err.kind() == ErrorKind::WouldBlock);
        }
    }
    thread::sleep(COME_BACK);
}

/// Sends requests ahead as long as the connection takes them, reads nothing, and stays until the connection is closed or
/// `patience` is over.
fn send_ahead(callers: SocketAddr, id: &str, patience: Option<Duration>, stop: &AtomicBool) {
    let started = Instant::now();
    if let Ok(mut stream) = TcpStream::connect(callers) {
        let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
        for n in 0..AHEAD_REQUESTS {
            let mut request = head(&format!("{id}p{n}"), AHEAD_BODY).into_bytes();
            request.resize(request.len() + AHEAD_BODY, b'x');
            if stream.write_all(&request).is_err() {
                break;
            }
        }
        while !stop.load(Ordering::SeqCst) && patience.is_none_or(|patience| started.elapsed() < patience) {
            // Bytes of answers wait and are not read. A closed connection shows in the next write.
            if matches!(stream.take_error(), Ok(Some(_))) || stream.write(&[]).is_err() || is_ended(&stream) {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    thread::sleep(COME_BACK);
}

/// Whether the other end has closed the connection and nothing is left to be read, or has reset it.
fn is_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(err) => err.kind() != ErrorKind::WouldBlock,
    }
}

fn ordinary_client(callers: SocketAddr, kind: Kind, client: usize, stop: &AtomicBool) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut open: Option<BufReader<TcpStream>> = None;
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        if open.is_none() {
            open = TcpStream::connect(callers).ok().map(BufReader::new);
        }
        let Some(stream) = open.as_mut() else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let reply = match kind {
            Kind::Stream => http::send_on(stream, &head(&format!("c{client}n{n}"), 3), b"ask", TIMEOUT),
            Kind::Booking => {
                let head = format!(
                    "POST /book/a HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: b{client}n{n}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer key-a\r\nContent-Length: 4\r\n\r\n",
                    BOOKING_TIMEOUT.as_millis()
                );
                http::send_on(stream, &head, b"book", BOOKING_TIMEOUT)
            }
        };
        let id = format!("{}{client}n{n}", if kind == Kind::Stream { 'c' } else { 'b' });
        let complete = reply.status == 200;
        sent.push(Sent { id, ended: Instant::now(), answered: !reply.head.line.is_empty(), complete });
        if !complete || reply.head.get("connection").eq_ignore_ascii_case("close") {
            open = None;
            thread::sleep(Duration::from_millis(200));
        }
    }
    sent
}

/// Head of a request for a stream.
fn head(id: &str, length: usize) -> String {
    format!(
        "POST /ask/a HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Model: *\r\nX-Token-Count: 600,180\r\nX-Prompt-Prefix: a1:300,{:x}:300\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer key-a\r\nContent-Length: {length}\r\n\r\n",
        id.bytes().fold(7_u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte))),
        TIMEOUT.as_millis()
    )
}

fn start_server(store: &Store, kind: Kind, n: usize, runs: &Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (id, slots, special) = match kind {
        Kind::Stream => {
            let models = r#""service":"chat","stage":"both","models":[{"name":"small","version":1,"adapters":[]}]"#;
            (format!("i-chat{n}"), MODEL_SLOTS, models)
        }
        Kind::Booking => (format!("i-desk{n}"), DESK_SLOTS, r#""service":"desk""#),
    };
    let spec = format!(
        r#"{{{special},"address":"{address}","zone":"north","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1760000000000}}"#
    );
    let (runs, running) = (Arc::clone(runs), Arc::new(Mutex::new(0)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, running) = (Arc::clone(&runs), Arc::clone(&running));
            thread::spawn(move || serve(stream, kind, slots, &runs, &running));
        }
    });
    store.put("servers", &id, &spec);
}

fn serve(stream: TcpStream, kind: Kind, slots: usize, runs: &Runs, running: &Mutex<usize>) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = http::read_head(&mut reader) {
        if http::read_body(&head, &mut reader).is_err() {
            return;
        }
        let id = head.get("x-attempt-id").to_owned();
        let admitted = {
            let mut running = running.lock().unwrap();
            let admitted = *running < slots;
            *running += usize::from(admitted);
            admitted
        };
        let complete = if admitted {
            runs.lock().unwrap().insert(id.clone());
            let complete = match kind {
                Kind::Stream => send_events(reader.get_mut(), &id),
                Kind::Booking => book(reader.get_mut(), &id),
            };
            *running.lock().unwrap() -= 1;
            complete
        } else {
            let answer = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            reader.get_mut().write_all(answer.as_bytes()).is_ok()
        };
        if !complete {
            return;
        }
    }
}

/// Answers a booking; false if the connection is closed.
fn book(stream: &mut TcpStream, id: &str) -> bool {
    thread::sleep(BOOKING_WORK);
    let answer =
        format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 1.2.3\r\nContent-Length: 6\r\n\r\nbooked");
    stream.write_all(answer.as_bytes()).is_ok()
}

/// Sends the events; false if the connection is closed.
fn send_events(stream: &mut TcpStream, id: &str) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 1.2.3\r\nX-Weight-Versions: 1\r\nX-Confidence: 90\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in 1..=EVENTS {
        thread::sleep(STEP);
        let event = format!("id: {event}\ndata: {:x<50}\n\n", "");
        if stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-ask","hostname":"desk.example","path_prefix":"/ask/","route_type":"streaming","timeout_ms":20000,"target_latency_ms":3000,"gap_aim_ms":1200,"priority":1,"sizes":["small"],"service":"chat","max_attempts":3,"anonymous":false,"session_affinity":true,"stream_resume":true},{"name":"r-book","hostname":"desk.example","path_prefix":"/book/","route_type":"unsafe","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":1,"anonymous":false,"session_affinity":false,"stream_resume":false}],"services":[{"name":"desk","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0},{"name":"chat","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":11.0,"engine":{"slots":64,"kv_capacity_tokens":431003,"kv_token_bytes":35136,"link_mbps":1100000.0,"models":[{"name":"small","cost":0.014}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"coop","api_keys":["key-a"],"priority":1}]}"#;
