//! Stand-in of the platform's store: lists, watches and status writes of objects, one revision counter.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufReader, Read},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Interval at which a waiting watch looks again.
const POLL: Duration = Duration::from_millis(5);

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// JSON of the spec and the status, and the revision, by kind and name.
    objects: HashMap<String, BTreeMap<String, Entry>>,
    /// Changes: revision, kind, JSON of the event.
    history: Vec<(u64, String, String)>,
    /// Whether calls get no answer.
    silent: bool,
    /// Number of outages so far: a call that was there during one gets no answer.
    outages: u64,
    /// Time of the last call of each kind.
    last_call: HashMap<String, Instant>,
}

#[derive(Clone, Default)]
struct Entry {
    spec: String,
    status: String,
    revision: u64,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store's port");
        let address = listener.local_addr().expect("the store's address");
        let shared = Arc::new(Shared::default());
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        Self { shared, address }
    }

    /// Writes an object. The return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        self.shared.change(kind, name, |entry| entry.spec = spec.to_owned());
        Instant::now()
    }

    /// Removes an object. The return is the acknowledgement.
    pub fn delete(&self, kind: &str, name: &str) -> Instant {
        let mut state = self.shared.state.lock().unwrap();
        if let Some(entry) = state.objects.entry(kind.into()).or_default().remove(name) {
            state.revision += 1;
            let revision = state.revision;
            let event = format!(r#"{{"deleted":true,"object":{}}}"#, entry.json(name));
            state.history.push((revision, kind.into(), event));
        }
        drop(state);
        self.shared.changed.notify_all();
        Instant::now()
    }

    /// Status of an object as JSON text.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let state = self.shared.state.lock().unwrap();
        state
            .objects
            .get(kind)
            .and_then(|objects| objects.get(name))
            .map(|entry| entry.status.clone())
            .unwrap_or_default()
    }

    /// Begins or ends an outage in which calls get no answer. Calls that are under way get none either, nor later.
    pub fn set_silent(&self, silent: bool) -> Instant {
        let mut state = self.shared.state.lock().unwrap();
        state.silent = silent;
        state.outages += u64::from(silent);
        drop(state);
        self.shared.changed.notify_all();
        Instant::now()
    }

    /// Time of the last call for `kind`.
    pub fn last_call(&self, kind: &str) -> Option<Instant> {
        self.shared.state.lock().unwrap().last_call.get(kind).copied()
    }
}

impl Entry {
    fn json(&self, name: &str) -> String {
        let status = if self.status.is_empty() { "null" } else { &self.status };
        format!(
            r#"{{"metadata":{{"name":"{name}","revision":{},"created_rev":1,"finalizers":[],"deleting":false}},"spec":{},"status":{status}}}"#,
            self.revision, self.spec
        )
    }
}

impl Shared {
    fn change(&self, kind: &str, name: &str, change: impl FnOnce(&mut Entry)) -> String {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let entry = state.objects.entry(kind.into()).or_default().entry(name.into()).or_default();
        change(entry);
        entry.revision = revision;
        let json = entry.json(name);
        state.history.push((revision, kind.into(), format!(r#"{{"deleted":false,"object":{json}}}"#)));
        drop(state);
        self.changed.notify_all();
        json
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(mut req) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &mut req)?;
            let outages = {
                let mut state = self.state.lock().unwrap();
                let kind = path_of(&req).first().cloned().unwrap_or_default();
                state.last_call.insert(kind, Instant::now());
                state.outages
            };
            let (status, body) = self.answer(&req, outages);
            let is_lost = {
                let state = self.state.lock().unwrap();
                state.silent || state.outages != outages
            };
            if is_lost {
                // Nothing more comes on this connection.
                let _ = reader.read_to_end(&mut Vec::new());
                return Ok(());
            }
            http::respond(&mut writer, status, &[("content-type", "application/json")], body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, req: &http::Message, outages: u64) -> (&'static str, String) {
        let path = path_of(req);
        let query: HashMap<&str, &str> = req
            .target()
            .split_once('?')
            .map(|(_, query)| query.split('&').filter_map(|pair| pair.split_once('=')).collect())
            .unwrap_or_default();
        if req.method() == "PUT" && path.len() == 3 {
            return self.put_status(&path[0], &path[1], &req.body);
        }
        if let Some(since) = query.get("watch").and_then(|text| text.parse().ok()) {
            let wait = query.get("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
            return ("200 OK", self.watch(&path[0], since, Duration::from_millis(wait), outages));
        }
        let state = self.state.lock().unwrap();
        let objects = state.objects.get(&path[0]).cloned().unwrap_or_default();
        let items: Vec<String> = objects.iter().map(|(name, entry)| entry.json(name)).collect();
        ("200 OK", format!(r#"{{"items":[{}],"has_more":false,"store_revision":{}}}"#, items.join(","), state.revision))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration, outages: u64) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(at, of, _)| *at > since && of == kind)
                .map(|(_, _, event)| event.clone())
                .collect();
            if !events.is_empty() || Instant::now() >= until || state.outages != outages {
                return format!(r#"{{"events":[{}],"store_revision":{}}}"#, events.join(","), state.revision);
            }
            state = self.changed.wait_timeout(state, POLL).unwrap().0;
        }
    }

    fn put_status(&self, kind: &str, name: &str, body: &[u8]) -> (&'static str, String) {
        let text = String::from_utf8_lossy(body);
        let known = self.state.lock().unwrap().objects.get(kind).and_then(|objects| objects.get(name)).cloned();
        let Some(known) = known else { return ("404 Not Found", "{}".into()) };
        // The only caller is the gateway, which always sends the revision.
        let is_current = text.contains(&format!(r#""revision":{}"#, known.revision));
        if !is_current {
            return ("409 Conflict", known.json(name));
        }
        let status = text.split_once(r#""status":"#).map(|(_, rest)| rest.trim_end_matches('}').to_owned() + "}");
        ("200 OK", self.change(kind, name, |entry| entry.status = status.unwrap_or_default()))
    }
}

/// Kind and name in the path of a call.
fn path_of(req: &http::Message) -> Vec<String> {
    let path = req.target().split('?').next().unwrap_or_default();
    path.split('/').skip(2).map(str::to_owned).collect()
}
