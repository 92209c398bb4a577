//! A crowd of clients stops half-way through small bodies, so that the gateway takes no further connections.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply},
    record::Record,
    store::Store,
    worker::Plan,
    world::{Case, LAMPLIGHT, Setup, config, head},
};

/// Workers of each service.
const WORKERS: usize = 4;
/// Largest size of the crowd.
const CROWD: usize = 2_200;
/// The crowd stops growing when a connection isn't taken within this time.
const CROWD_CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Stated length of a body, and the bytes of it that are sent.
const BODY: usize = 1_000;
const BODY_SENT: usize = 900;
/// Ordinary clients. The rule needs seven.
const CLIENTS: usize = 12;
const MIN_CLIENTS: usize = 7;
/// The bound of the rule (`contact_ms`).
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time for which ordinary clients try.
const TRY_TIME: Duration = Duration::from_secs(6);
/// Time that a client allows for a new connection, and then for the answer, before it tries again on another one.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(1);

/// What one ordinary client saw.
struct Tries {
    /// Number of connections that it tried to open.
    attempts: usize,
    /// Time from its first try until it got an answer; none if it got none.
    answered_after: Option<Duration>,
}

/// Whether the gateway said that it is ready, and took no connection of the ordinary clients for longer than allowed.
pub fn run(case: &Case) -> Setup<bool> {
    let store = Store::start().map_err(|err| err.to_string())?;
    let plan = Plan { service: "plain", slots: 6, work: Duration::from_millis(LAMPLIGHT.work_ms), early: None };
    case.workers(&store, "plain", WORKERS, plan)?;
    case.workers(&store, "model", WORKERS, Plan { service: "model", slots: 64, ..plan })?;
    store.put("config", "main", &config(LAMPLIGHT));
    let gateways = case.gateways(&store, LAMPLIGHT, 1)?;
    let callers = gateways[0].callers;
    let crowd = gather(case, callers);
    let started = Instant::now();
    let clients: Vec<JoinHandle<Tries>> = (0..CLIENTS)
        .map(|number| {
            let record = case.record.clone();
            thread::spawn(move || try_to_read(callers, number, &record))
        })
        .collect();
    let mut was_ready = true;
    while started.elapsed() < CONTACT {
        let is_ready = gateways[0].is_ready();
        case.record
            .line(format!("platform: the readiness check says {}", if is_ready { "ready" } else { "not ready" }));
        was_ready &= is_ready;
        thread::sleep(Duration::from_millis(500));
    }
    let tries: Vec<Tries> = clients
        .into_iter()
        .map(|client| client.join().map_err(|_| "a client failed".to_owned()))
        .collect::<Result<_, _>>()?;
    drop(crowd);
    let waiting = tries.iter().filter(|tries| tries.answered_after.is_none_or(|after| after > CONTACT)).count();
    let attempts: usize = tries.iter().map(|tries| tries.attempts).sum();
    case.record.line(format!("{CLIENTS} ordinary clients have tried {attempts} connections"));
    case.record.line(format!(
        "ready all the while: {was_ready}; clients without an answer on any connection for {} ms: {waiting}",
        CONTACT.as_millis()
    ));
    // A connection of any client that was taken ends the span.
    Ok(was_ready && tries.len() >= MIN_CLIENTS && waiting == tries.len())
}

/// Opens the connections of the crowd. With the disruption, each stops before the end of its body.
fn gather(case: &Case, callers: SocketAddr) -> Vec<TcpStream> {
    let sent = if case.trouble { BODY_SENT } else { BODY };
    let fields = "x-model: *\r\nx-token-count: 800,40\r\n";
    let mut crowd = Vec::new();
    for n in 0..CROWD {
        let Ok(mut stream) = http::connect(callers, CROWD_CONNECT_LIMIT) else {
            case.record
                .line(format!("crowd: connection {n} is not taken within {} ms", CROWD_CONNECT_LIMIT.as_millis()));
            break;
        };
        let mut request = head("POST", "/chat/1", &format!("crowd-{n}"), LAMPLIGHT.stream_ms, fields, BODY);
        request.extend_from_slice(&vec![b'x'; sent]);
        if stream.write_all(&request).is_ok() {
            crowd.push(stream);
        }
    }
    case.record.line(format!("crowd: {} clients have sent {sent} of {BODY} bytes of their bodies", crowd.len()));
    crowd
}

/// Tries to get a read answered, each time on a new connection.
fn try_to_read(callers: SocketAddr, number: usize, record: &Record) -> Tries {
    let started = Instant::now();
    let mut attempts = 0;
    while started.elapsed() < TRY_TIME {
        attempts += 1;
        let request = head("GET", "/read/1", &format!("read-{number}-{attempts}"), LAMPLIGHT.deadline_ms, "", 0);
        let Ok(mut stream) = http::connect(callers, ATTEMPT_LIMIT) else {
            record.line(format!("client: read-{number}-{attempts}: the connection is not taken"));
            continue;
        };
        match http::exchange(&mut stream, &request) {
            Reply::Answer { status } => {
                let after = started.elapsed();
                record.line(format!(
                    "client: read-{number}-{attempts}: status {status}, {} ms after its first try",
                    after.as_millis()
                ));
                return Tries { attempts, answered_after: Some(after) };
            }
            reply => record.line(format!("client: read-{number}-{attempts}: {}", reply.text())),
        }
    }
    Tries { attempts, answered_after: None }
}
