//! Choice of the backend server for a request, from what this router sees and what the other routers tell.
//!
//! Load patterns that it answers: prompts with a shared part meet at one server while its load stays near the mean
//! (bounded-load consistent hashing), so that a subject in high demand spills over to others; servers that fail, slow down
//! or go silent get less work, and are tried again after a pause; a cold server gets no more than its share of requests.

use std::{cmp::Reverse, sync::Arc};

use rand::{Rng, RngExt};

use crate::{
    backend::Backend,
    hash::{HashMap, HashSet, stable_hash},
    id::{BackendId, DomainId, ServiceName, VersionName},
    rate::{self, RecentSends},
    unit::Millis,
};

/// Load above the mean, as a share of it, up to which a server keeps the requests of its prompt prefixes.
const AFFINITY_SHARE: f64 = 1.25;
/// Load above the mean, in requests, up to which a server keeps the requests of its prompt prefixes.
const AFFINITY_SLACK: f64 = 2.0;
/// Pause after the first failure to reach a server; doubles with each further one.
const DOWN_BASE: Millis = Millis(400);
/// Longest pause after failures to reach a server.
const DOWN_MAX: Millis = Millis(3_000);
/// Weight of the newest answer in the running share of failures and in the running speed.
const NEWEST_WEIGHT: f64 = 0.12;
/// Running share of failures above which a server is used only when no other is left.
const SUSPECT_SHARE: f64 = 0.25;
/// Interval at which a suspect server gets a request, to see whether it has recovered.
const PROBE_INTERVAL: Millis = Millis(1_500);
/// A server slower than the median by more than this factor counts as more loaded by that factor.
const SLOW_FACTOR: f64 = 1.5;
/// Load of another failure domain's server is raised by this much, in requests, since traffic between domains costs.
const REMOTE_DOMAIN_LOAD: f64 = 0.25;
/// Share of the bound on requests to a cold server that is used.
const COLD_SHARE: f64 = 0.8;

/// Size of a request, in units of one small request.
pub type Cost = f64;

/// All backend servers that a router knows.
#[derive(Debug, Default)]
pub struct Pool {
    entries: HashMap<BackendId, Entry>,
    last_send: u64,
    evacuated: HashSet<DomainId>,
}

#[derive(Debug)]
struct Entry {
    backend: Arc<Backend>,
    cold_until: Millis,
    missing_until: Option<Millis>,
    outstanding: u32,
    load: Cost,
    peer_load: Cost,
    sends: RecentSends,
    /// Sends without an answer yet, with the time from which each is overdue.
    unanswered: Vec<(SendId, Millis)>,
    health: Health,
}

/// Names a send among those of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendId(u64);

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    down_until: Millis,
    failures_in_a_row: u32,
    failure_share: f64,
    slowness: Option<f64>,
    probed: Millis,
}

/// What a request needs of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that the route names.
    pub service: &'a ServiceName,
    /// Hash of the prompt prefix that it shares with others.
    pub affinity: Option<u64>,
    /// Size of the request.
    pub cost: Cost,
    /// Time after which its server gets no further requests until it answers.
    pub overdue_after: Millis,
    /// Version that it is to run on.
    pub version: Option<&'a VersionName>,
    /// Version that it must not run on.
    pub excluded_version: Option<&'a VersionName>,
    /// Servers that it has been sent to.
    pub tried: &'a [BackendId],
    /// Failure domain of the router.
    pub domain: &'a DomainId,
    /// Requests per second that a cold server bears from all routers; 0 where it has no limit.
    pub cold_per_second: f64,
    /// Routers that serve callers, this one included.
    pub routers: usize,
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The service has no server that takes work.
    NoneInService,
    /// All servers that are left are cold and have had their share.
    Cold,
    /// All servers have been tried.
    AllTried,
}

/// How a send ended, as far as it tells of the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered, after so many times the usual time.
    Answered {
        /// Time to the answer's beginning, relative to what is usual for the request.
        slowness: f64,
    },
    /// It answered with a failure.
    Failed,
    /// It refused the request without running it.
    Refused,
    /// It could not be reached, or broke off.
    Unreachable,
}

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Servers that are new.
    pub added: Vec<BackendId>,
    /// Servers that take no new work from now on.
    pub draining: Vec<BackendId>,
    /// Servers that are gone.
    pub removed: Vec<BackendId>,
}

impl Pool {
    /// Takes in the list of all servers. Those that are not in it are kept for `grace`.
    pub fn update(&mut self, now: Millis, list: Vec<Backend>, grace: Millis) -> Changes {
        let mut changes = Changes::default();
        let listed: HashSet<BackendId> = list.iter().map(|backend| backend.id.clone()).collect();
        for backend in list {
            self.insert(now, backend, &mut changes);
        }
        for (id, entry) in &mut self.entries {
            if !listed.contains(id) {
                entry.missing_until.get_or_insert(now + grace);
            }
        }
        changes.removed = self.expire(now);
        changes
    }

    /// Drops servers whose grace period is over.
    pub fn expire(&mut self, now: Millis) -> Vec<BackendId> {
        let is_over = |entry: &Entry| entry.missing_until.is_some_and(|until| until <= now);
        let over = self.entries.iter().filter(|(_, entry)| is_over(entry)).map(|(id, _)| id.clone()).collect();
        self.entries.retain(|_, entry| !is_over(entry));
        over
    }

    fn insert(&mut self, now: Millis, backend: Backend, changes: &mut Changes) {
        let cold_until =
            if backend.cold_remaining == Millis::ZERO { Millis::ZERO } else { now + backend.cold_remaining };
        let known = self.entries.get_mut(&backend.id).filter(|entry| entry.backend.started_at == backend.started_at);
        let Some(entry) = known else {
            changes.added.push(backend.id.clone());
            self.entries.insert(backend.id.clone(), Entry::new(backend, cold_until));
            return;
        };
        entry.missing_until = None;
        if *entry.backend == backend {
            return;
        }
        if backend.draining && !entry.backend.draining {
            changes.draining.push(backend.id.clone());
        }
        if entry.backend.cold_remaining != backend.cold_remaining {
            entry.cold_until = cold_until;
        }
        entry.backend = Arc::new(backend);
    }

    /// Replaces the set of failure domains that get no new work.
    pub fn set_evacuated(&mut self, domains: impl IntoIterator<Item = DomainId>) {
        self.evacuated = domains.into_iter().collect();
    }

    /// Replaces what the other routers have outstanding at each server.
    pub fn set_peer_loads(&mut self, loads: &HashMap<BackendId, Cost>) {
        for (id, entry) in &mut self.entries {
            entry.peer_load = loads.get(id).copied().unwrap_or(0.0);
        }
    }

    /// What this router has outstanding at each server.
    pub fn own_loads(&self) -> impl Iterator<Item = (&BackendId, Cost)> {
        self.entries.iter().filter(|(_, entry)| entry.load > 0.0).map(|(id, entry)| (id, entry.load))
    }

    /// Whether any server of `service` takes work.
    pub fn has_available(&self, service: &ServiceName) -> bool {
        self.in_service(service).next().is_some()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of servers of `service` with `version` that take work.
    pub fn available_with_version(&self, service: &ServiceName, version: &VersionName) -> usize {
        self.in_service(service).filter(|entry| entry.backend.version == *version).count()
    }

    /// Requests of this router that are outstanding at servers of `service` with other versions than `version`.
    pub fn outstanding_on_other_versions(&self, service: &ServiceName, version: &VersionName) -> u32 {
        let others = |entry: &&Entry| entry.backend.service == *service && entry.backend.version != *version;
        self.entries.values().filter(others).map(|entry| entry.outstanding).sum()
    }

    /// Whether the server still takes work; asked again right before a send.
    pub fn is_available(&self, backend: &Backend) -> bool {
        let entry = self.entries.get(&backend.id).filter(|entry| entry.backend.started_at == backend.started_at);
        entry.is_some_and(|entry| !entry.backend.draining && !self.evacuated.contains(&entry.backend.domain))
    }

    /// Chooses a server and counts the send.
    pub fn choose(
        &mut self,
        now: Millis,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Result<(Arc<Backend>, SendId), Unavailable> {
        if !self.has_available(requirements.service) {
            return Err(Unavailable::NoneInService);
        }
        let fit: Vec<BackendId> = self
            .in_service(requirements.service)
            .filter(|entry| requirements.allows(&entry.backend))
            .map(|entry| entry.backend.id.clone())
            .collect();
        if fit.is_empty() {
            return Err(Unavailable::AllTried);
        }
        let open: Vec<BackendId> = fit.into_iter().filter(|id| self.has_cold_room(now, id, requirements)).collect();
        if open.is_empty() {
            return Err(Unavailable::Cold);
        }
        let sound: Vec<BackendId> = open.iter().filter(|id| self.entries[*id].is_sound(now)).cloned().collect();
        let candidates = if sound.is_empty() { open } else { sound };
        let id = self.best(&candidates, requirements, rng);
        let entry = self.entries.get_mut(&id).expect("the chosen server is in the pool");
        entry.sends.record(now);
        entry.health.record_probe(now);
        entry.outstanding += 1;
        entry.load += requirements.cost;
        self.last_send += 1;
        let send = SendId(self.last_send);
        entry.unanswered.push((send, now + requirements.overdue_after));
        Ok((Arc::clone(&entry.backend), send))
    }

    /// Takes in that the answer to a send has begun.
    pub fn record_response(&mut self, backend: &Backend, send: SendId) {
        if let Some(entry) = self.known(backend) {
            entry.unanswered.retain(|(other, _)| *other != send);
        }
    }

    /// Ends a send that `choose` has counted.
    pub fn release(&mut self, backend: &Backend, send: SendId, cost: Cost) {
        if let Some(entry) = self.known(backend) {
            entry.unanswered.retain(|(other, _)| *other != send);
            entry.outstanding = entry.outstanding.saturating_sub(1);
            entry.load = if entry.outstanding == 0 { 0.0 } else { (entry.load - cost).max(0.0) };
        }
    }

    /// Takes in how a send ended.
    pub fn record_outcome(&mut self, now: Millis, backend: &Backend, outcome: Outcome) {
        if let Some(entry) = self.known(backend) {
            entry.health.record_outcome(now, outcome);
        }
    }

    /// Takes in that another server answers at the address.
    pub fn remove_replaced(&mut self, backend: &Backend) {
        if self.known(backend).is_some() {
            self.entries.remove(&backend.id);
        }
    }

    /// Takes in that a server says it is cold for `remaining`.
    pub fn record_cold(&mut self, now: Millis, backend: &Backend, remaining: Millis) {
        if let Some(entry) = self.known(backend) {
            entry.cold_until = now + remaining;
        }
    }

    fn known(&mut self, backend: &Backend) -> Option<&mut Entry> {
        self.entries.get_mut(&backend.id).filter(|entry| entry.backend.started_at == backend.started_at)
    }

    fn in_service(&self, service: &ServiceName) -> impl Iterator<Item = &Entry> {
        let is_available = |entry: &&Entry| !entry.backend.draining && !self.evacuated.contains(&entry.backend.domain);
        self.entries.values().filter(|entry| entry.backend.service == *service).filter(is_available)
    }

    fn has_cold_room(&mut self, now: Millis, id: &BackendId, requirements: &Requirements<'_>) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if requirements.cold_per_second <= 0.0 || entry.cold_until <= now {
            return true;
        }
        entry.sends.count(now) < rate::cold_send_limit(requirements.cold_per_second * COLD_SHARE, requirements.routers)
    }

    fn best(&self, candidates: &[BackendId], requirements: &Requirements<'_>, rng: &mut impl Rng) -> BackendId {
        let median = self.median_slowness(candidates);
        let mut loads: Vec<(f64, &BackendId)> =
            candidates.iter().map(|id| (self.entries[id].load(requirements, median), id)).collect();
        let mean = loads.iter().map(|(load, _)| load).sum::<f64>() / loads.len() as f64;
        let limit = mean * AFFINITY_SHARE + AFFINITY_SLACK.max(requirements.cost);
        if let Some(affinity) = requirements.affinity {
            let weight = |id: &BackendId| stable_hash(&[id.as_str(), &affinity.to_string()]);
            let home = loads.iter().filter(|(load, _)| *load <= limit).min_by_key(|(_, id)| Reverse(weight(id)));
            if let Some((_, id)) = home {
                return (*id).clone();
            }
        }
        for (load, _) in &mut loads {
            *load += rng.random_range(0.0..0.1);
        }
        let least = loads.iter().min_by(|a, b| a.0.total_cmp(&b.0));
        least.expect("there are candidates").1.clone()
    }

    fn median_slowness(&self, candidates: &[BackendId]) -> f64 {
        let mut known: Vec<f64> = candidates.iter().filter_map(|id| self.entries[id].health.slowness).collect();
        if known.is_empty() {
            return 1.0;
        }
        known.sort_by(f64::total_cmp);
        known[known.len() / 2].max(f64::MIN_POSITIVE)
    }
}

impl Requirements<'_> {
    fn allows(&self, backend: &Backend) -> bool {
        self.version.is_none_or(|version| backend.version == *version)
            && self.excluded_version.is_none_or(|version| backend.version != *version)
            && !self.tried.contains(&backend.id)
    }
}

impl Entry {
    fn new(backend: Backend, cold_until: Millis) -> Self {
        Self {
            backend: Arc::new(backend),
            cold_until,
            missing_until: None,
            outstanding: 0,
            load: 0.0,
            peer_load: 0.0,
            sends: RecentSends::default(),
            unanswered: Vec::new(),
            health: Health::default(),
        }
    }

    /// Whether nothing speaks against the server. One that owes an answer for too long may have gone silent; the
    /// requests that it holds can't tell before their deadline.
    fn is_sound(&self, now: Millis) -> bool {
        self.health.is_usable(now) && self.unanswered.iter().all(|(_, overdue)| now < *overdue)
    }

    fn load(&self, requirements: &Requirements<'_>, median_slowness: f64) -> f64 {
        let factor = self.health.slowness.map_or(1.0, |slowness| slowness / median_slowness);
        let factor = if factor > SLOW_FACTOR { factor } else { 1.0 };
        let remote = if self.backend.domain == *requirements.domain { 0.0 } else { REMOTE_DOMAIN_LOAD };
        (self.load + self.peer_load + requirements.cost) * factor + remote
    }
}

impl Health {
    fn is_usable(&self, now: Millis) -> bool {
        let is_suspect = self.failure_share > SUSPECT_SHARE;
        now >= self.down_until && (!is_suspect || now >= self.probed + PROBE_INTERVAL)
    }

    fn record_probe(&mut self, now: Millis) {
        if self.failure_share > SUSPECT_SHARE {
            self.probed = now;
        }
    }

    fn record_outcome(&mut self, now: Millis, outcome: Outcome) {
        let failed = match outcome {
            Outcome::Answered { slowness } => {
                self.failures_in_a_row = 0;
                self.down_until = Millis::ZERO;
                let before = self.slowness.unwrap_or(slowness);
                self.slowness = Some(before + NEWEST_WEIGHT * (slowness - before));
                0.0
            }
            Outcome::Refused => return,
            Outcome::Failed => 1.0,
            Outcome::Unreachable => {
                let pause = DOWN_BASE.0 << self.failures_in_a_row.min(8);
                self.failures_in_a_row += 1;
                self.down_until = now + Millis(pause).min(DOWN_MAX);
                1.0
            }
        };
        self.failure_share += NEWEST_WEIGHT * (failed - self.failure_share);
    }
}
