//! Stand-in for the platform's metadata store (form `objects`).

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Handle to the store. Cheap to clone.
#[derive(Clone)]
pub struct Store(Arc<(Mutex<Inner>, Condvar)>);

#[derive(Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, String)>,
    /// Whether the machine that calls the store is partitioned from it, so that its connections are reset.
    cut: bool,
    /// Rises with each time that the waiting watches are cut off.
    watch_cuts: u64,
    /// Status writes: time, kind, name, status.
    statuses: Vec<(Instant, String, String, String)>,
}

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            r#"{{"metadata":{{"name":"{name}","revision":{},"created_rev":1,"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
            self.revision, self.spec, self.status
        )
    }
}

impl Store {
    /// Starts the store on a free port of the loopback address.
    pub fn start() -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self(Arc::default());
        store.0.0.lock().unwrap().revision = 10;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        (store, address)
    }

    /// Creates an object or replaces its spec. The status stays.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, |object| object.spec = spec.to_owned());
    }

    /// The spec of a server's entry with another `state`.
    pub fn spec_with_state(&self, name: &str, state: &str) -> String {
        let inner = self.0.0.lock().unwrap();
        let object = inner.objects.get(&("servers".to_owned(), name.to_owned()));
        object.map_or_else(String::new, |object| {
            object.spec.replace(r#""state":"ready""#, &format!(r#""state":"{state}""#))
        })
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut inner = self.0.0.lock().unwrap();
        let Some(mut object) = inner.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
        inner.revision += 1;
        object.revision = inner.revision;
        let event = format!(r#"{{"deleted":true,"object":{}}}"#, object.json(name));
        let revision = inner.revision;
        inner.history.push((revision, kind.to_owned(), event));
        self.0.1.notify_all();
    }

    /// Sets whether the machine that calls the store is partitioned from it: its connections are closed, also those that
    /// wait for a watch. Whoever uses this handle, as the operator does, still reaches the store.
    pub fn set_cut(&self, cut: bool) {
        self.0.0.lock().unwrap().cut = cut;
        self.0.1.notify_all();
    }

    /// Cuts off all watches that wait at the moment. Other and later calls are not affected.
    pub fn cut_watches(&self) {
        self.0.0.lock().unwrap().watch_cuts += 1;
        self.0.1.notify_all();
    }

    /// Status writes so far: time, kind, name, status.
    pub fn statuses(&self) -> Vec<(Instant, String, String, String)> {
        self.0.0.lock().unwrap().statuses.clone()
    }

    fn change(&self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> String {
        let mut inner = self.0.0.lock().unwrap();
        inner.change(kind, name, change, &self.0.1)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&head, &mut reader) else { return };
            if self.0.0.lock().unwrap().cut {
                return;
            }
            let (status, body) = self.answer(&head, &String::from_utf8_lossy(&body));
            thread::sleep(Duration::from_millis(2));
            if status == 0 || self.0.0.lock().unwrap().cut {
                return;
            }
            let text = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head, body: &str) -> (u16, String) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        let parameter = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
        match (head.word(0), name) {
            ("PUT", Some(name)) => self.put_status(kind, name, body),
            ("GET", None) => match parameter("watch") {
                Some(revision) => {
                    let wait = parameter("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    self.watch(kind, revision.parse().unwrap_or(0), Duration::from_millis(wait))
                }
                None => (200, self.list(kind, parameter("after").unwrap_or_default())),
            },
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let inner = self.0.0.lock().unwrap();
        let of_kind = inner.objects.iter().filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items: Vec<String> = of_kind.map(|((_, name), object)| object.json(name)).collect();
        format!(r#"{{"items":[{}],"has_more":false,"store_revision":{}}}"#, items.join(","), inner.revision)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut inner = self.0.0.lock().unwrap();
        let cuts = inner.watch_cuts;
        loop {
            if inner.cut || inner.watch_cuts != cuts {
                return (0, String::new());
            }
            let events: Vec<&str> = inner
                .history
                .iter()
                .filter(|(revision, of, _)| *revision > since && of == kind)
                .map(|(_, _, event)| event.as_str())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!(r#"{{"events":[{}],"store_revision":{}}}"#, events.join(","), inner.revision);
                return (200, body);
            }
            inner = self.0.1.wait_timeout(inner, until - now).unwrap().0;
        }
    }

    fn put_status(&self, kind: &str, name: &str, body: &str) -> (u16, String) {
        let revision = number_after(body, r#""revision":"#);
        let status = object_after(body, r#""status":"#).unwrap_or("null").to_owned();
        let mut inner = self.0.0.lock().unwrap();
        let Some(known) = inner.objects.get(&(kind.to_owned(), name.to_owned())) else { return (404, "{}".into()) };
        if revision.is_some_and(|revision| revision != known.revision) {
            return (409, known.json(name));
        }
        inner.statuses.push((Instant::now(), kind.to_owned(), name.to_owned(), status.clone()));
        (200, inner.change(kind, name, |object| object.status = status, &self.0.1))
    }
}

impl Inner {
    fn change(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Object), changed: &Condvar) -> String {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let new = || Object { revision: 0, spec: "null".into(), status: "null".into() };
        let object = self.objects.entry(key).or_insert_with(new);
        change(object);
        object.revision = self.revision;
        let json = object.json(name);
        let event = format!(r#"{{"deleted":false,"object":{json}}}"#);
        self.history.push((self.revision, kind.to_owned(), event));
        changed.notify_all();
        json
    }
}

/// The number that follows `key` in `text`.
fn number_after(text: &str, key: &str) -> Option<u64> {
    let rest = text.split_once(key)?.1.trim_start();
    rest[..rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len())].parse().ok()
}

/// The JSON object that follows `key` in `text`. Its strings hold no braces.
fn object_after<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let rest = text.split_once(key)?.1;
    let mut depth = 0;
    for (at, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => {
                depth -= 1;
                if depth == 0 {
                    return Some(&rest[..=at]);
                }
            }
            _ => {}
        }
    }
    None
}
