//! Half of the workers reject bookings with long bodies before these are in, keep the connections, and read on slowly.

use std::{
    io::Write,
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply},
    record::Record,
    store::Store,
    worker::{Early, Plan, Worker},
    world::{Case, LIBAS, MAX_BODY, Setup, config, head},
};

/// Workers of the plain service, as on the sheet, and those of them that reject long bodies.
const WORKERS: usize = 4;
const REJECTING_WORKERS: usize = 2;
/// Number of bookings with the largest legal body, and the pause between two of them.
const LONG: usize = 150;
const LONG_INTERVAL: Duration = Duration::from_millis(80);
/// Number of bookings without a body, and the pause between two of them.
const SHORT: usize = 3_000;
const SHORT_INTERVAL: Duration = Duration::from_millis(4);
/// How these workers treat long bodies.
const EARLY: Early = Early { from: 1 << 20, step: 64 << 10, pause: Duration::from_millis(400) };
/// Time after the route's time limit at which an answer is missing.
const LATE: Duration = Duration::from_millis(500);
/// Requests without an answer by then that break the rule.
const MIN_LATE: usize = 8;

/// Whether too many requests that lasted longer than the time limit of their route had no answer half a second after it.
pub fn run(case: &Case) -> Setup<bool> {
    let store = Store::start().map_err(|err| err.to_string())?;
    let sound = Plan { service: "plain", slots: 6, work: Duration::from_millis(LIBAS.work_ms), early: None };
    let rejecting = Plan { early: case.trouble.then_some(EARLY), ..sound };
    let mut workers = case.workers(&store, "sound", WORKERS - REJECTING_WORKERS, sound)?;
    workers.extend(case.workers(&store, "rejecting", REJECTING_WORKERS, rejecting)?);
    store.put("config", "main", &config(LIBAS));
    let gateways = case.gateways(&store, LIBAS, 1)?;
    let callers = gateways[0].callers;
    let record = &case.record;
    let long = start(callers, "long", LONG, LONG_INTERVAL, MAX_BODY, record);
    let short = start(callers, "short", SHORT, SHORT_INTERVAL, 0, record);
    let long = join(long)?;
    let short = join(short)?;
    let limit = Duration::from_millis(LIBAS.timeout_ms);
    let times = || long.iter().chain(&short);
    let longer = times().filter(|time| **time > limit).count();
    let late = times().filter(|time| **time > limit + LATE).count();
    let late_short = short.iter().filter(|time| **time > limit + LATE).count();
    let rejections: usize = workers.iter().map(Worker::early_rejections).sum();
    let in_time = short.iter().filter(|time| **time <= limit).count();
    record.line(format!("{in_time} of {SHORT} bookings without a body were answered in time"));
    record.line(format!("{rejections} rejections before the body was in, for {} bookings", LONG + SHORT));
    record.line(format!("{longer} bookings lasted longer than the {} ms of their route", limit.as_millis()));
    record.line(format!(
        "{late} of them ({late_short} without a body) had no answer {} ms after that; 7, or a quarter, may",
        LATE.as_millis()
    ));
    Ok(late >= MIN_LATE && late * 4 > longer)
}

type Clients = JoinHandle<Vec<JoinHandle<Duration>>>;

/// Starts `count` clients, one each `interval`, that each send one booking with a body of `length` bytes.
fn start(
    callers: SocketAddr,
    name: &'static str,
    count: usize,
    interval: Duration,
    length: usize,
    record: &Record,
) -> Clients {
    let record = record.clone();
    thread::spawn(move || {
        let started = Instant::now();
        let client = |n: usize| {
            thread::sleep((started + interval * n as u32).saturating_duration_since(Instant::now()));
            let record = record.clone();
            thread::spawn(move || send(callers, &format!("{name}-{n}"), length, &record))
        };
        (0..count).map(client).collect()
    })
}

/// Times of all bookings.
fn join(clients: Clients) -> Setup<Vec<Duration>> {
    let failed = |_| "a client failed".to_owned();
    clients.join().map_err(failed)?.into_iter().map(|client| client.join().map_err(failed)).collect()
}

/// Sends a booking, and returns the time from its last byte until its answer, or until the client's deadline.
fn send(callers: SocketAddr, id: &str, length: usize, record: &Record) -> Duration {
    let deadline = Duration::from_millis(LIBAS.deadline_ms);
    let mut request = head("POST", "/book/1", id, LIBAS.deadline_ms, "", length);
    request.extend_from_slice(&vec![b'x'; length]);
    let Ok(mut stream) = http::connect(callers, deadline) else {
        record.line(format!("client: {id}: no connection"));
        return Duration::ZERO;
    };
    if stream.write_all(&request).is_err() {
        record.line(format!("client: {id}: could not be sent"));
        return Duration::ZERO;
    }
    let sent = Instant::now();
    let reply = http::exchange(&mut stream, b"");
    let time = sent.elapsed();
    let outcome = if matches!(reply, Reply::Silent) { "leaves without an answer".into() } else { reply.text() };
    // Bookings without a body that are answered at once are only counted.
    if length > 0 || reply.status() != 200 || time > Duration::from_millis(LIBAS.timeout_ms) {
        record.line(format!("client: {id}, {length} bytes of body: {outcome}, after {} ms", time.as_millis()));
    }
    time
}
