//! Rounds of random drills of the store beside changes of keys, servers and evacuations, and restarts of gateways. Apart from the
//! timing of the processes, a round depends only on its seed.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use eyre::{Result, ensure};
use hyper::StatusCode;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    FakeBackend, FakeStore,
    rig::{Rig, RigPlan, config, wait_until},
};
use crate::http::HttpClient;

/// Number of gateways, and of keys, most of which are revoked in a round.
const GATEWAYS: usize = 4;
const KEYS: usize = 8;
/// Time for which operators, servers and drills are active.
const ACTIVE: Duration = Duration::from_secs(16);
/// Time after its revocation from which a key must not work, and the settings with it.
const REVOKE: Duration = Duration::from_millis(3_000);
const SETTINGS: &str = "  revoke_ms: 3000\n";
/// Time after which a server that leaves, or a failure domain that is evacuated, must get no new requests.
const LEAVE: Duration = Duration::from_millis(2_500);
/// Time without writes before the store goes away. A change that no gateway has seen counts from when it is written again.
const QUIET: Duration = Duration::from_millis(300);
/// Most calls of a gateway to the store, on average, in a second.
const MAX_CALLS_PER_S: f64 = 60.0;
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(4);

/// What the operators and servers want to be in the store, and when they wrote it first.
#[derive(Default)]
struct Truth {
    version: u64,
    /// Revoked keys, with the time of the revocation.
    revoked: BTreeMap<usize, Instant>,
    /// Periods in which the domain `south` is evacuated; the last one may be open.
    evacuations: Vec<(Instant, Option<Instant>)>,
    /// Servers that leave, with the time at which they said so.
    leaving: BTreeMap<usize, Instant>,
    /// Servers whose entries were removed.
    removed: Vec<usize>,
}

/// A request of a client.
struct Sent {
    at: Instant,
    key: usize,
}

/// Counts of a round without a violation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Requests sent, and requests that ran.
    pub sent: usize,
    /// Requests that servers ran.
    pub ran: usize,
    /// Drills.
    pub drills: u64,
    /// Revoked keys.
    pub revoked: usize,
}

struct Round<'a> {
    store: &'a FakeStore,
    servers: &'a [FakeBackend],
    truth: Mutex<Truth>,
    /// Held while the store is away, and by whoever writes.
    writing: tokio::sync::Mutex<()>,
}

/// Runs one round. The logs of one that fails are kept.
pub async fn run_round(seed: u64) -> Result<Summary> {
    let plan = RigPlan { gateways: GATEWAYS, engines: 1, desks: 0, ..RigPlan::default() };
    let mut rig = Rig::start_with(plan, SETTINGS).await?;
    let result = play(&mut rig, seed).await;
    if result.is_err() {
        println!("logs in {}", rig.keep_logs().display());
    }
    result
}

async fn play(rig: &mut Rig, seed: u64) -> Result<Summary> {
    let mut servers = Vec::new();
    for n in 0..6 {
        servers.push(FakeBackend::bind(&format!("server-{n}")).await?);
    }
    let round = Round { store: &rig.store, servers: &servers, truth: Mutex::default(), writing: Default::default() };
    round.lock().version = 1;
    (0..servers.len()).for_each(|server| round.write_server(server));
    round.write_config();
    let addresses: Vec<_> = rig.gateways.iter().map(|gateway| gateway.callers).collect();
    let started = Instant::now();
    let end = started + ACTIVE;
    let rng = |part: u64| ChaCha8Rng::seed_from_u64(seed * 10 + part);
    let sent = Mutex::new(HashMap::new());
    let clients = addresses.iter().enumerate().map(|(n, address)| {
        let (sent, mut rng) = (&sent, rng(3 + n as u64));
        async move {
            for number in 0.. {
                if Instant::now() >= end + LEAVE {
                    return;
                }
                let (id, key) = (format!("c{n}-{number}"), rng.random_range(0..KEYS));
                let at = Instant::now();
                sent.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone(), Sent { at, key });
                // A gateway that starts does not listen yet.
                let _ = client(key, &id).get(*address, "/read/1").await;
                sleep(PAUSE).await;
            }
        }
    });
    let gateways = &mut rig.gateways;
    let restarts = async {
        let mut rng = rng(2);
        for _ in 0..2 {
            sleep(Duration::from_millis(rng.random_range(2_000..7_000))).await;
            let victim = rng.random_range(0..GATEWAYS);
            gateways[victim].process.kill()?;
            gateways[victim].restart()?;
        }
        eyre::Ok(())
    };
    let (_, restarted, (), drills) = tokio::join!(
        futures::future::join_all(clients),
        restarts,
        round.operate(rng(0), end),
        round.drill(rng(1), end)
    );
    restarted?;
    round.check_recovered(rig).await?;
    let sent = sent.into_inner().unwrap_or_else(PoisonError::into_inner);
    let ran = round.check_runs(&sent)?;
    for gateway in 0..GATEWAYS {
        let kinds = ["config", "servers", "rollouts", "evacuations"];
        let calls: u64 = kinds.iter().map(|kind| rig.store.calls(gateway, kind)).sum();
        let rate = calls as f64 / started.elapsed().as_secs_f64();
        ensure!(rate < MAX_CALLS_PER_S, "gateway {gateway} made {rate:.0} calls to the store in a second");
    }
    let revoked = round.lock().revoked.len();
    Ok(Summary { sent: sent.len(), ran, drills, revoked })
}

fn client(key: usize, id: &str) -> HttpClient {
    let client = HttpClient::without_headers().with("host", "site.example").with("x-deadline-ms", "1000");
    client.with("authorization", &format!("Bearer key-{key}")).with("x-attempt-id", id)
}

impl Truth {
    fn is_evacuated(&self) -> bool {
        self.evacuations.last().is_some_and(|(_, until)| until.is_none())
    }

    fn toggle_evacuation(&mut self, now: Instant) {
        match self.evacuations.last_mut().filter(|(_, until)| until.is_none()) {
            Some((_, until)) => *until = Some(now),
            None => self.evacuations.push((now, None)),
        }
    }
}

impl Round<'_> {
    fn lock(&self) -> std::sync::MutexGuard<'_, Truth> {
        self.truth.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_config(&self) {
        let truth = self.lock();
        let mut config = config(truth.version);
        let keys: Vec<String> =
            (0..KEYS).filter(|key| !truth.revoked.contains_key(key)).map(|key| format!("key-{key}")).collect();
        config["tenants"] = json!([{ "name": "customer-a", "api_keys": keys }]);
        self.store.put("config", "main", config);
    }

    fn write_evacuation(&self) {
        if self.lock().is_evacuated() {
            self.store.put("evacuations", "south", json!({}));
        } else {
            self.store.delete("evacuations", "south");
        }
    }

    fn write_server(&self, server: usize) {
        let truth = self.lock();
        let backend = &self.servers[server];
        if truth.removed.contains(&server) {
            return self.store.delete("servers", &backend.id);
        }
        let state = if truth.leaving.contains_key(&server) { "draining" } else { "ready" };
        let mut entry: Value = backend.store_entry("desk", "v1", state);
        entry["zone"] = json!(if is_south(server) { "south" } else { "north" });
        self.store.put("servers", &backend.id, entry);
    }

    /// Revokes keys, evacuates a domain and takes it back, and lets servers leave.
    async fn operate(&self, mut rng: ChaCha8Rng, end: Instant) {
        while Instant::now() < end {
            sleep(Duration::from_millis(rng.random_range(100..900))).await;
            let _writing = self.writing.lock().await;
            let now = Instant::now();
            match rng.random_range(0..4) {
                0 => {
                    let mut truth = self.lock();
                    // One key stays, so that the gateways can be asked in the end.
                    if let Some(key) = (1..KEYS).find(|key| !truth.revoked.contains_key(key)) {
                        truth.revoked.insert(key, now);
                    }
                    truth.version += 1;
                    drop(truth);
                    self.write_config();
                }
                1 => {
                    self.lock().version += 1;
                    self.write_config();
                }
                2 => {
                    self.lock().toggle_evacuation(now);
                    self.write_evacuation();
                }
                _ => {
                    // Two servers of the north stay.
                    let server = [0, 1, 2, 3].choose(&mut rng).copied().unwrap_or_default();
                    let leaves = !self.lock().leaving.contains_key(&server);
                    if leaves {
                        self.lock().leaving.insert(server, now);
                    } else if !self.lock().removed.contains(&server) {
                        self.lock().removed.push(server);
                    }
                    self.write_server(server);
                }
            }
        }
    }

    /// Lets the store come back from older copies, and has everything written again some time later. Returns the number of
    /// drills.
    async fn drill(&self, mut rng: ChaCha8Rng, end: Instant) -> u64 {
        let mut drills = 0;
        while Instant::now() < end {
            let copy = self.store.copy();
            sleep(Duration::from_millis(rng.random_range(500..4_000))).await;
            {
                let _writing = self.writing.lock().await;
                sleep(QUIET).await;
                self.store.go_away();
                sleep(Duration::from_millis(rng.random_range(50..1_200))).await;
                self.store.come_back(copy);
                drills += 1;
            }
            let returned = Instant::now();
            sleep_until(returned + Duration::from_millis(rng.random_range(0..3_000))).await;
            let _writing = self.writing.lock().await;
            (0..self.servers.len()).for_each(|server| self.write_server(server));
            self.write_evacuation();
            self.write_config();
        }
        drills
    }

    /// Waits until all gateways serve with the newest configuration, and refuse the revoked keys.
    async fn check_recovered(&self, rig: &Rig) -> Result<()> {
        let version = self.lock().version;
        let revoked: Vec<usize> = self.lock().revoked.keys().copied().collect();
        for (number, gateway) in rig.gateways.iter().enumerate() {
            let adopted = format!("event=config_adopted config={version} ");
            let serves = async || {
                let reply = client(0, "end").get(gateway.callers, "/read/1").await;
                reply.is_ok_and(|reply| reply.status == StatusCode::OK) && gateway.log().contains(&adopted)
            };
            wait_until(&format!("gateway {number} serves with version {version}"), serves).await?;
            for key in &revoked {
                let reply = client(*key, "end").get(gateway.callers, "/read/1").await?;
                ensure!(reply.status == StatusCode::UNAUTHORIZED, "gateway {number}: key-{key} gets {}", reply.status);
            }
        }
        Ok(())
    }

    /// Checks the requests that ran, and returns their number.
    fn check_runs(&self, sent: &HashMap<String, Sent>) -> Result<usize> {
        let truth = self.lock();
        let mut ran = 0;
        for (server, backend) in self.servers.iter().enumerate() {
            for run in backend.runs() {
                let Some(Sent { at, key }) = sent.get(&run.id) else { continue };
                ran += 1;
                let late = |since: &Instant, bound: Duration| at.saturating_duration_since(*since) > bound;
                let after = |since: &Instant| at.saturating_duration_since(*since);
                if let Some(since) = truth.revoked.get(key).filter(|since| late(since, REVOKE)) {
                    eyre::bail!("{} ran {:?} after key-{key} was revoked", run.id, after(since));
                }
                if let Some(since) = truth.leaving.get(&server).filter(|since| late(since, LEAVE)) {
                    eyre::bail!("{} ran at server-{server} {:?} after it left", run.id, after(since));
                }
                let is_evacuated = |(since, until): &&(Instant, Option<Instant>)| {
                    late(since, LEAVE) && until.is_none_or(|until| *at < until)
                };
                if let Some((since, _)) = truth.evacuations.iter().find(is_evacuated).filter(|_| is_south(server)) {
                    eyre::bail!("{} ran at server-{server} {:?} after its evacuation", run.id, after(since));
                }
            }
        }
        Ok(ran)
    }
}

/// Whether the server is in the domain that is evacuated.
fn is_south(server: usize) -> bool {
    server < 4 && server.is_multiple_of(2)
}
