//! Steps and stops rollouts by the evidence that this router holds as a shard owner.
//!
//! The controller keeps nothing that must last: the step and phase are part of the configuration,
//! and the counters are reported anew to the next owner. Each change is committed under an id made
//! of the rollout, the step and the action, so that two owners cannot apply it twice.

use std::time::Duration;

use eelgrasswell_core::{
    hash::HashMap,
    rollout::{Criteria, Monitor, Verdict},
    unit::Millis,
};
use eelgrasswell_manifest::config::{Config, RolloutKey, RolloutPhase, RolloutStatus};
use eyre::{Result, bail};
use tokio::time::{sleep, timeout};

use super::config::{self, Commit};
use crate::{event, router::Router};

/// Longest time between two judgements.
const JUDGE_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two judgements.
const LEAST_INTERVAL: Duration = Duration::from_millis(20);
/// Criteria of a finished rollout whose plan the operators have removed.
const DEFAULT_CRITERIA: Criteria = Criteria { good_error_rate: 0.005, bad_error_rate: 0.05 };

/// Starts the controller.
pub fn spawn(router: Router) {
    tokio::spawn(async move {
        let mut monitors = HashMap::default();
        loop {
            let _ = timeout(JUDGE_INTERVAL, router.evidence.received()).await;
            judge_all(&router, &mut monitors).await;
            sleep(LEAST_INTERVAL).await;
        }
    });
}

/// Judgement of one rollout, started anew at each step.
#[derive(Default)]
struct Judge {
    monitor: Monitor,
    step: u32,
}

async fn judge_all(router: &Router, judges: &mut HashMap<RolloutKey, Judge>) {
    let current = router.config.current();
    let watched: HashMap<&RolloutKey, &RolloutStatus> =
        current.watched_rollouts().filter(|(key, _)| router.evidence.judges(&key.model)).collect();
    judges.retain(|key, _| watched.contains_key(key));
    for (key, status) in watched {
        let judge = judges.entry(key.clone()).or_default();
        let verdict = judge.observe(router, &current, key, status);
        let Some(change) = Change::of(verdict, &current, key, status) else { continue };
        match commit(router, key, status, &change).await {
            Ok(Commit::Done { revision, .. }) => {
                event!(Warn, "rollout_changed", rollout = key, change = change.name(), revision = revision);
            }
            Ok(Commit::Conflict { .. }) => {}
            Err(err) => event!(Warn, "rollout_change_failed", rollout = key, error = format!("{err:#}")),
        }
    }
}

impl Judge {
    fn observe(&mut self, router: &Router, config: &Config, key: &RolloutKey, status: &RolloutStatus) -> Verdict {
        let now = router.clock.now();
        if self.step != status.step {
            self.step = status.step;
            self.monitor.begin_step(now);
        }
        let plan = config.manifest.models.get(&key.model).and_then(|model| model.rollout.as_ref());
        let criteria = plan.map_or(DEFAULT_CRITERIA, |plan| Criteria {
            good_error_rate: plan.good_error_rate,
            bad_error_rate: plan.bad_error_rate,
        });
        let step_time = plan.map_or(Millis::ZERO, |plan| plan.step_time);
        let version = router.evidence.totals(&key.model, &key.version);
        let baseline = router.evidence.totals(&key.model, &status.baseline);
        self.monitor.observe(now, criteria, step_time, version, baseline)
    }
}

/// A change to the state of a rollout.
#[derive(Clone, Debug)]
enum Change {
    Step { step: u32, permille: u32 },
    Finish,
    Stop { reason: String },
}

impl Change {
    fn of(verdict: Verdict, config: &Config, key: &RolloutKey, status: &RolloutStatus) -> Option<Self> {
        match verdict {
            Verdict::Wait => None,
            Verdict::Stop(criterion) => Some(Self::Stop { reason: criterion.to_string() }),
            Verdict::Advance if status.phase != RolloutPhase::Running => None,
            Verdict::Advance => {
                let plan = config.manifest.models.get(&key.model)?.rollout.as_ref()?;
                let step = status.step + 1;
                let next = plan.steps_permille.get(step as usize);
                Some(next.map_or(Self::Finish, |permille| Self::Step { step, permille: *permille }))
            }
        }
    }

    fn name(&self) -> String {
        match self {
            Self::Step { step, .. } => format!("step-{step}"),
            Self::Finish => "finish".to_owned(),
            Self::Stop { reason } => format!("stop-{reason}"),
        }
    }

    fn apply(&self, status: &mut RolloutStatus) {
        match self {
            Self::Step { step, permille } => {
                status.step = *step;
                status.permille = *permille;
            }
            Self::Finish => {
                status.permille = 1000;
                status.phase = RolloutPhase::Finished;
            }
            Self::Stop { reason } => {
                status.permille = 0;
                status.phase = RolloutPhase::Stopped;
                status.reason = reason.as_str().into();
            }
        }
    }
}

async fn commit(router: &Router, key: &RolloutKey, seen: &RolloutStatus, change: &Change) -> Result<Commit> {
    let submission = format!("rollout-{}-{}-{}-{}", key.model, key.version, seen.step, change.name());
    let edit = |config: &mut Config| {
        let Some(status) = config.rollouts.get_mut(key) else { bail!("rollout {key} is gone") };
        if status != seen {
            bail!("rollout {key} has changed");
        }
        change.apply(status);
        Ok(())
    };
    config::commit(router, &submission, None, &edit).await
}
