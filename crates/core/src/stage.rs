//! Stages of a rollout, and the evidence that the new version collects in each of them.
//!
//! The pattern is a version that is sound while it has few requests and fails under load. What it answered with a small
//! share says nothing about a larger one, and what it answered for one kind of request says nothing about another.
//! Therefore a rollout leaves a stage only with answers that were given in that stage ([`StageEvidence::suffices`]), and
//! until then its servers get requests one after the other ([`first_with_room`]), so that the first ones are under load.
//! Model engines are left out of that: they are the slower the more requests they have, and would look like a slow version.

use crate::request_kind::{CountersByKind, RequestKind};

/// Answers of the new version in a stage after which the rollout may leave it.
const MIN_STAGE_ANSWERS: u64 = 8;
/// Answers of the new version with all requests after which the rollout may be completed, which can't be undone.
const MIN_FULL_ANSWERS: u64 = 30;
/// Answers among these for each kind of request that is in use.
const MIN_FULL_ANSWERS_OF_KIND: u64 = 8;
/// Answers of the other versions from which a kind of request counts as in use.
const MIN_ANSWERS_IN_USE: u64 = 20;
/// Answers of the new version with all requests that are enough when little time is left.
const MIN_OVERDUE_ANSWERS: u64 = 5;
/// Share of its slots up to which a server on trial gets requests. The rest is for bursts.
const TRIAL_SLOT_USE: f64 = 0.67;

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The new version gets no requests yet.
    #[default]
    Waiting,
    /// A small share of new sessions uses the new version.
    Canary,
    /// A larger share of all sessions uses it.
    Shift,
    /// It gets all requests.
    Full,
}

/// Answers of the new version in the present stage.
#[derive(Clone, Copy, Debug, Default)]
pub struct StageEvidence {
    stage: Stage,
    /// Totals of the new version at the beginning of the stage.
    before: CountersByKind,
    totals: CountersByKind,
    baseline: CountersByKind,
}

impl StageEvidence {
    /// Records that the rollout is in `stage`, and the totals of the new version and of the others. Returns whether the
    /// stage began just now. A return to an earlier stage changes nothing: it comes from a message that is late.
    pub fn observe(&mut self, stage: Stage, totals: CountersByKind, baseline: CountersByKind) -> bool {
        (self.totals, self.baseline) = (totals, baseline);
        let begins = stage > self.stage;
        if begins {
            (self.stage, self.before) = (stage, totals);
        }
        begins
    }

    /// The present stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Number of answers of the new version in the present stage.
    pub fn answers(&self) -> u64 {
        self.totals.total().since(self.before.total()).answers
    }

    /// Whether the version has answered enough requests in `stage`, if that is the present one, to leave it. `overdue` is
    /// whether little time is left, so that a service with few requests has to do with fewer.
    pub fn suffices(&self, stage: Stage, overdue: bool) -> bool {
        let enough = match stage {
            Stage::Waiting => true,
            Stage::Canary | Stage::Shift => self.answers() >= MIN_STAGE_ANSWERS,
            Stage::Full if overdue => self.answers() >= MIN_OVERDUE_ANSWERS,
            Stage::Full => self.answers() >= MIN_FULL_ANSWERS && self.covers_all_kinds(),
        };
        self.stage == stage && enough
    }

    /// Whether the version has answered enough requests of each kind in use.
    fn covers_all_kinds(&self) -> bool {
        RequestKind::ALL.iter().all(|&kind| {
            let is_in_use = self.baseline.of(kind).answers >= MIN_ANSWERS_IN_USE;
            let answers = self.totals.of(kind).since(self.before.of(kind)).answers;
            !is_in_use || answers >= MIN_FULL_ANSWERS_OF_KIND
        })
    }
}

/// Index of the first server of `ranked` that has room for a request of a trial, which fills one server after the other up
/// to a part of its slots; none if no server has. Each entry holds the slots of a server and the number of its requests.
pub fn first_with_room(ranked: &[(u32, f64)]) -> Option<usize> {
    ranked.iter().position(|&(slots, load)| load < f64::from(slots) * TRIAL_SLOT_USE)
}
