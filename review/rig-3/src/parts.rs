//! A crowd of clients sends heads of legal size whose prompt has thousands of parts, and stops half-way through the bodies.

use std::{io::Write, net::TcpStream, thread, time::Duration};

use crate::{
    bookings::{Bookings, is_lost_broken},
    http,
    platform::enforce_memory,
    store::Store,
    worker::Plan,
    world::{Case, LAMPLIGHT, Setup, config, head},
};

/// Workers of the plain service, as on the sheet.
const WORKERS: usize = 4;
/// Clients of the crowd.
const CROWD: usize = 850;
/// Ordinary clients.
const BOOKING_CLIENTS: usize = 20;
/// One part of a prompt, in the shortest form of the pages' `ID:TOKENS`, and their number. The head stays below the limit of
/// 16,384 bytes.
const PART: &str = "a:1,";
const PARTS: usize = 3_900;
/// Stated length of a body, and the bytes of it that are sent.
const BODY: usize = 1_000;
const BODY_SENT: usize = 900;
/// Time for which ordinary clients are served before the crowd comes.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Time for which the case watches the memory.
const WATCH_TIME: Duration = Duration::from_secs(8);

/// Whether more bookings than allowed were lost.
pub fn run(case: &Case) -> Setup<bool> {
    let store = Store::start().map_err(|err| err.to_string())?;
    let plan = Plan { service: "plain", slots: 6, work: Duration::from_millis(LAMPLIGHT.work_ms), early: None };
    let workers = case.workers(&store, "plain", WORKERS, plan)?;
    store.put("config", "main", &config(LAMPLIGHT));
    let mut gateways = case.gateways(&store, LAMPLIGHT, 1)?;
    let callers = gateways[0].callers;
    let bookings = Bookings::start(callers, LAMPLIGHT, BOOKING_CLIENTS, &case.record);
    thread::sleep(CALM_TIME);
    let parts = if case.trouble {
        PART.repeat(PARTS)
    } else {
        // One part, with an id that makes the field as long.
        format!("{}:1", "a".repeat(PART.len() * PARTS - 2))
    };
    let fields = format!("x-model: *\r\nx-token-count: 800,40\r\nx-prompt-prefix: {parts}\r\n");
    let mut crowd: Vec<TcpStream> = Vec::new();
    for n in 0..CROWD {
        let mut request = head("POST", "/chat/1", &format!("crowd-{n}"), LAMPLIGHT.stream_ms, &fields, BODY);
        if n == 0 {
            case.record.line(format!("crowd: {CROWD} clients, each with a head of {} bytes", request.len()));
        }
        request.extend_from_slice(&[b'x'; BODY_SENT]);
        let mut stream = http::connect(callers, Duration::from_secs(1)).map_err(|err| format!("crowd-{n}: {err}"))?;
        // The gateway may end before all of the crowd has come.
        if stream.write_all(&request).is_err() {
            break;
        }
        crowd.push(stream);
    }
    case.record.line(format!("crowd: {} clients have sent {BODY_SENT} of {BODY} bytes of their bodies", crowd.len()));
    let is_killed = enforce_memory(&mut gateways[0], LAMPLIGHT, WATCH_TIME, &case.record);
    thread::sleep(Duration::from_millis(500));
    let booked = bookings.end();
    case.record.line(format!("the gateway was {}killed", if is_killed { "" } else { "not " }));
    Ok(is_lost_broken(case, &booked, &workers))
}
