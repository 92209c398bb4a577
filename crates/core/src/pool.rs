//! Selects the backend server for a request, from this router's own observations and the loads that other routers
//! report.
//!
//! - Many prompts share a prefix: requests with the same prefix go to one server while its load stays near the mean
//!   (bounded-load consistent hashing), so that a prefix in high demand spills over to other servers. A short prefix has
//!   such a server in each failure domain, a long one in all domains together.
//! - Servers fail, slow down or stop responding: they get fewer requests and are tried again after a pause.
//! - A server is cold: it gets at most a limited rate of requests.
//! - A server shuts down, or asks for a pause: it gets none, whatever the list says.
//! - A version was withdrawn: its servers get none, whatever becomes of the order for it.

use std::{cmp::Reverse, sync::Arc};

use rand::{Rng, RngExt};

use crate::{
    backend::{Backend, ServerId},
    backend_health::{Health, Outcome},
    departure::{Departure, Departures},
    drill::GoneServers,
    hash::{HashMap, HashSet, stable_hash},
    id::{BackendId, DomainId, ServiceName, VersionName},
    not_run::NotRun,
    pause::Pauses,
    place::Place,
    rate::{self, RecentSends},
    room::ServerSlots,
    server_pace::{Baseline, RecentPace},
    stage,
    unit::{Millis, Tokens},
    withdrawn::{Withdrawal, WithdrawnVersions},
};

/// Multiple of the mean load up to which a server keeps receiving the requests of its prompt prefixes.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Load, on top of `AFFINITY_LOAD_FACTOR` times the mean, up to which a server keeps receiving those requests.
const AFFINITY_SLACK: Cost = 2.0;
/// When the slowness of a server exceeds the median by more than this factor, its load is multiplied by the ratio.
const SLOW_FACTOR: f64 = 1.5;
/// Length of a shared prefix from which requests go to other failure domains for a server that keeps it. Processing a
/// shorter one again takes less time and costs less than the way there.
const MIN_PREFIX_TO_CROSS: Tokens = Tokens(2_000);
/// Load added to servers of other failure domains, because traffic between domains has a cost.
const REMOTE_DOMAIN_LOAD: Cost = 0.25;
/// Time for which a server is left out after another server has responded at its address. The list usually shows within
/// this time where the server is now. A longer one would leave a server out that is there after all.
const REPLACED_TIME: Millis = Millis(5_000);
/// Share of the limit on requests to a cold server that the routers use.
const COLD_LIMIT_USAGE: f64 = 0.8;
/// Difference from the mean up to which a load counts as equal to it. Loads are sums of fractions, which are inexact.
const LOAD_TOLERANCE: Cost = 1e-6;

/// Load that a request puts on a backend server, in units of one small request.
pub type Cost = f64;

/// All backend servers known to this router.
#[derive(Debug, Default)]
pub struct Pool {
    entries: HashMap<BackendId, Entry>,
    last_send: u64,
    evacuated: HashSet<DomainId>,
    /// Kept apart from the entries, which come and go with the list.
    departures: Departures,
    /// Kept apart for the same reason.
    pauses: Pauses,
    withdrawn: WithdrawnVersions,
    gone: GoneServers,
}

#[derive(Debug)]
struct Entry {
    backend: Arc<Backend>,
    server: ServerId,
    /// Time until which the server stays cold.
    cold_until: Millis,
    /// End of the grace period if the server is missing from the list.
    missing_until: Option<Millis>,
    /// Time until which the server is left out because another server responds at its address.
    replaced_until: Millis,
    /// Number of this router's requests outstanding at the server.
    outstanding: u32,
    /// Load of these requests.
    load: Cost,
    /// Load that the other routers have outstanding at the server.
    peer_load: Cost,
    /// Number of requests that the other routers have outstanding at the server.
    peer_outstanding: u32,
    sends: RecentSends,
    /// Sends whose response has not started, with the time from which the response is overdue.
    unanswered: Vec<(SendId, Millis)>,
    health: Health,
    pace: RecentPace,
    /// Whether the last sample of `pace` showed that the server is slow at the moment.
    is_slow: bool,
}

/// Identifies a send, which is one transmission of a request to a backend server, among the sends of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendId(u64);

/// Prompt prefix that requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Hash of the prefix.
    pub hash: u64,
    /// Length of the prefix.
    pub tokens: Tokens,
}

/// Inputs to the selection of a backend server for one request.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that the request goes to.
    pub service: &'a ServiceName,
    /// Prompt prefix that the request shares with others, if they should go to the same server.
    pub shared_prefix: Option<SharedPrefix>,
    /// Load that the request puts on the server.
    pub cost: Cost,
    /// Time without a response after which the server is unhealthy until it responds.
    pub overdue_after: Millis,
    /// Version that the server must run.
    pub version: Option<&'a VersionName>,
    /// Version that the server must not run.
    pub excluded_version: Option<&'a VersionName>,
    /// Whether the servers are filled one after the other, for the trial of `version` under load.
    pub fills_servers: bool,
    /// Whether servers whose slots are all in use are avoided while another one has a free slot.
    pub avoids_full: bool,
    /// Servers that the request has already been sent to.
    pub tried: &'a [BackendId],
    /// Failure domain of this router.
    pub domain: &'a DomainId,
    /// Requests per second that a cold server may get from all routers together; 0 for no limit.
    pub cold_per_second: f64,
    /// Number of routers that serve callers, this one included.
    pub routers: usize,
}

/// Why no backend server was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The service has no server that accepts new requests.
    NoneInService,
    /// All remaining servers are cold and have reached their request limit.
    Cold,
    /// All servers have been tried already or run the wrong version.
    AllTried,
    /// All servers with the right version have asked for a pause.
    Paused {
        /// Time at which the first pause ends.
        until: Millis,
    },
}

/// Servers that an update of the pool affected.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// New servers, including those that restarted under the same id.
    pub added: Vec<BackendId>,
    /// Servers that started draining and accept no new requests.
    pub draining: Vec<BackendId>,
    /// Servers that are no longer listed, and stay in use for the grace period if there is one.
    pub missing: Vec<BackendId>,
    /// Servers that were dropped from the pool.
    pub removed: Vec<BackendId>,
}

impl Pool {
    /// Updates the pool from the complete list of servers. A server that is missing from the list is removed once it
    /// has been missing for the grace period `grace`.
    pub fn update(&mut self, now: Millis, list: Vec<Backend>, grace: Millis) -> Changes {
        let mut changes = Changes::default();
        let listed: HashSet<BackendId> = list.iter().map(|backend| backend.id.clone()).collect();
        for backend in list {
            self.insert(now, backend, &mut changes);
        }
        for (id, entry) in &mut self.entries {
            entry.replaced_until = Millis::ZERO;
            if !listed.contains(id) && entry.missing_until.is_none() {
                entry.missing_until = Some(now + grace);
                changes.missing.push(id.clone());
            }
        }
        changes.removed = self.expire(now);
        changes
    }

    /// Removes the missing servers whose grace period has ended, and returns their ids.
    pub fn expire(&mut self, now: Millis) -> Vec<BackendId> {
        let is_expired = |entry: &Entry| entry.missing_until.is_some_and(|until| until <= now);
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry)).map(|(id, _)| id.clone()).collect();
        for entry in self.entries.values().filter(|entry| is_expired(entry) && !entry.tells_its_start()) {
            self.departures.remove(entry.server);
        }
        for entry in self.entries.values().filter(|entry| is_expired(entry)) {
            self.gone.record(now, &entry.backend);
        }
        self.entries.retain(|_, entry| !is_expired(entry));
        self.departures.expire(now, self.entries.values().map(|entry| entry.server));
        self.pauses.expire(now);
        expired
    }

    /// Records that servers have left, so that the next update removes them without a grace period.
    pub fn set_gone<'a>(&mut self, now: Millis, servers: impl IntoIterator<Item = &'a str>) {
        for id in servers {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.missing_until = Some(now);
            }
        }
    }

    /// Whether a server that an older copy of the list names has left since.
    pub fn has_left(&self, now: Millis, listed: &Backend) -> bool {
        self.gone.contains(now, listed)
    }

    fn insert(&mut self, now: Millis, backend: Backend, changes: &mut Changes) {
        self.gone.remove(&backend.id);
        let cold_until =
            if backend.cold_remaining == Millis::ZERO { Millis::ZERO } else { now + backend.cold_remaining };
        let existing = self.entries.get_mut(&backend.id).filter(|entry| entry.backend.started_at == backend.started_at);
        let Some(entry) = existing else {
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

    /// Replaces the set of evacuated failure domains, whose servers get no new requests.
    pub fn set_evacuated(&mut self, domains: impl IntoIterator<Item = DomainId>) {
        self.evacuated = domains.into_iter().collect();
    }

    /// Replaces the loads that the other routers have outstanding at each server.
    pub fn set_peer_loads(&mut self, loads: &HashMap<BackendId, Cost>) {
        for (id, entry) in &mut self.entries {
            entry.peer_load = loads.get(id).copied().unwrap_or(0.0);
        }
    }

    /// Replaces the numbers of requests that the other routers have outstanding at each server.
    pub fn set_peer_outstanding(&mut self, counts: &HashMap<BackendId, u32>) {
        for (id, entry) in &mut self.entries {
            entry.peer_outstanding = counts.get(id).copied().unwrap_or_default();
        }
    }

    /// Load and number of requests that this router has outstanding at each server; servers without load are left out.
    pub fn own_loads(&self) -> impl Iterator<Item = (&BackendId, Cost, u32)> {
        let loaded = self.entries.iter().filter(|(_, entry)| entry.load > 0.0);
        loaded.map(|(id, entry)| (id, entry.load, entry.outstanding))
    }

    /// Slots of all servers.
    pub fn slots(&self, now: Millis) -> Vec<ServerSlots> {
        let slots = |entry: &Entry| ServerSlots {
            id: entry.backend.id.clone(),
            service: entry.backend.service.clone(),
            slots: entry.backend.slots,
            in_service: self.is_in_service(now, entry),
            usable: entry.health.is_sound(now) && self.pauses.end(now, entry.server).is_none(),
            own: entry.outstanding,
        };
        self.entries.values().map(slots).collect()
    }

    /// Whether any server of `service` accepts new requests.
    pub fn has_available(&self, now: Millis, service: &ServiceName) -> bool {
        self.in_service(now, service).next().is_some()
    }

    /// Whether the pool has no servers.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of servers of `service` that run `version` and accept new requests.
    pub fn available_with_version(&self, now: Millis, service: &ServiceName, version: &VersionName) -> usize {
        self.in_service(now, service).filter(|entry| entry.backend.version == *version).count()
    }

    /// Number of this router's requests outstanding at servers of `service` that run other versions than `version`.
    pub fn outstanding_on_other_versions(&self, service: &ServiceName, version: &VersionName) -> u32 {
        let others = |entry: &&Entry| entry.backend.service == *service && entry.backend.version != *version;
        self.entries.values().filter(others).map(|entry| entry.outstanding).sum()
    }

    /// Whether the server still accepts new requests. Callers check this again right before a send.
    pub fn is_available(&self, now: Millis, backend: &Backend) -> bool {
        let entry = self.entries.get(&backend.id).filter(|entry| entry.backend.started_at == backend.started_at);
        entry.is_some_and(|entry| self.is_in_service(now, entry) && self.pauses.end(now, entry.server).is_none())
    }

    /// Records that `server` announced at `since` that it is shutting down. Returns whether that was not known.
    pub fn record_departure(&mut self, now: Millis, server: ServerId, since: Millis) -> bool {
        self.departures.record(now, server, since)
    }

    /// Latest announcements of servers that are shutting down, for the other routers. Servers that don't tell when they
    /// started are left out: a router that learns of the announcement late would mark their next incarnation.
    pub fn departures(&self, now: Millis) -> Vec<Departure> {
        let ambiguous: HashSet<ServerId> =
            self.entries.values().filter(|entry| !entry.tells_its_start()).map(|entry| entry.server).collect();
        let mut departures = self.departures.report(now);
        departures.retain(|departure| !ambiguous.contains(&departure.server));
        departures
    }

    /// Records that a version was found bad. Returns whether its servers were in use until now.
    pub fn withdraw(&mut self, withdrawal: Withdrawal) -> bool {
        self.withdrawn.withdraw(withdrawal)
    }

    /// Records that the operators ordered `version` at `place` of the store, which ends an earlier verdict on it.
    pub fn record_order(&mut self, service: &ServiceName, version: &VersionName, place: Place) {
        self.withdrawn.record_order(service, version, place);
    }

    /// Withdrawn versions of which servers are listed, for the other routers.
    pub fn withdrawals(&self) -> Vec<Withdrawal> {
        let is_listed = |withdrawal: &Withdrawal| {
            self.entries
                .values()
                .any(|entry| entry.backend.version == withdrawal.version && entry.backend.service == withdrawal.service)
        };
        self.withdrawn.iter().filter(is_listed).collect()
    }

    /// Id of an incarnation; none if it is not in the pool.
    pub fn id_of(&self, server: ServerId) -> Option<&BackendId> {
        self.entries.values().find(|entry| entry.server == server).map(|entry| &entry.backend.id)
    }

    /// Records that a server wants no request for `pause`, and returns the time at which its pause ends.
    pub fn record_pause(&mut self, now: Millis, backend: &Backend, pause: Millis) -> Millis {
        self.pauses.record(now, backend.server(), pause)
    }

    /// Selects a server and records the send, which `release` must end.
    pub fn choose(
        &mut self,
        now: Millis,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Result<(Arc<Backend>, SendId), Unavailable> {
        if !self.has_available(now, requirements.service) {
            return Err(Unavailable::NoneInService);
        }
        let mut first_end: Option<Millis> = None;
        let mut has_unpaused = false;
        let mut eligible: Vec<BackendId> = Vec::new();
        let in_service = self.in_service(now, requirements.service);
        for entry in in_service.filter(|entry| requirements.allows_version(&entry.backend)) {
            if let Some(end) = self.pauses.end(now, entry.server) {
                first_end = Some(first_end.map_or(end, |first| first.min(end)));
                continue;
            }
            has_unpaused = true;
            if !requirements.tried.contains(&entry.backend.id) {
                eligible.push(entry.backend.id.clone());
            }
        }
        if eligible.is_empty() {
            let until = first_end.filter(|_| !has_unpaused);
            return Err(until.map_or(Unavailable::AllTried, |until| Unavailable::Paused { until }));
        }
        let within_limit: Vec<BackendId> =
            eligible.into_iter().filter(|id| self.is_within_cold_limit(now, id, requirements)).collect();
        if within_limit.is_empty() {
            return Err(Unavailable::Cold);
        }
        let healthy: Vec<BackendId> =
            within_limit.iter().filter(|id| self.entries[*id].is_healthy(now)).cloned().collect();
        let mut candidates = if healthy.is_empty() { within_limit } else { healthy };
        if requirements.fills_servers {
            self.keep_loaded(&mut candidates);
        }
        if requirements.avoids_full && candidates.iter().any(|id| self.entries[id].has_free_slot()) {
            candidates.retain(|id| self.entries[id].has_free_slot());
        }
        let id = self.best_candidate(now, &candidates, requirements, rng);
        let entry = self.entries.get_mut(&id).expect("the selected server is in the pool");
        entry.sends.record(now);
        entry.health.record_probe(now);
        entry.outstanding += 1;
        entry.load += requirements.cost;
        self.last_send += 1;
        let send = SendId(self.last_send);
        entry.unanswered.push((send, now + requirements.overdue_after));
        Ok((Arc::clone(&entry.backend), send))
    }

    /// Like `choose`, but only among the healthy warm servers whose load is not above the mean of the service's servers.
    pub fn choose_spare(
        &mut self,
        now: Millis,
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Result<(Arc<Backend>, SendId), Unavailable> {
        let load = |entry: &Entry| entry.load + entry.peer_load;
        let (sum, count) = self
            .in_service(now, requirements.service)
            .fold((0.0, 0), |(sum, count), entry| (sum + load(entry), count + 1));
        let limit = sum / f64::from(count.max(1)) + LOAD_TOLERANCE;
        let is_spare = |entry: &&Entry| load(entry) <= limit && entry.is_healthy(now) && entry.cold_until <= now;
        let others = self.in_service(now, requirements.service).filter(|entry| !is_spare(entry));
        let mut excluded: Vec<BackendId> = others.map(|entry| entry.backend.id.clone()).collect();
        excluded.extend_from_slice(requirements.tried);
        self.choose(now, &Requirements { tried: &excluded, ..*requirements }, rng)
    }

    /// Records that the response to a send has started.
    pub fn record_response(&mut self, backend: &Backend, send: SendId) {
        if let Some(entry) = self.entry_mut(backend) {
            entry.unanswered.retain(|(other, _)| *other != send);
        }
    }

    /// Ends a send that `choose` recorded, and takes its load off the server.
    pub fn release(&mut self, backend: &Backend, send: SendId, cost: Cost) {
        if let Some(entry) = self.entry_mut(backend) {
            entry.unanswered.retain(|(other, _)| *other != send);
            entry.outstanding = entry.outstanding.saturating_sub(1);
            entry.load = if entry.outstanding == 0 { 0.0 } else { (entry.load - cost).max(0.0) };
        }
    }

    /// Records the result of a send in the health of the server.
    pub fn record_outcome(&mut self, now: Millis, backend: &Backend, outcome: Outcome) {
        if let Some(entry) = self.entry_mut(backend) {
            entry.health.record_outcome(now, outcome);
        }
    }

    /// Records that something took a server `ratio` times the usual time. Returns the factor on its load if this shows that
    /// the server has become slow. A cold server is slow for another reason.
    pub fn record_pace(&mut self, now: Millis, backend: &Backend, ratio: f64) -> Option<f64> {
        let entry = self.entry_mut(backend).filter(|entry| entry.cold_until <= now)?;
        entry.pace.record(now, ratio);
        let (pace, was_slow) = (entry.pace, entry.is_slow);
        let factor = if pace.may_be_slow() { self.baseline(now, &backend.service).factor(&pace) } else { 1.0 };
        self.entry_mut(backend)?.is_slow = factor > 1.0;
        (factor > 1.0 && !was_slow).then_some(factor)
    }

    /// Leaves an incarnation of a server out after another server has refused a request at its address, which `_proof` shows.
    /// It is left out for `REPLACED_TIME`, or until the next update of the list if that comes first. Returns the time at which
    /// this ends; none if the list names another incarnation or address by now.
    pub fn remove_replaced(&mut self, now: Millis, backend: &Backend, _proof: &NotRun) -> Option<Millis> {
        let entry = self.entry_mut(backend).filter(|entry| entry.backend.address == backend.address)?;
        entry.replaced_until = now + REPLACED_TIME;
        Some(entry.replaced_until)
    }

    /// Records that a server has reported that it stays cold for `remaining`.
    pub fn record_cold(&mut self, now: Millis, backend: &Backend, remaining: Millis) {
        if let Some(entry) = self.entry_mut(backend) {
            entry.cold_until = now + remaining;
        }
    }

    fn entry_mut(&mut self, backend: &Backend) -> Option<&mut Entry> {
        self.entries.get_mut(&backend.id).filter(|entry| entry.backend.started_at == backend.started_at)
    }

    fn in_service(&self, now: Millis, service: &ServiceName) -> impl Iterator<Item = &Entry> {
        let is_in_service = move |entry: &&Entry| entry.backend.service == *service && self.is_in_service(now, entry);
        self.entries.values().filter(is_in_service)
    }

    fn is_in_service(&self, now: Millis, entry: &Entry) -> bool {
        !entry.backend.draining
            && now >= entry.replaced_until
            && !self.evacuated.contains(&entry.backend.domain)
            && !self.departures.contains(entry.server)
            && !self.withdrawn.contains(&entry.backend.service, &entry.backend.version)
    }

    fn is_within_cold_limit(&mut self, now: Millis, id: &BackendId, requirements: &Requirements<'_>) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if requirements.cold_per_second <= 0.0 || entry.cold_until <= now {
            return true;
        }
        entry.sends.count(now)
            < rate::cold_send_limit(requirements.cold_per_second * COLD_LIMIT_USAGE, requirements.routers)
    }

    /// Keeps the candidate that the trial of its version loads. All routers rank them in the same order.
    fn keep_loaded(&self, candidates: &mut Vec<BackendId>) {
        candidates.sort_by_key(|id| stable_hash(&[id.as_str()]));
        let load = |id: &BackendId| {
            let entry = &self.entries[id];
            (entry.backend.slots, entry.load + entry.peer_load)
        };
        let ranked: Vec<(u32, f64)> = candidates.iter().map(load).collect();
        if let Some(index) = stage::first_with_room(&ranked) {
            *candidates = vec![candidates.swap_remove(index)];
        }
    }

    fn best_candidate(
        &self,
        now: Millis,
        candidates: &[BackendId],
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> BackendId {
        let median = self.median_slowness(candidates);
        let baseline = self.baseline(now, requirements.service);
        let mut loads: Vec<(f64, &BackendId)> =
            candidates.iter().map(|id| (self.entries[id].load(requirements, median, &baseline), id)).collect();
        let mean = loads.iter().map(|(load, _)| load).sum::<f64>() / loads.len() as f64;
        let limit = mean * AFFINITY_LOAD_FACTOR + AFFINITY_SLACK.max(requirements.cost);
        if let Some(prefix) = requirements.shared_prefix {
            let hash = prefix.hash.to_string();
            let weight = |id: &BackendId| stable_hash(&[id.as_str(), &hash]);
            let must_cross = |id: &BackendId| {
                prefix.tokens < MIN_PREFIX_TO_CROSS && self.entries[id].backend.domain != *requirements.domain
            };
            let within_limit = loads.iter().filter(|(load, _)| *load <= limit);
            let preferred = within_limit.min_by_key(|(_, id)| (must_cross(id), Reverse(weight(id))));
            if let Some((_, id)) = preferred {
                return (*id).clone();
            }
        }
        for (load, _) in &mut loads {
            *load += rng.random_range(0.0..0.1);
        }
        let least_loaded = loads.iter().min_by(|a, b| a.0.total_cmp(&b.0));
        least_loaded.expect("there are candidates").1.clone()
    }

    fn baseline(&self, now: Millis, service: &ServiceName) -> Baseline {
        Baseline::new(now, self.in_service(now, service).map(|entry| &entry.pace))
    }

    fn median_slowness(&self, candidates: &[BackendId]) -> f64 {
        let mut values: Vec<f64> = candidates.iter().filter_map(|id| self.entries[id].health.slowness()).collect();
        if values.is_empty() {
            return 1.0;
        }
        values.sort_by(f64::total_cmp);
        values[values.len() / 2].max(f64::MIN_POSITIVE)
    }
}

impl Requirements<'_> {
    fn allows_version(&self, backend: &Backend) -> bool {
        self.version.is_none_or(|version| backend.version == *version)
            && self.excluded_version.is_none_or(|version| backend.version != *version)
    }
}

impl Entry {
    fn new(backend: Backend, cold_until: Millis) -> Self {
        Self {
            server: backend.server(),
            backend: Arc::new(backend),
            cold_until,
            missing_until: None,
            replaced_until: Millis::ZERO,
            outstanding: 0,
            load: 0.0,
            peer_load: 0.0,
            peer_outstanding: 0,
            sends: RecentSends::default(),
            unanswered: Vec::new(),
            health: Health::default(),
            pace: RecentPace::default(),
            is_slow: false,
        }
    }

    /// Whether the server's entry tells when it started, so that its incarnations can be told apart.
    fn tells_its_start(&self) -> bool {
        self.backend.started_at != 0
    }

    /// Whether the server shows no sign of trouble. A server with an overdue response may be unresponsive, and its
    /// outstanding requests would fail only at their deadlines.
    fn is_healthy(&self, now: Millis) -> bool {
        self.health.is_usable(now) && self.unanswered.iter().all(|(_, overdue)| now < *overdue)
    }

    fn has_free_slot(&self) -> bool {
        self.outstanding.saturating_add(self.peer_outstanding) < self.backend.slots
    }

    fn load(&self, requirements: &Requirements<'_>, median_slowness: f64, baseline: &Baseline) -> f64 {
        let factor = self.health.slowness().map_or(1.0, |slowness| slowness / median_slowness);
        let factor = if factor > SLOW_FACTOR { factor } else { 1.0 };
        let factor = factor.max(baseline.factor(&self.pace));
        let remote = if self.backend.domain == *requirements.domain { 0.0 } else { REMOTE_DOMAIN_LOAD };
        (self.load + self.peer_load + requirements.cost) * factor + remote
    }
}
