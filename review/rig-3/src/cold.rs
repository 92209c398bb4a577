//! A model worker crashes and starts again under its id, cold, while the store is away.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    store::Store,
    worker::Plan,
    world::{Case, LAMPLIGHT, Setup, config, head},
};

/// Gateways, as on the sheet, and model workers.
const GATEWAYS: u8 = 4;
const WORKERS: usize = 5;
/// Requests per second of all clients.
const RATE: u32 = 300;
/// Time that a warm worker takes for a request.
const WORK: Duration = Duration::from_millis(40);
/// Time before the store goes away, between that and the crash, and from the crash until the worker takes connections again.
const CALM_TIME: Duration = Duration::from_secs(3);
const CRASH_AFTER: Duration = Duration::from_millis(300);
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time for which a worker is cold after its start (`warmup_s`).
const COLD_TIME: Duration = Duration::from_secs(3);
/// Interval at which a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time before the worker takes connections again at which it first tries to write its entry.
const ENTRY_BEFORE: Duration = Duration::from_millis(300);
/// Time that a client waits.
const CLIENT_LIMIT: Duration = Duration::from_secs(4);

/// Whether the cold worker got more requests within one second than allowed.
pub fn run(case: &Case) -> Setup<bool> {
    let store = Store::start().map_err(|err| err.to_string())?;
    let plan = Plan { service: "model", slots: 64, work: WORK, early: None };
    let workers = case.workers(&store, "model", WORKERS, plan)?;
    store.put("config", "main", &config(LAMPLIGHT));
    let gateways = case.gateways(&store, LAMPLIGHT, GATEWAYS)?;
    let callers: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU32::new(0));
    let load = {
        let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
        thread::spawn(move || send_load(&callers, &stop, &answered))
    };
    thread::sleep(CALM_TIME);
    if case.trouble {
        store.set_silent(true);
        case.record.line("platform: the store is silent");
    }
    thread::sleep(CRASH_AFTER);
    let worker = &workers[0];
    worker.crash();
    case.record.line(format!("worker: {} crashes", worker.id()));
    thread::sleep(DOWN_TIME - ENTRY_BEFORE);
    worker.begin_restart(COLD_TIME + ENTRY_BEFORE);
    store.put("servers", worker.id(), &worker.entry());
    thread::sleep(ENTRY_BEFORE);
    worker.resume();
    case.record.line(format!(
        "worker: {} has started again under its id, cold for {} ms",
        worker.id(),
        COLD_TIME.as_millis()
    ));
    let cold_until = Instant::now() + COLD_TIME;
    while Instant::now() < cold_until {
        thread::sleep(HEARTBEAT);
        store.put("servers", worker.id(), &worker.entry());
    }
    if case.trouble {
        store.set_silent(false);
        case.record.line("platform: the store answers again");
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    let sent = load.join().map_err(|_| "the clients failed")?;
    case.record.line(format!("{} of {sent} requests were answered with 200", answered.load(Ordering::SeqCst)));
    let arrivals = worker.cold_arrivals();
    for second in 0..COLD_TIME.as_secs() {
        let from = cold_until - COLD_TIME + Duration::from_secs(second);
        let count = arrivals.iter().filter(|at| (from..from + Duration::from_secs(1)).contains(at)).count();
        case.record.line(format!("worker: {count} requests in second {} of its cold time", second + 1));
    }
    let most = arrivals
        .iter()
        .map(|from| arrivals.iter().filter(|at| (*from..*from + Duration::from_secs(1)).contains(at)).count())
        .max()
        .unwrap_or(0);
    let bound = f64::from(LAMPLIGHT.cold_per_s) * 1.5 + 5.0;
    case.record.line(format!("at most {most} requests to the cold worker within a second; the bound is {bound}"));
    Ok(most as f64 > bound)
}

/// Sends requests to the gateways in turn, at a steady rate. Returns their number.
fn send_load(callers: &[SocketAddr], stop: &AtomicBool, answered: &Arc<AtomicU32>) -> u32 {
    let started = Instant::now();
    let mut sent = 0;
    while !stop.load(Ordering::SeqCst) {
        let (address, id) = (callers[sent as usize % callers.len()], format!("care-{sent}"));
        let answered = Arc::clone(answered);
        thread::spawn(move || {
            let fields = "x-model: *\r\nx-token-count: 800,40\r\n";
            let request = head("POST", "/chat/1", &id, LAMPLIGHT.stream_ms, fields, 0);
            if http::call(address, &request, CLIENT_LIMIT).status() == 200 {
                answered.fetch_add(1, Ordering::SeqCst);
            }
        });
        sent += 1;
        thread::sleep((started + Duration::from_secs(1) * sent / RATE).saturating_duration_since(Instant::now()));
    }
    sent
}
