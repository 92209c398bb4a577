//! Stand-in for the platform's store: lists and watches, as PROTOCOL.md describes them.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_body, read_head};

/// An object: the revision of its last change, and its content as JSON text.
#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, and the event as JSON text.
    history: Vec<(u64, String, String)>,
    /// Whether the store is silent: it takes calls and never answers.
    silent: bool,
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
            inner: Mutex::new(Inner { revision: 100, ..Inner::default() }),
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
        if inner.objects.get(&key).is_some_and(|object| object.spec == spec) {
            return;
        }
        inner.revision += 1;
        let revision = inner.revision;
        let object = Object { revision, spec: spec.to_owned() };
        let event = format!("{{\"deleted\":false,\"object\":{}}}", text(name, &object));
        inner.objects.insert(key, object);
        inner.history.push((revision, kind.to_owned(), event));
        drop(inner);
        self.shared.changed.notify_all();
    }

    /// Makes the store silent, or lets it answer again.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
        self.shared.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(mut head)) = read_head(&mut stream, rest) {
            let Ok((_, after)) = read_body(&mut stream, &mut head) else { return };
            rest = after;
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            let (status, reply) = self.handle(head.method(), path, query);
            if self.lock().silent {
                // A connection on which a response is lost returns nothing further.
                thread::sleep(Duration::from_secs(60));
                return;
            }
            let reply = format!(
                "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{reply}",
                reply.len()
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, method: &str, path: &str, query: &str) -> (u16, String) {
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
                    (200, self.watch(kind, revision, Duration::from_millis(wait)))
                }
                None => (200, self.list(kind)),
            },
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let inner = self.lock();
        let of_kind = inner.objects.iter().filter(|((other, _), _)| other == kind);
        let items: Vec<String> = of_kind.map(|((_, name), object)| text(name, object)).collect();
        format!("{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}", items.join(","), inner.revision)
    }

    fn watch(&self, kind: &str, revision: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut inner = self.lock();
        loop {
            let events: Vec<&str> = inner
                .history
                .iter()
                .filter(|(at, of, _)| *at > revision && of == kind)
                .map(|(_, _, event)| event.as_str())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return format!("{{\"events\":[{}],\"store_revision\":{}}}", events.join(","), inner.revision);
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
