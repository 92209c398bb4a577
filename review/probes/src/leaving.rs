//! The store cuts off the watches that wait. Right after that a server leaves that never reports `draining`: its entry is
//! removed, it serves on for `drain_ms` and a little longer, and exits. Requests must not reach it later than `drain_ms`.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
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

/// `drain_ms`, from the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time after the removal of its entry at which a server exits: `drain_ms` "and a little longer".
const EXIT: Duration = Duration::from_millis(2_300);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(60);
/// Number of servers that leave, one after the other.
const ROUNDS: usize = 12;
/// Servers at a time.
const SERVERS: usize = 4;
/// Gateways.
const GATEWAYS: usize = 2;
/// Clients of each gateway, and the pause after each answer. Together they send some 80 requests a second.
const CLIENTS: usize = 16;
const PAUSE: Duration = Duration::from_millis(330);

/// Request ids with the time at which they reached a server, and the server.
type Arrivals = Arc<Mutex<Vec<(Instant, usize, String)>>>;

pub fn play(trouble: bool, work: &Path, record: &mut Record) -> Verdict {
    let (store, store_address) = Store::start();
    store.put("config", "main", CONFIG);
    let arrivals: Arrivals = Arc::default();
    let mut next = 0;
    let mut start_server = || {
        let number = next;
        next += 1;
        (number, Server::start(&store, number, &arrivals))
    };
    let mut servers: Vec<(usize, Server)> = (0..SERVERS).map(|_| start_server()).collect();
    let exchange: Vec<SocketAddr> = (0..GATEWAYS).map(|_| free_address()).collect();
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
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS * GATEWAYS)
        .map(|client| {
            let (stop, callers) = (Arc::clone(&stop), gateways[client % GATEWAYS].callers);
            thread::spawn(move || client_loop(callers, client, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut left: HashMap<usize, Instant> = HashMap::new();
    for _ in 0..ROUNDS {
        servers.push(start_server());
        thread::sleep(Duration::from_millis(1_500));
        if trouble {
            store.cut_watches();
            record.say("the store cuts off the watches that wait");
        }
        thread::sleep(Duration::from_millis(60));
        let (number, server) = servers.remove(0);
        store.delete("servers", &server_id(number));
        let at = Instant::now();
        left.insert(number, at);
        record.say_at(at, format!("the store acknowledges that {} is gone", server_id(number)));
        thread::sleep(EXIT);
        record.say(format!("{} exits", server_id(number)));
        server.stop();
        thread::sleep(Duration::from_millis(2_500));
    }
    stop.store(true, Ordering::SeqCst);
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    for (at, id, status) in clients.into_iter().flat_map(|client| client.join().expect("a client ends")) {
        *statuses.entry(status).or_default() += 1;
        if status != 200 {
            record.say_at(at, format!("the client of {id} gets {status}"));
        }
    }
    let mut late = 0;
    for (at, number, id) in arrivals.lock().unwrap().iter() {
        let Some(gone) = left.get(number) else { continue };
        let after = at.saturating_duration_since(*gone);
        if after > DRAIN {
            late += 1;
            record.say_at(
                *at,
                format!("{id} reaches {}, {} ms after it was gone", server_id(*number), after.as_millis()),
            );
        }
    }
    for gateway in &gateways {
        for line in gateway.log_lines("backend_missing") {
            record.say(format!("log of a gateway: {line}"));
        }
    }
    record.say(format!("statuses at the clients: {statuses:?}; {late} requests reached a server later than drain_ms"));
    if statuses.get(&200).copied().unwrap_or(0) < 1_000 {
        return Verdict::CouldNotRun;
    }
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

fn server_id(number: usize) -> String {
    format!("i-desk{number}")
}

fn client_loop(callers: SocketAddr, client: usize, stop: &AtomicBool) -> Vec<(Instant, String, u16)> {
    let mut statuses = Vec::new();
    let mut stream: Option<BufReader<TcpStream>> = None;
    thread::sleep(PAUSE * client as u32 / (CLIENTS * GATEWAYS) as u32);
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        if stream.is_none() {
            stream = TcpStream::connect(callers).ok().map(BufReader::new);
        }
        let Some(open) = stream.as_mut() else { continue };
        let _ = open.get_ref().set_nodelay(true);
        let id = format!("c{client}n{n}");
        let head = format!(
            "POST /book/a HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-a\r\nContent-Length: 4\r\n\r\n"
        );
        let reply = http::send_on(open, &head, b"book", Duration::from_secs(4));
        if reply.status == 0 || reply.head.get("connection").eq_ignore_ascii_case("close") {
            stream = None;
        }
        statuses.push((Instant::now(), id, reply.status));
        thread::sleep(PAUSE);
    }
    statuses
}

/// A server. It serves until `stop`.
struct Server {
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    address: SocketAddr,
}

impl Server {
    fn start(store: &Store, number: usize, arrivals: &Arrivals) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let stopped = Arc::new(AtomicBool::new(false));
        let spec = format!(
            r#"{{"service":"desk","address":"{address}","zone":"north","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
            1_760_000_000_000_u64 + number as u64
        );
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stop, arrivals, open) = (Arc::clone(&stopped), Arc::clone(arrivals), Arc::clone(&connections));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                open.lock().unwrap().extend(stream.try_clone());
                let arrivals = Arc::clone(&arrivals);
                thread::spawn(move || serve(stream, number, &arrivals));
            }
        });
        store.put("servers", &server_id(number), &spec);
        Self { stopped, connections, address }
    }

    /// Ends the server with all its connections.
    fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(stream: TcpStream, number: usize, arrivals: &Arrivals) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = http::read_head(&mut reader) {
        if http::read_body(&head, &mut reader).is_err() {
            return;
        }
        let id = head.get("x-attempt-id").to_owned();
        arrivals.lock().unwrap().push((Instant::now(), number, id.clone()));
        thread::sleep(WORK);
        let answer =
            format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 1.2.3\r\nContent-Length: 2\r\n\r\nok");
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-book","hostname":"desk.example","path_prefix":"/book/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"anonymous":false}],"services":[{"name":"desk","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"coop","api_keys":["key-a"],"priority":1}]}"#;
