//! A drill: the store comes back from a copy some seconds old, and then a key is taken away.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    store::Store,
    worker::{Plan, Worker},
    world::{Case, LAMPLIGHT, Setup, config_with, head},
};

/// Gateways, and workers of the plain service, as on the sheet.
const GATEWAYS: u8 = 4;
const WORKERS: usize = 4;
/// Time before the changes.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Changes of the configuration before the drill (`config_storm`), and the pause between two of them.
const STORM: u64 = 12;
const STORM_INTERVAL: Duration = Duration::from_millis(330);
/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_secs(1);
/// Time after its return at which the operator has written the newest configuration again, and at which a key is taken away.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(500);
const REVOKED_AFTER: Duration = Duration::from_secs(1);
/// Workers of the model service that enter themselves one after the other afterwards, and the pause between two of them.
const NEW_WORKERS: usize = 16;
const NEW_WORKER_INTERVAL: Duration = Duration::from_millis(250);
/// The bound of the rule (`revoke_ms`), and the time for which requests with the key are sent after it.
const REVOKE: Duration = Duration::from_millis(5_000);
const SEND_TIME: Duration = Duration::from_secs(5);
/// Time after the bound at which these requests begin.
const SEND_MARGIN: Duration = Duration::from_millis(50);
/// Pause between two of them at one gateway, and the beginning of their ids.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
const LATE_ID: &str = "late-";
/// The keys of the tenant that are taken away, one after each drill.
const REVOKED_KEYS: [&str; 2] = ["key-b", "key-c"];

/// Whether a request ran that was sent too long after its key was taken away.
pub fn run(case: &Case) -> Setup<bool> {
    let store = Store::start().map_err(|err| err.to_string())?;
    let plan = Plan { service: "plain", slots: 6, work: Duration::from_millis(LAMPLIGHT.work_ms), early: None };
    let workers = case.workers(&store, "plain", WORKERS, plan)?;
    let mut operator = Operator { store: &store, version: 7, revoked: 0 };
    operator.write();
    let gateways = case.gateways(&store, LAMPLIGHT, GATEWAYS)?;
    for key in REVOKED_KEYS {
        thread::sleep(CALM_TIME);
        drill(case, &mut operator);
        let revoked = Instant::now();
        case.record.line(format!(
            "operator: version {} takes {key} away, revision {}",
            operator.version,
            store.revision()
        ));
        case.workers_later(&store, &format!("model-{key}"), NEW_WORKERS, NEW_WORKER_INTERVAL)?;
        case.record.line(format!("{NEW_WORKERS} workers have entered themselves, revision {}", store.revision()));
        thread::sleep(REVOKE.saturating_sub(revoked.elapsed()) + SEND_MARGIN);
        let after = revoked.elapsed().as_millis();
        case.record.line(format!("client: requests with {key} begin {after} ms after it was taken away"));
        let senders: Vec<_> = gateways
            .iter()
            .map(|gateway| gateway.callers)
            .enumerate()
            .map(|(number, address)| thread::spawn(move || send(address, key, number)))
            .collect();
        for (number, sender) in senders.into_iter().enumerate() {
            let statuses = sender.join().map_err(|_| "a client failed")?;
            case.record.line(format!("client: {key} at gateway {}: {statuses}", number + 1));
        }
    }
    let ran = workers.iter().flat_map(Worker::runs).filter(|(id, _)| id.starts_with(LATE_ID)).count();
    case.record.line(format!("worker: {ran} requests ran that were sent later than revoke_ms"));
    Ok(ran > 0)
}

/// What the operator does.
struct Operator<'a> {
    store: &'a Store,
    version: u64,
    /// Number of keys that are taken away.
    revoked: usize,
}

impl Operator<'_> {
    /// Writes the configuration.
    fn write(&self) {
        let keys: Vec<String> =
            ["key-a"].iter().chain(&REVOKED_KEYS[self.revoked..]).map(|key| format!("\"{key}\"")).collect();
        self.store.put("config", "main", &config_with(LAMPLIGHT, self.version, &keys.join(",")));
    }

    /// Writes the next version.
    fn write_next(&mut self) {
        self.version += 3;
        self.write();
    }
}

/// Changes the configuration some times, lets the store come back from a copy that it made before, and takes the next key away.
fn drill(case: &Case, operator: &mut Operator<'_>) {
    let store = operator.store;
    let copy = store.copy();
    for _ in 0..STORM {
        thread::sleep(STORM_INTERVAL);
        operator.write_next();
    }
    let record = &case.record;
    record.line(format!(
        "operator: version {} is in the store, which is at revision {}",
        operator.version,
        store.revision()
    ));
    if case.trouble {
        store.go_away();
        record.line("platform: the store is away");
        thread::sleep(AWAY_TIME);
        store.come_back(copy);
        record.line(format!("platform: the store is back from an older copy, at revision {}", store.revision()));
        thread::sleep(WRITTEN_AGAIN_AFTER);
        operator.write();
        record.line(format!("operator: version {} is written again, revision {}", operator.version, store.revision()));
    }
    thread::sleep(REVOKED_AFTER);
    operator.revoked += 1;
    operator.write_next();
}

/// Sends requests with a revoked key to one gateway. Returns how they were answered.
fn send(address: SocketAddr, key: &str, number: usize) -> String {
    let started = Instant::now();
    let mut counts = BTreeMap::<String, usize>::new();
    for n in 0.. {
        if started.elapsed() > SEND_TIME {
            break;
        }
        let request = head("GET", "/read/1", &format!("{LATE_ID}{key}-{number}-{n}"), LAMPLIGHT.deadline_ms, "", 0);
        let request = String::from_utf8_lossy(&request).replace("Bearer key-a", &format!("Bearer {key}"));
        let reply = http::call(address, request.as_bytes(), Duration::from_secs(2));
        *counts.entry(reply.text()).or_default() += 1;
        thread::sleep(SEND_INTERVAL);
    }
    counts.iter().map(|(text, count)| format!("{count} x {text}")).collect::<Vec<_>>().join(", ")
}
