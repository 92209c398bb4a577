//! Stand-in for workers. A plain one answers after a while; one of a model service answers with a short event stream.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Head, read_body, read_head},
    record::Record,
    world::{BORN, entry},
};

/// Factor by which a cold worker takes longer.
const COLD_FACTOR: u32 = 2;

/// How a worker treats requests with long bodies: it rejects them before the body is in, keeps the connection, and reads on.
#[derive(Clone, Copy, Debug)]
pub struct Early {
    /// Length of the body from which a request is long, in bytes.
    pub from: usize,
    /// Most bytes of the body that it reads at once.
    pub step: usize,
    /// Pause before each of these reads.
    pub pause: Duration,
}

/// Properties of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Service in its entry.
    pub service: &'static str,
    /// Slots in its entry.
    pub slots: u32,
    /// Time for a request.
    pub work: Duration,
    /// How it treats long bodies; none if it reads them as they come.
    pub early: Option<Early>,
}

/// A running worker.
#[derive(Clone)]
pub struct Worker(Arc<Shared>);

struct Shared {
    id: String,
    address: SocketAddr,
    plan: Plan,
    record: Record,
    born: Mutex<u64>,
    cold_until: Mutex<Option<Instant>>,
    /// Whether the process is down.
    down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    /// Ids of the requests that it has run, each with the time at which it came.
    runs: Mutex<Vec<(String, Instant)>>,
    /// Times at which requests came while it was cold.
    cold_arrivals: Mutex<Vec<Instant>>,
    /// Number of requests that it has rejected before their bodies were in.
    early_rejections: AtomicUsize,
}

impl Worker {
    /// Starts a worker on a free port.
    pub fn start(id: &str, plan: Plan, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|err| err.to_string())?;
        let worker = Self(Arc::new(Shared {
            id: id.to_owned(),
            address: listener.local_addr().map_err(|err| err.to_string())?,
            plan,
            record: record.clone(),
            born: Mutex::new(BORN),
            cold_until: Mutex::default(),
            down: AtomicBool::new(false),
            open: Mutex::default(),
            runs: Mutex::default(),
            cold_arrivals: Mutex::default(),
            early_rejections: AtomicUsize::new(0),
        }));
        let served = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                if served.0.down.load(Ordering::SeqCst) {
                    let _ = stream.shutdown(Shutdown::Both);
                    continue;
                }
                if let Ok(handle) = stream.try_clone() {
                    lock(&served.0.open).push(handle);
                }
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        Ok(worker)
    }

    /// Its id in the store.
    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Its entry in the store.
    pub fn entry(&self) -> String {
        let cold =
            lock(&self.0.cold_until).map_or(0, |until| until.saturating_duration_since(Instant::now()).as_millis());
        entry(self.0.plan.service, self.0.address, self.0.plan.slots, cold as u64, *lock(&self.0.born))
    }

    /// Ids of the requests that it has run, each with the time at which it came.
    pub fn runs(&self) -> Vec<(String, Instant)> {
        lock(&self.0.runs).clone()
    }

    /// Times at which requests came while it was cold.
    pub fn cold_arrivals(&self) -> Vec<Instant> {
        lock(&self.0.cold_arrivals).clone()
    }

    /// Number of requests that it has rejected before their bodies were in.
    pub fn early_rejections(&self) -> usize {
        self.0.early_rejections.load(Ordering::SeqCst)
    }

    /// Crashes: its connections end, and new ones are closed.
    pub fn crash(&self) {
        self.0.down.store(true, Ordering::SeqCst);
        for stream in lock(&self.0.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Begins a new incarnation under the same id, which is cold for `cold`. It takes connections after `resume`.
    pub fn begin_restart(&self, cold: Duration) {
        *lock(&self.0.born) += 100_000;
        *lock(&self.0.cold_until) = Some(Instant::now() + cold);
    }

    /// Takes connections again.
    pub fn resume(&self) {
        self.0.down.store(false, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        let shared = &*self.0;
        let mut rest = Vec::new();
        while let Ok(Some(mut head)) = read_head(&mut stream, rest) {
            let id = head.field("x-attempt-id").to_owned();
            if let Some(early) = shared.plan.early.filter(|early| head.length() >= early.from) {
                shared.early_rejections.fetch_add(1, Ordering::SeqCst);
                shared.record.line(format!("worker: {} rejects {id} before its body is in", shared.id));
                let rejected = answer(&mut stream, 503, &id, &[("x-not-executed", "1")], b"full");
                if rejected.and_then(|()| read_on(&mut stream, &head, early)).is_err() {
                    return;
                }
                rest = Vec::new();
                continue;
            }
            let Ok((_, after)) = read_body(&mut stream, &mut head) else { return };
            rest = after;
            if head.field("x-expect-instance") != shared.id {
                if answer(&mut stream, 421, &id, &[], b"").is_err() {
                    return;
                }
                continue;
            }
            let now = Instant::now();
            lock(&shared.runs).push((id.clone(), now));
            let is_cold = lock(&shared.cold_until).is_some_and(|until| now < until);
            if is_cold {
                lock(&shared.cold_arrivals).push(now);
            }
            thread::sleep(if is_cold { shared.plan.work * COLD_FACTOR } else { shared.plan.work });
            let sent = if head.field("x-model").is_empty() || shared.plan.service == "plain" {
                answer(&mut stream, 200, &id, &[("x-response-seal", "seal")], b"done")
            } else {
                let fields = [("x-response-seal", "seal"), ("content-type", "text/event-stream")];
                answer(&mut stream, 200, &id, &fields, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
            };
            if sent.is_err() {
                return;
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|err| err.into_inner())
}

fn answer(stream: &mut TcpStream, status: u16, id: &str, fields: &[(&str, &str)], body: &[u8]) -> std::io::Result<()> {
    let fields: String = fields.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let head = format!("HTTP/1.1 {status} x\r\nx-attempt-id: {id}\r\n{fields}content-length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Reads the body after `head` in small steps.
fn read_on(stream: &mut TcpStream, head: &Head, early: Early) -> std::io::Result<()> {
    let mut left = head.length().saturating_sub(head.rest.len());
    let mut part = vec![0; early.step];
    while left > 0 {
        thread::sleep(early.pause);
        let most = left.min(early.step);
        match stream.read(&mut part[..most])? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            length => left -= length,
        }
    }
    Ok(())
}
