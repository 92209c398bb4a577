//! Stand-in for the platform's store: lists and watches, as PROTOCOL.md describes them.

use std::{
    collections::{BTreeMap, VecDeque},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_body, read_head};

/// Time that an answer takes, and reading calls in a second, as on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const READS_PER_S: usize = 2_000;
/// Time for which a call without an answer keeps its connection.
const SILENCE: Duration = Duration::from_secs(60);

/// An object: the revision of its last change, and its content as JSON text.
#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    spec: String,
}

/// What a drill brings back.
#[derive(Clone, Default)]
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, and the event as JSON text.
    history: Vec<(u64, String, String)>,
}

#[derive(Default)]
struct Inner {
    copy: Copy,
    /// Whether the store is silent: it takes calls and never answers.
    silent: bool,
    /// Whether it ends all calls, as one that is away.
    away: bool,
    /// Rises with each return from an older copy.
    era: u64,
    /// Times of the calls within the last second.
    calls: VecDeque<Instant>,
}

struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let shared = Arc::new(Shared {
            inner: Mutex::new(Inner { copy: Copy { revision: 100, ..Copy::default() }, era: 1, ..Inner::default() }),
            changed: Condvar::new(),
        });
        let store = Self { address: listener.local_addr()?, shared };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared.inner.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Creates an object or replaces its content. A write that changes nothing makes no revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut inner = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if inner.copy.objects.get(&key).is_some_and(|object| object.spec == spec) {
            return;
        }
        inner.copy.revision += 1;
        let revision = inner.copy.revision;
        let object = Object { revision, spec: spec.to_owned() };
        let event = format!("{{\"deleted\":false,\"object\":{}}}", text(name, &object));
        inner.copy.objects.insert(key, object);
        inner.copy.history.push((revision, kind.to_owned(), event));
        drop(inner);
        self.shared.changed.notify_all();
    }

    /// Makes the store silent, or lets it answer again.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
        self.shared.changed.notify_all();
    }

    /// The store's present state.
    pub fn copy(&self) -> Copy {
        self.lock().copy.clone()
    }

    /// Its revision.
    pub fn revision(&self) -> u64 {
        self.lock().copy.revision
    }

    /// Goes away: calls, waiting ones too, end without an answer.
    pub fn go_away(&self) {
        self.lock().away = true;
        self.shared.changed.notify_all();
    }

    /// Comes back from `copy`.
    pub fn come_back(&self, copy: Copy) {
        let mut inner = self.lock();
        inner.copy = copy;
        inner.era += 1;
        inner.away = false;
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(mut head)) = read_head(&mut stream, rest) {
            let Ok((_, after)) = read_body(&mut stream, &mut head) else { return };
            rest = after;
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            thread::sleep(ANSWER_TIME / 2);
            // A connection on which a response is lost returns nothing further.
            let Some((status, reply)) = self.handle(head.method(), path, query) else { return };
            let (is_silent, era) = {
                let inner = self.lock();
                (inner.silent, inner.era)
            };
            if is_silent {
                thread::sleep(SILENCE);
                return;
            }
            thread::sleep(ANSWER_TIME / 2);
            let reply = format!(
                "HTTP/1.1 {status} x\r\nstore-era: {era}\r\ncontent-type: application/json\r\n\
                 content-length: {}\r\n\r\n{reply}",
                reply.len()
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Status and body of the answer; none if the call gets no answer.
    fn handle(&self, method: &str, path: &str, query: &str) -> Option<(u16, String)> {
        if !self.is_within_rate()? {
            return Some((429, "{}".into()));
        }
        let parts: Vec<&str> = path.trim_start_matches("/objects/").split('/').collect();
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
        };
        match (method, parts.as_slice()) {
            ("GET", [kind]) => match parameter("watch").and_then(|value| value.parse().ok()) {
                Some(revision) => {
                    let wait = parameter("wait_ms").and_then(|value| value.parse().ok()).unwrap_or(0);
                    self.watch(kind, revision, Duration::from_millis(wait))
                }
                None => Some((200, self.list(kind))),
            },
            _ => Some((404, "{}".into())),
        }
    }

    /// Counts a call. Returns whether the store takes it, and none while it is away.
    fn is_within_rate(&self) -> Option<bool> {
        let mut inner = self.lock();
        if inner.away {
            return None;
        }
        let now = Instant::now();
        while inner.calls.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
            inner.calls.pop_front();
        }
        let is_within = inner.calls.len() < READS_PER_S;
        if is_within {
            inner.calls.push_back(now);
        }
        Some(is_within)
    }

    fn list(&self, kind: &str) -> String {
        let inner = self.lock();
        let of_kind = inner.copy.objects.iter().filter(|((other, _), _)| other == kind);
        let items: Vec<String> = of_kind.map(|((_, name), object)| text(name, object)).collect();
        format!("{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}", items.join(","), inner.copy.revision)
    }

    fn watch(&self, kind: &str, revision: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let mut inner = self.lock();
        let era = inner.era;
        loop {
            if inner.away || inner.era != era {
                return None;
            }
            let latest = inner.copy.revision;
            if revision > latest {
                return Some((410, "{}".into()));
            }
            let is_new = |(at, of, _): &&(u64, String, String)| *at > revision && of == kind;
            let events: Vec<&str> =
                inner.copy.history.iter().filter(is_new).map(|(_, _, event)| event.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return Some((200, format!("{{\"events\":[{}],\"store_revision\":{latest}}}", events.join(","))));
            }
            let waited = self.shared.changed.wait_timeout(inner, until - now);
            inner = waited.unwrap_or_else(|err| err.into_inner()).0;
        }
    }
}

fn text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created_rev\":1,\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{},\"status\":null}}",
        object.revision, object.spec
    )
}
