//! Clients of one tenant name a new model in each request for the plain service.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    bookings::{Bookings, is_lost_broken},
    http::{self, Reply},
    platform::enforce_memory,
    store::Store,
    worker::Plan,
    world::{Case, LAMPLIGHT, Setup, config, head},
};

/// Workers of the plain service, as on the sheet.
const WORKERS: usize = 4;
/// Clients that name models.
const NAMING_CLIENTS: usize = 14;
/// Ordinary clients.
const BOOKING_CLIENTS: usize = 8;
/// Length of a name, in bytes. The head stays below the limit of 16,384 bytes.
const NAME_LENGTH: usize = 15_500;
/// Time for which the case watches the memory.
const WATCH_TIME: Duration = Duration::from_secs(40);

/// Whether more bookings than allowed were lost.
pub fn run(case: &Case) -> Setup<bool> {
    let store = Store::start().map_err(|err| err.to_string())?;
    let plan = Plan { service: "plain", slots: 6, work: Duration::from_millis(LAMPLIGHT.work_ms), early: None };
    let workers = case.workers(&store, "plain", WORKERS, plan)?;
    store.put("config", "main", &config(LAMPLIGHT));
    let mut gateways = case.gateways(&store, LAMPLIGHT, 1)?;
    let callers = gateways[0].callers;
    let bookings = Bookings::start(callers, LAMPLIGHT, BOOKING_CLIENTS, &case.record);
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let naming: Vec<_> = (0..NAMING_CLIENTS)
        .map(|client| {
            let (stop, answered, trouble) = (Arc::clone(&stop), Arc::clone(&answered), case.trouble);
            thread::spawn(move || send_names(callers, client, trouble, &stop, &answered))
        })
        .collect();
    let is_killed = enforce_memory(&mut gateways[0], LAMPLIGHT, WATCH_TIME, &case.record);
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    let booked = bookings.end();
    for thread in naming {
        thread.join().map_err(|_| "a client failed")?;
    }
    case.record.line(format!("{} requests with model names were answered with 200", answered.load(Ordering::SeqCst)));
    case.record.line(format!("the gateway was {}killed", if is_killed { "" } else { "not " }));
    Ok(is_lost_broken(case, &booked, &workers))
}

/// Sends one read after the other. With `trouble`, each names another model, otherwise all name the same one.
fn send_names(callers: SocketAddr, client: usize, trouble: bool, stop: &AtomicBool, answered: &AtomicU64) {
    let Ok(mut stream) = http::connect(callers, Duration::from_secs(1)) else { return };
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let name = if trouble { format!("{client}-{n}") } else { "same".into() };
        let field = format!("x-model: {name:m>NAME_LENGTH$}\r\n");
        let request = head("GET", "/read/1", &format!("read-{client}-{n}"), LAMPLIGHT.deadline_ms, &field, 0);
        match http::exchange(&mut stream, &request) {
            Reply::Answer { status: 200 } => _ = answered.fetch_add(1, Ordering::SeqCst),
            Reply::Answer { .. } => {}
            Reply::Broken(_) | Reply::Silent => match http::connect(callers, Duration::from_secs(1)) {
                Ok(new) => stream = new,
                Err(_) => return,
            },
        }
    }
}
