//! Advances and stops rollouts, based on the answer counters that this router has as a shard owner.
//!
//! The controller has no durable state: the step and phase are part of the configuration, and routers
//! report their counters again to the next owner. Each change is committed under a submission id made
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

/// Maximum interval between two evaluations of all rollouts.
const MAX_EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between two evaluations of all rollouts.
const MIN_EVALUATION_INTERVAL: Duration = Duration::from_millis(20);
/// Criteria for a finished rollout whose plan the operators have removed from the manifest.
const DEFAULT_CRITERIA: Criteria = Criteria { good_error_rate: 0.005, bad_error_rate: 0.05 };

/// Starts the task that evaluates rollouts.
pub fn spawn(router: Router) {
    tokio::spawn(async move {
        let mut monitors = HashMap::default();
        loop {
            let _ = timeout(MAX_EVALUATION_INTERVAL, router.answer_counters.report_received()).await;
            evaluate_rollouts(&router, &mut monitors).await;
            sleep(MIN_EVALUATION_INTERVAL).await;
        }
    });
}

/// Monitor of one rollout and the step that it is in.
#[derive(Default)]
struct RolloutMonitor {
    monitor: Monitor,
    step: u32,
}

/// Evaluates the rollouts of all models whose shard this router owns, and commits the changes.
async fn evaluate_rollouts(router: &Router, monitors: &mut HashMap<RolloutKey, RolloutMonitor>) {
    let current = router.config.current();
    let watched: HashMap<&RolloutKey, &RolloutStatus> =
        current.monitored_rollouts().filter(|(key, _)| router.answer_counters.owns_model(&key.model)).collect();
    monitors.retain(|key, _| watched.contains_key(key));
    for (key, status) in watched {
        let monitor = monitors.entry(key.clone()).or_default();
        let verdict = monitor.observe(router, &current, key, status);
        let Some(change) = Change::from_verdict(verdict, &current, key, status) else { continue };
        match commit_change(router, key, status, &change).await {
            Ok(Commit::Done { revision, .. }) => {
                event!(Warn, "rollout_changed", rollout = key, change = change.name(), revision = revision);
            }
            Ok(Commit::Conflict { .. }) => {}
            Err(err) => event!(Warn, "rollout_change_failed", rollout = key, error = format!("{err:#}")),
        }
    }
}

impl RolloutMonitor {
    /// Passes the current counters of the version and its baseline to the monitor. At a new step the
    /// monitor's step begins again.
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
        let version = router.answer_counters.totals(&key.model, &key.version);
        let baseline = router.answer_counters.totals(&key.model, &status.baseline);
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
    /// The change that `verdict` requires, if any.
    fn from_verdict(verdict: Verdict, config: &Config, key: &RolloutKey, status: &RolloutStatus) -> Option<Self> {
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

    /// Name of the change in submission ids and log events.
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

/// Commits `change` unless the status of the rollout is no longer `expected`.
async fn commit_change(router: &Router, key: &RolloutKey, expected: &RolloutStatus, change: &Change) -> Result<Commit> {
    let submission = format!("rollout-{}-{}-{}-{}", key.model, key.version, expected.step, change.name());
    let edit = |config: &mut Config| {
        let Some(status) = config.rollouts.get_mut(key) else {
            bail!("could not change rollout {key}: it no longer exists")
        };
        if status != expected {
            bail!("could not change rollout {key}: its status has changed");
        }
        change.apply(status);
        Ok(())
    };
    config::commit(router, &submission, None, &edit).await
}
