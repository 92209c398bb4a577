//! Ordinary clients: each sends one booking after the other on a connection that it keeps.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    http::{self, Reply},
    record::Record,
    worker::Worker,
    world::{Case, Site, head},
};

/// Time that a client allows for a new connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Pause of a client that got no connection.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Bookings on kept connections that were passed on and may go without an answer, as the rule LOST says.
const MAX_LOST: usize = 3;

/// What became of the bookings of one client, or of all.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of bookings that were answered with 200.
    pub answered: u64,
    /// Ids of those that got no answer, on connections that had carried others before.
    pub unanswered: Vec<String>,
}

/// Running clients.
pub struct Bookings {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Outcome>>,
}

impl Bookings {
    /// Starts `count` clients of the gateway at `callers`.
    pub fn start(callers: SocketAddr, site: Site, count: usize, record: &Record) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |number: usize| {
            let (stop, record) = (Arc::clone(&stop), record.clone());
            thread::spawn(move || run(callers, site, number, &stop, &record))
        };
        let threads = (0..count).map(client).collect();
        Self { stop, threads }
    }

    /// Ends the clients.
    pub fn end(self) -> Outcome {
        self.stop.store(true, Ordering::SeqCst);
        let mut all = Outcome::default();
        for thread in self.threads {
            let outcome = thread.join().expect("a client ends by itself");
            all.answered += outcome.answered;
            all.unanswered.extend(outcome.unanswered);
        }
        all
    }
}

/// Whether LOST is broken: more bookings than allowed were passed on to a worker, and their kept connections ended without an
/// answer.
pub fn is_lost_broken(case: &Case, outcome: &Outcome, workers: &[Worker]) -> bool {
    let ran_at = |id: &String| workers.iter().find(|worker| worker.runs().iter().any(|(run, _)| run == id));
    let mut lost = 0;
    for id in &outcome.unanswered {
        if let Some(worker) = ran_at(id) {
            lost += 1;
            case.record.line(format!("worker: {} has run {id}", worker.id()));
        }
    }
    case.record.line(format!("{} bookings were answered with 200", outcome.answered));
    case.record.line(format!("{lost} bookings on kept connections ran and got no answer; {MAX_LOST} may"));
    lost > MAX_LOST
}

fn run(callers: SocketAddr, site: Site, number: usize, stop: &AtomicBool, record: &Record) -> Outcome {
    let mut outcome = Outcome::default();
    let mut sent = 0;
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = http::connect(callers, CONNECT_LIMIT) else {
            thread::sleep(RETRY_PAUSE);
            continue;
        };
        let mut is_kept = false;
        while !stop.load(Ordering::SeqCst) {
            sent += 1;
            let id = format!("booking-{number}-{sent}");
            match http::exchange(&mut stream, &head("POST", "/book/1", &id, site.deadline_ms, "", 0)) {
                Reply::Answer { status } => outcome.answered += u64::from(status == 200),
                reply => {
                    if is_kept {
                        record.line(format!("client: {id} on a kept connection: {}", reply.text()));
                        outcome.unanswered.push(id);
                    }
                    break;
                }
            }
            is_kept = true;
        }
    }
    outcome
}
