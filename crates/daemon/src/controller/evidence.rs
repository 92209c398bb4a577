//! Counters of the answers of each version, reported to the owner of the model's shard.
//!
//! Versions in rollout and their baselines are reported every second, and soon after an error; the
//! others every ten seconds, for the quality estimates. The owner returns the fleet's totals.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use eelgrasswell_core::{
    answer_counters::{Counters, MergedCounters},
    hash::{HashMap, HashSet},
    id::{HostId, Incarnation, ModelName, VersionName},
    unit::Millis,
};
use eelgrasswell_manifest::config::Config;
use eelgrasswell_proto::v1::{
    NotOwner, ReportReply, ReportRequest, ShardOwner, VersionCounters, peer_client::PeerClient,
};
use eyre::{Result, WrapErr};
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until, timeout},
};

use super::{membership::Members, shards::Shards};
use crate::{config::ConfigHandle, event};

/// Least time between two reports; a report follows an error this soon.
const ERROR_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two reports of versions in rollout.
const ROLLOUT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Reports of the versions that are not in rollout go with every tenth one.
const FULL_REPORT_EVERY: u32 = 10;
/// Time after which a report counts as lost; the next one carries the same totals.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to the first token above which an answer counts as slow when no rollout names another.
const SLOW_AFTER: Millis = Millis(1_100);

type Key = (ModelName, VersionName);

/// Shared handle on the evidence.
#[derive(Clone)]
pub struct Evidence {
    id: HostId,
    incarnation: Incarnation,
    config: ConfigHandle,
    shards: Shards,
    members: Members,
    state: Arc<Mutex<State>>,
    error: Arc<Notify>,
    received: Arc<Notify>,
}

#[derive(Default)]
struct State {
    /// Counted by this router.
    own: HashMap<Key, Counters>,
    /// Reported by all routers, for the shards that this router owns.
    board: MergedCounters,
    /// Fleet totals returned by the owners of the other shards.
    totals: HashMap<Key, Counters>,
}

/// What came of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSample {
    /// Whether the backend server failed it.
    pub error: bool,
    /// Time to the first token, if there was one.
    pub first_token: Option<Millis>,
}

impl Evidence {
    /// Starts with counters of zero.
    pub fn open(id: HostId, incarnation: Incarnation, config: ConfigHandle, shards: Shards, members: Members) -> Self {
        Self {
            id,
            incarnation,
            config,
            shards,
            members,
            state: Arc::default(),
            error: Arc::default(),
            received: Arc::default(),
        }
    }

    /// Starts reporting.
    pub fn spawn(&self) {
        let evidence = self.clone();
        tokio::spawn(async move {
            for round in 0u32.. {
                let started = Instant::now();
                evidence.report(round % FULL_REPORT_EVERY == 0).await;
                sleep_until(started + ERROR_REPORT_INTERVAL).await;
                tokio::select! {
                    () = evidence.error.notified() => {}
                    () = sleep_until(started + ROLLOUT_REPORT_INTERVAL) => {}
                }
            }
        });
    }

    /// Counts an answer.
    pub fn record(&self, model: &ModelName, version: &VersionName, sample: AnswerSample) {
        let slow = sample.first_token.is_some_and(|time| time > self.slow_after(model));
        let added =
            Counters { answers: 1, errors: u64::from(sample.error), slow: u64::from(slow), ..Counters::default() };
        self.add(model, version, added);
        if sample.error && in_rollout(&self.config.current()).contains(&(model.clone(), version.clone())) {
            self.error.notify_one();
        }
    }

    /// Counts a rating of an answer.
    pub fn record_rating(&self, model: &ModelName, version: &VersionName, good: bool) {
        self.add(model, version, Counters { rated: 1, rated_low: u64::from(!good), ..Counters::default() });
    }

    /// Totals of the fleet for a version, as far as this router knows.
    pub fn totals(&self, model: &ModelName, version: &VersionName) -> Counters {
        let key = (model.clone(), version.clone());
        let state = self.lock();
        let known = |map: &HashMap<Key, Counters>| map.get(&key).copied().unwrap_or_default();
        state.board.totals(model, version).max(known(&state.totals)).max(known(&state.own))
    }

    /// Whether this router judges the versions of `model`.
    pub fn judges(&self, model: &ModelName) -> bool {
        self.shards.owns(self.shards.shard_of(&shard_key(model)))
    }

    /// Waits until another report has come in.
    pub async fn received(&self) {
        self.received.notified().await;
    }

    /// Takes in another router's report; names the owner when this router does not own the shard.
    pub fn receive(&self, report: &ReportRequest) -> ReportReply {
        let reporter = Incarnation(report.incarnation);
        let (owned, other): (Vec<_>, Vec<_>) =
            report.counters.iter().partition(|counters| self.judges(&counters.model.as_str().into()));
        let mut state = self.lock();
        for counters in &owned {
            let (key, value) = from_wire(counters);
            state.board.merge(&key.0, &key.1, reporter, value);
        }
        let totals = owned.iter().map(|counters| {
            let (key, _) = from_wire(counters);
            to_wire(&key, state.board.totals(&key.0, &key.1))
        });
        let totals = totals.collect();
        drop(state);
        self.received.notify_one();
        let not_owner = other.first().map(|counters| {
            let shard = self.shards.shard_of(&shard_key(&counters.model.as_str().into()));
            NotOwner { known: self.shards.owner(shard) }
        });
        ReportReply { not_owner, totals }
    }

    async fn report(&self, full: bool) {
        let config = self.config.current();
        let wanted = in_rollout(&config);
        let mut by_owner: HashMap<String, (ShardOwner, Vec<VersionCounters>)> = HashMap::default();
        {
            let mut state = self.lock();
            state.board.retain(|model, _| config.manifest.models.contains_key(model));
            let own: Vec<(Key, Counters)> = state.own.iter().map(|(key, counters)| (key.clone(), *counters)).collect();
            for (key, counters) in own {
                if self.judges(&key.0) {
                    state.board.merge(&key.0, &key.1, self.incarnation, counters);
                } else if (full || wanted.contains(&key))
                    && let Some(owner) = self.shards.owner(self.shards.shard_of(&shard_key(&key.0)))
                {
                    let entry = by_owner.entry(owner.address.clone()).or_insert((owner, Vec::new()));
                    entry.1.push(to_wire(&key, counters));
                }
            }
        }
        self.received.notify_one();
        let sends = by_owner.into_values().map(|(owner, counters)| self.send(owner, counters));
        futures::future::join_all(sends).await;
    }

    async fn send(&self, owner: ShardOwner, counters: Vec<VersionCounters>) {
        let peer = owner.address.clone();
        match self.exchange(owner, counters).await {
            Ok(totals) => self.learn(&totals),
            Err(err) => event!(Debug, "report_failed", peer = peer, error = format!("{err:#}")),
        }
    }

    async fn exchange(&self, owner: ShardOwner, counters: Vec<VersionCounters>) -> Result<Vec<VersionCounters>> {
        let address = owner.address.parse().wrap_err_with(|| format!("could not report to {:?}", owner.address))?;
        let (channel, present) = self.members.channel(address);
        let mut client = PeerClient::with_interceptor(channel, present);
        let req = ReportRequest { router: self.id.to_string(), incarnation: self.incarnation.0, counters };
        let reply = timeout(REPORT_TIMEOUT, client.report(req)).await;
        let reply =
            reply.wrap_err("timed out")?.wrap_err_with(|| format!("could not report to {address}"))?.into_inner();
        if let Some(NotOwner { known: Some(known) }) = reply.not_owner {
            self.shards.learn_owners(&[known]);
        }
        Ok(reply.totals)
    }

    fn learn(&self, totals: &[VersionCounters]) {
        let mut state = self.lock();
        for counters in totals {
            let (key, value) = from_wire(counters);
            let known = state.totals.entry(key).or_default();
            *known = known.max(value);
        }
    }

    fn add(&self, model: &ModelName, version: &VersionName, added: Counters) {
        let mut state = self.lock();
        let counters = state.own.entry((model.clone(), version.clone())).or_default();
        *counters = counters.plus(added);
    }

    fn slow_after(&self, model: &ModelName) -> Millis {
        let config = self.config.current();
        let plan = config.manifest.models.get(model).and_then(|model| model.rollout.as_ref());
        plan.map_or(SLOW_AFTER, |plan| plan.slow_after)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Versions whose rollout is watched, with their baselines.
fn in_rollout(config: &Config) -> HashSet<Key> {
    let watched = config.watched_rollouts();
    let keys = watched.flat_map(|(key, status)| {
        [(key.model.clone(), key.version.clone()), (key.model.clone(), status.baseline.clone())]
    });
    keys.collect()
}

fn shard_key(model: &ModelName) -> String {
    format!("rollout/{model}")
}

fn to_wire(key: &Key, counters: Counters) -> VersionCounters {
    VersionCounters {
        model: key.0.to_string(),
        version: key.1.to_string(),
        answers: counters.answers,
        errors: counters.errors,
        slow: counters.slow,
        rated: counters.rated,
        rated_low: counters.rated_low,
    }
}

fn from_wire(counters: &VersionCounters) -> (Key, Counters) {
    let value = Counters {
        answers: counters.answers,
        errors: counters.errors,
        slow: counters.slow,
        rated: counters.rated,
        rated_low: counters.rated_low,
    };
    ((counters.model.as_str().into(), counters.version.as_str().into()), value)
}
