//! Answer counters per version, reported to the router that owns the model's shard.
//!
//! Versions in rollout and their baselines are reported every second, and shortly after an error;
//! other versions are reported every ten seconds, for the quality estimates. The owner replies with
//! the totals of all routers.

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

/// Minimum interval between two reports; a report triggered by an error follows within this time.
const ERROR_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between two reports of the versions in rollout.
const ROLLOUT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Versions that are not in rollout are included in every tenth report.
const FULL_REPORT_EVERY: u32 = 10;
/// Timeout of a report call. A lost report is not retried, since the next one carries the same totals.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to the first token above which an answer counts as slow if the model has no rollout plan.
const SLOW_AFTER: Millis = Millis(1_100);

type Key = (ModelName, VersionName);

/// Shared handle on the answer counters of all versions.
#[derive(Clone)]
pub struct AnswerCounters {
    id: HostId,
    incarnation: Incarnation,
    config: ConfigHandle,
    shards: Shards,
    members: Members,
    state: Arc<Mutex<State>>,
    /// Notified when this router records an error of a version in rollout or of its baseline.
    error_recorded: Arc<Notify>,
    /// Notified when the merged counters may have changed.
    report_received: Arc<Notify>,
}

#[derive(Default)]
struct State {
    /// Counters of the answers that this router handled.
    own: HashMap<Key, Counters>,
    /// Counters reported by all routers, for the shards that this router owns.
    merged: MergedCounters,
    /// Totals of all routers, as returned by the owners of the other shards.
    totals: HashMap<Key, Counters>,
}

/// Outcome of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSample {
    /// Whether the backend server failed the request.
    pub error: bool,
    /// Time to the first token; none if no token arrived.
    pub first_token: Option<Millis>,
}

impl AnswerCounters {
    /// Creates the component with all counters at zero.
    pub fn open(id: HostId, incarnation: Incarnation, config: ConfigHandle, shards: Shards, members: Members) -> Self {
        Self {
            id,
            incarnation,
            config,
            shards,
            members,
            state: Arc::default(),
            error_recorded: Arc::default(),
            report_received: Arc::default(),
        }
    }

    /// Starts the task that reports the counters.
    pub fn spawn(&self) {
        let answer_counters = self.clone();
        tokio::spawn(async move {
            for round in 0u32.. {
                let started = Instant::now();
                answer_counters.report_counters(round % FULL_REPORT_EVERY == 0).await;
                sleep_until(started + ERROR_REPORT_INTERVAL).await;
                tokio::select! {
                    () = answer_counters.error_recorded.notified() => {}
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
        self.add_own(model, version, added);
        if sample.error && rollout_versions(&self.config.current()).contains(&(model.clone(), version.clone())) {
            self.error_recorded.notify_one();
        }
    }

    /// Counts a rating of an answer.
    pub fn record_rating(&self, model: &ModelName, version: &VersionName, good: bool) {
        self.add_own(model, version, Counters { rated: 1, rated_low: u64::from(!good), ..Counters::default() });
    }

    /// Totals of all routers for a version, as far as this router knows them.
    pub fn totals(&self, model: &ModelName, version: &VersionName) -> Counters {
        let key = (model.clone(), version.clone());
        let state = self.lock();
        let counters_in = |map: &HashMap<Key, Counters>| map.get(&key).copied().unwrap_or_default();
        state.merged.totals(model, version).max(counters_in(&state.totals)).max(counters_in(&state.own))
    }

    /// Whether this router owns the shard of `model` and so evaluates the model's versions.
    pub fn owns_model(&self, model: &ModelName) -> bool {
        self.shards.owns(self.shards.shard_of(&shard_key(model)))
    }

    /// Waits until another report arrives or this router reports its own counters.
    pub async fn report_received(&self) {
        self.report_received.notified().await;
    }

    /// Merges another router's report and replies with the totals of the reported versions. If this
    /// router does not own the shard of a reported model, the reply names the owner known to this router.
    pub fn receive(&self, report: &ReportRequest) -> ReportReply {
        let reporter = Incarnation(report.incarnation);
        let (owned, not_owned): (Vec<_>, Vec<_>) =
            report.counters.iter().partition(|counters| self.owns_model(&counters.model.as_str().into()));
        let mut state = self.lock();
        for counters in &owned {
            let (key, value) = from_wire(counters);
            state.merged.merge(&key.0, &key.1, reporter, value);
        }
        let totals = owned.iter().map(|counters| {
            let (key, _) = from_wire(counters);
            to_wire(&key, state.merged.totals(&key.0, &key.1))
        });
        let totals = totals.collect();
        drop(state);
        self.report_received.notify_one();
        let not_owner = not_owned.first().map(|counters| {
            let shard = self.shards.shard_of(&shard_key(&counters.model.as_str().into()));
            NotOwner { known: self.shards.owner(shard) }
        });
        ReportReply { not_owner, totals }
    }

    /// Reports this router's counters to the shard owners: those of all versions if `full`, otherwise
    /// only those of the versions in rollout and their baselines.
    async fn report_counters(&self, full: bool) {
        let config = self.config.current();
        let in_rollout = rollout_versions(&config);
        let mut by_owner: HashMap<String, (ShardOwner, Vec<VersionCounters>)> = HashMap::default();
        {
            let mut state = self.lock();
            state.merged.retain(|model, _| config.manifest.models.contains_key(model));
            let own: Vec<(Key, Counters)> = state.own.iter().map(|(key, counters)| (key.clone(), *counters)).collect();
            for (key, counters) in own {
                if self.owns_model(&key.0) {
                    state.merged.merge(&key.0, &key.1, self.incarnation, counters);
                } else if (full || in_rollout.contains(&key))
                    && let Some(owner) = self.shards.owner(self.shards.shard_of(&shard_key(&key.0)))
                {
                    let entry = by_owner.entry(owner.address.clone()).or_insert((owner, Vec::new()));
                    entry.1.push(to_wire(&key, counters));
                }
            }
        }
        self.report_received.notify_one();
        let reports = by_owner.into_values().map(|(owner, counters)| self.report_to(owner, counters));
        futures::future::join_all(reports).await;
    }

    async fn report_to(&self, owner: ShardOwner, counters: Vec<VersionCounters>) {
        let peer = owner.address.clone();
        match self.call_report(owner, counters).await {
            Ok(totals) => self.merge_totals(&totals),
            Err(err) => event!(Debug, "report_failed", peer = peer, error = format!("{err:#}")),
        }
    }

    /// Calls `Report` at `owner` and returns the totals in its reply.
    async fn call_report(&self, owner: ShardOwner, counters: Vec<VersionCounters>) -> Result<Vec<VersionCounters>> {
        let address = owner.address.parse().wrap_err_with(|| format!("could not report to {:?}", owner.address))?;
        let (channel, credential) = self.members.channel(address);
        let mut client = PeerClient::with_interceptor(channel, credential);
        let req = ReportRequest { router: self.id.to_string(), incarnation: self.incarnation.0, counters };
        let reply = timeout(REPORT_TIMEOUT, client.report(req)).await;
        let reply =
            reply.wrap_err("call timed out")?.wrap_err_with(|| format!("could not report to {address}"))?.into_inner();
        if let Some(NotOwner { known: Some(known) }) = reply.not_owner {
            self.shards.record_owners(&[known]);
        }
        Ok(reply.totals)
    }

    fn merge_totals(&self, totals: &[VersionCounters]) {
        let mut state = self.lock();
        for counters in totals {
            let (key, value) = from_wire(counters);
            let known = state.totals.entry(key).or_default();
            *known = known.max(value);
        }
    }

    fn add_own(&self, model: &ModelName, version: &VersionName, added: Counters) {
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

/// Versions whose rollout is monitored, and their baselines.
fn rollout_versions(config: &Config) -> HashSet<Key> {
    let watched = config.monitored_rollouts();
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
        ..Counters::default()
    };
    ((counters.model.as_str().into(), counters.version.as_str().into()), value)
}
