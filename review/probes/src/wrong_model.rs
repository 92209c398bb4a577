//! One tenant's client names a model that no server has. Servers answer that with 421, as the pages say. The requests of all
//! others, which leave the model to the system, must go on to be served.

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

/// Engines and plain servers, as on the small site libas-rent.
const ENGINES: usize = 9;
const DESKS: usize = 4;
/// Clients of each kind of request, and the pause after each answer.
const CLIENTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(700);
/// Pause between two requests of the tenant whose client names a wrong model.
const WRONG_PAUSE: Duration = Duration::from_millis(100);
/// Length of the case, once the clients have begun.
const LENGTH: Duration = Duration::from_secs(40);

type Runs = Arc<Mutex<HashMap<&'static str, usize>>>;

pub fn play(trouble: bool, work: &Path, record: &mut Record) -> Verdict {
    let (store, store_address) = Store::start();
    store.put("config", "main", CONFIG);
    let runs: Runs = Arc::default();
    for n in 0..ENGINES {
        start_server(&store, "chat", &format!("i-chat{n}"), &runs, record);
    }
    for n in 0..DESKS {
        start_server(&store, "desk", &format!("i-desk{n}"), &runs, record);
    }
    let exchange = free_address();
    let plan =
        Plan { id: "front-0", zone: "north", store: store_address, seeds: &[exchange], cores: 1, memory_mb: 260 };
    let gateway = Gateway::start(&plan, exchange, work);
    if !gateway.wait_ready(Duration::from_secs(15)) {
        record.say("the gateway is not ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let spawn = |kind: Kind, client: usize| {
        let (stop, callers) = (Arc::clone(&stop), gateway.callers);
        thread::spawn(move || client_loop(callers, kind, client, &stop))
    };
    let asking: Vec<_> = (0..CLIENTS).map(|client| spawn(Kind::Ask, client)).collect();
    let looking: Vec<_> = (0..CLIENTS).map(|client| spawn(Kind::Look, client)).collect();
    thread::sleep(Duration::from_secs(5));
    let wrong = if trouble { Kind::WrongModel } else { Kind::SameTenant };
    record.say(format!("a client of the tenant \"shop\" begins to send {}", wrong.describe()));
    let wrong = spawn(wrong, 0);
    let began = Instant::now();
    thread::sleep(LENGTH);
    stop.store(true, Ordering::SeqCst);
    let tally = |name: &str, clients: Vec<thread::JoinHandle<Vec<(Instant, u16)>>>| {
        let all = clients.into_iter().flat_map(|client| client.join().expect("a client ends"));
        let since: Vec<u16> = all.filter(|(at, _)| *at >= began).map(|(_, status)| status).collect();
        let mut statuses: HashMap<u16, usize> = HashMap::new();
        since.iter().for_each(|status| *statuses.entry(*status).or_default() += 1);
        record.say(format!("{name}: {} requests, statuses in the end {statuses:?}", since.len()));
        (since.len(), statuses.get(&200).copied().unwrap_or(0))
    };
    let (asked, ask_served) = tally("\"ask\", X-Model: *", asking);
    let (looked, look_served) = tally("\"look\"", looking);
    tally("the tenant \"shop\"", vec![wrong]);
    record.say(format!("runs at the servers: {:?}", runs.lock().unwrap()));
    record.say(format!("log of the gateway: backend_replaced {} times", gateway.log_lines("backend_replaced").len()));
    let share = |served: usize, asked: usize| served as f64 / asked.max(1) as f64;
    let (ask, all) = (share(ask_served, asked), share(ask_served + look_served, asked + looked));
    record.say(format!(
        "served: {:.3} of \"ask\", {:.3} of all proper requests; a quarter of that is {:.3}",
        ask,
        all,
        all / 4.0
    ));
    if look_served < 200 || asked < 200 {
        return Verdict::CouldNotRun;
    }
    if ask < all / 4.0 { Verdict::Broken } else { Verdict::Held }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// A stream whose model the system chooses.
    Ask,
    /// A plain safe request.
    Look,
    /// Like `Ask`, from the tenant "shop", with a model that no server has.
    WrongModel,
    /// Like `Ask`, from the tenant "shop".
    SameTenant,
}

impl Kind {
    fn describe(self) -> &'static str {
        if self == Self::WrongModel { "X-Model: large-2024, which no server has" } else { "X-Model: *" }
    }

    fn head(self, id: &str) -> String {
        let key = if matches!(self, Self::WrongModel | Self::SameTenant) { "key-shop" } else { "key-a" };
        let fields = format!("Host: desk.example\r\nX-Attempt-Id: {id}\r\nAuthorization: Bearer {key}\r\n");
        if self == Self::Look {
            return format!("GET /look/a HTTP/1.1\r\n{fields}X-Deadline-Ms: 3000\r\n\r\n");
        }
        let model = if self == Self::WrongModel { "large-2024" } else { "*" };
        format!(
            "POST /ask/a HTTP/1.1\r\n{fields}X-Model: {model}\r\nX-Token-Count: 600,60\r\nX-Prompt-Prefix: a1:300,{id}:300\r\nX-Deadline-Ms: 12000\r\nContent-Length: 3\r\n\r\n"
        )
    }
}

/// Sends one request after the other. A refused one is sent once more when the gateway says, as clients do. Returns the
/// times and the last statuses.
fn client_loop(callers: SocketAddr, kind: Kind, client: usize, stop: &AtomicBool) -> Vec<(Instant, u16)> {
    let mut ended = Vec::new();
    let pause = if matches!(kind, Kind::WrongModel | Kind::SameTenant) { WRONG_PAUSE } else { PAUSE };
    thread::sleep(pause * client as u32 / CLIENTS as u32);
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let at = Instant::now();
        let body: &[u8] = if kind == Kind::Look { b"" } else { b"ask" };
        let send = |attempt: usize| {
            let id = format!("{:x}{client:02x}{n:04x}{attempt:x}", kind as u8);
            http::send(callers, &kind.head(&id), body, Duration::from_secs(13))
        };
        let mut reply = send(0);
        let wait = reply.head.get("retry-after").parse::<f64>().unwrap_or(0.2);
        if matches!(reply.status, 408 | 421 | 429 | 503) && wait < 3.0 {
            thread::sleep(Duration::from_secs_f64(wait));
            reply = send(1);
        }
        ended.push((at, reply.status));
        thread::sleep(pause);
    }
    ended
}

fn start_server(store: &Store, service: &'static str, id: &str, runs: &Runs, record: &Record) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let models: Vec<String> =
        MODELS.iter().map(|name| format!(r#"{{"name":"{name}","version":1,"adapters":[]}}"#)).collect();
    let engine =
        if service == "chat" { format!(r#""stage":"both","models":[{}],"#, models.join(",")) } else { String::new() };
    let spec = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"north","version":"v1","slots":48,"state":"ready","cold_remaining_ms":0,{engine}"sequence":1,"born":1760000000000}}"#
    );
    let (id, runs, record) = (id.to_owned(), Arc::clone(runs), record.clone());
    store.put("servers", &id, &spec);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, record) = (id.clone(), Arc::clone(&runs), record.clone());
            thread::spawn(move || serve(stream, service, &id, &runs, &record));
        }
    });
}

fn serve(stream: TcpStream, service: &'static str, id: &str, runs: &Runs, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = http::read_head(&mut reader) {
        if http::read_body(&head, &mut reader).is_err() {
            return;
        }
        let (request, model) = (head.get("x-attempt-id"), head.get("x-model"));
        let answer = if service == "chat" && !MODELS.contains(&model) {
            record.say(format!("{id} answers 421 to {request}, X-Model: {model}"));
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {request}\r\nX-Instance-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        } else {
            *runs.lock().unwrap().entry(service).or_default() += 1;
            thread::sleep(Duration::from_millis(60));
            let (kind, body) = if service == "chat" { ("text/event-stream", EVENTS) } else { ("text/plain", "ok") };
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nX-Attempt-Id: {request}\r\nX-Response-Seal: 1.2.3\r\nX-Confidence: 90\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

const MODELS: [&str; 3] = ["m0", "m1", "m2"];

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-ask","hostname":"desk.example","path_prefix":"/ask/","route_type":"streaming","timeout_ms":12000,"target_latency_ms":1000,"gap_aim_ms":1000,"priority":0,"sizes":["m0","m1","m2"],"service":"chat","max_attempts":3,"anonymous":false,"session_affinity":true,"stream_resume":true},{"name":"r-look","hostname":"desk.example","path_prefix":"/look/","route_type":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"anonymous":false}],"services":[{"name":"chat","health_path":"/healthz","max_connections":300,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":18.0,"engine":{"slots":48,"kv_capacity_tokens":444000,"kv_token_bytes":35136,"link_mbps":1100000.0,"models":[{"name":"m0","cost":0.019},{"name":"m1","cost":0.14},{"name":"m2","cost":0.29}]}},{"name":"desk","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"coop","api_keys":["key-a"],"priority":1},{"name":"shop","api_keys":["key-shop"],"priority":1}]}"#;
