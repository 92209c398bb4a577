//! The only tenant is taken out of the configuration while its clients are connected. Counted are the requests with its key
//! that run although they were sent later than `revoke_ms` after that, and those with a key that never existed.

use std::{
    collections::HashSet,
    io::BufReader,
    net::TcpStream,
    path::PathBuf,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use review_stand_ins::{
    config::{KEY, TENANT, booking_config},
    http::{self, Message},
    process::{Gateway, LIBAS_MEMORY_MB},
    record::Record,
    server::{self, Server},
    store::Store,
    without_trouble,
};

/// Bound of the rule (`revoke_ms`).
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time for which requests are sent after the change.
const SENDS_FOR: Duration = Duration::from_millis(8_000);
const PAUSE: Duration = Duration::from_millis(100);

fn main() {
    let record = Arc::new(Record::create());
    match run(&record) {
        Ok(broken) => exit(i32::from(broken > 0)),
        Err(err) => {
            record.say(&format!("the case could not run: {err}"));
            exit(2);
        }
    }
}

fn run(record: &Arc<Record>) -> Result<usize, String> {
    let dir = PathBuf::from(std::env::var("DIR").map_err(|_| "DIR names a temporary folder")?);
    let runs: Arc<Mutex<HashSet<String>>> = Arc::default();
    let store = Store::start();
    for n in 0..2 {
        let (runs, record) = (Arc::clone(&runs), Arc::clone(record));
        let handler =
            move |server: &Server, req: &mut Message, reader: &mut BufReader<TcpStream>, writer: &mut TcpStream| {
                http::read_body(reader, req)?;
                let id = req.field("x-attempt-id").unwrap_or_default().to_owned();
                record.line(&format!(
                    "{} runs {id} for the tenant {:?}",
                    server.id,
                    req.field("x-tenant").unwrap_or_default()
                ));
                runs.lock().unwrap().insert(id);
                server::answer(req, writer, b"booked")
            };
        let server = Server::start(&format!("desk-{n}"), "desk", Arc::new(handler));
        store.put("servers", &server.id, &server.entry("ready"));
    }
    store.put("config", "main", &booking_config(1, TENANT));
    let gateway = Gateway::start("gateway-0", store.address, &dir, LIBAS_MEMORY_MB)?;
    record.line("the gateway is ready");
    for number in 0..5 {
        send(&gateway, &format!("before-{number}"), KEY, record);
        thread::sleep(PAUSE);
    }
    if !without_trouble() {
        store.put("config", "main", &booking_config(2, ""));
    }
    let acknowledged = Instant::now();
    record.line_at(
        acknowledged,
        if without_trouble() { "no change" } else { "acknowledged: version 2 has no tenant any more" },
    );
    let mut revoked = Vec::new();
    for number in 0.. {
        if acknowledged.elapsed() > SENDS_FOR {
            break;
        }
        let id = format!("after-{number}");
        let sent_at = send(&gateway, &id, KEY, record);
        if !without_trouble() && sent_at > acknowledged + REVOKE {
            revoked.push(id);
        }
        thread::sleep(PAUSE);
    }
    send(&gateway, "unknown", "a-key-that-never-was", record);
    let runs = runs.lock().unwrap();
    let ran = revoked.iter().filter(|id| runs.contains(*id)).count();
    let unknown = usize::from(runs.contains("unknown"));
    record.say(&format!(
        "{ran} of {} requests ran that were sent with the key later than {} ms after it was taken away; {unknown} of 1 with a \
         key that never was",
        revoked.len(),
        REVOKE.as_millis()
    ));
    Ok(ran + unknown)
}

/// Sends a booking with `key`, and returns when.
fn send(gateway: &Gateway, id: &str, key: &str, record: &Record) -> Instant {
    let key = format!("Bearer {key}");
    let fields =
        [("host", "site.example"), ("x-attempt-id", id), ("x-deadline-ms", "3000"), ("authorization", key.as_str())];
    let reply =
        http::call(gateway.callers, &http::request("POST", "/book/x", &fields, b"a deposit"), Duration::from_secs(3));
    record.line_at(
        reply.sent_at,
        &format!("{id} sent, answered {} after {} ms {}", reply.status, reply.elapsed().as_millis(), reply.error),
    );
    reply.sent_at
}
