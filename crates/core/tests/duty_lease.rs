//! Tests of the lease on duties, over all schedules of two faults with two or three routers.
//!
//! They guard against two holders at once, fences that fall, two reports of one window, and a lease that nobody takes.

use std::collections::{BTreeMap, HashMap};

use eelgrasswell_core::{
    duty_lease::{Action, DutyLease, Heard, Holder, Lease, Stored, WriteOutcome},
    id::{Fence, Incarnation},
    place::Place,
    unit::Millis,
    usage::{Report, WindowId},
};
use test_case::test_case;

const LEASE: Millis = Millis(1_000);
/// Time between two steps of the simulation.
const STEP: Millis = Millis(200);
/// Length of a window, in steps.
const WINDOW_STEPS: u64 = 3;
/// Steps at which faults begin. The first router holds the lease by then.
const FAULT_STEPS: std::ops::Range<u64> = 13..29;
/// Steps of a schedule. The lease is taken over after the last fault.
const STEPS: u64 = 80;
/// Duration of faults that last, in steps: longer than the lease and the wait before a takeover.
const FAULT_LENGTH: u64 = 13;

/// The same for a router that hears nothing: until the second one, by rank, has taken the lease over.
const DEAF_LENGTH: u64 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The next call is lost before it reaches the store.
    Lost,
    /// The next call is executed, and its answer is lost.
    Unanswered,
    /// The next call gets no answer and is executed this many steps later.
    Late(u64),
    /// The answer to the next call takes long.
    SlowAnswer,
    /// The store refuses calls for a while.
    Outage,
    /// Writes are lost for a while, and reads succeed.
    WritesLost,
    /// The router does not run for this number of steps.
    Freeze(u64),
    /// The router hears nothing of the others for a while.
    Deaf,
    /// The router starts again.
    Restart,
    /// The object is deleted.
    Deleted,
}

const FAULTS: [Fault; 11] = [
    Fault::Lost,
    Fault::Unanswered,
    Fault::Late(2),
    Fault::Late(9),
    Fault::SlowAnswer,
    Fault::Outage,
    Fault::WritesLost,
    Fault::Freeze(7),
    Fault::Freeze(FAULT_LENGTH),
    Fault::Deaf,
    Fault::Restart,
];

#[derive(Clone, Copy, Debug)]
struct Event {
    step: u64,
    node: usize,
    fault: Fault,
}

struct Node {
    index: usize,
    incarnation: u64,
    lease: DutyLease,
    /// Fault of the next call.
    pending: Option<Fault>,
    frozen_until: u64,
    deaf_until: u64,
    outage_until: u64,
    writes_lost_until: u64,
    /// Answer that arrives later: step, time of the call, outcome.
    answer: Option<(u64, Millis, WriteOutcome)>,
}

#[derive(Default)]
struct Store {
    object: Option<Stored>,
    place: Place,
    /// Writes that take effect at a later step.
    late: Vec<(u64, Option<Place>, Lease)>,
}

impl Store {
    fn write(&mut self, condition: Option<Place>, lease: Lease) -> WriteOutcome {
        if self.object.as_ref().map(|object| object.place) != condition {
            return WriteOutcome::Conflict;
        }
        self.place = Place::new(self.place.era(), self.place.revision() + 1);
        self.object = Some(Stored { place: self.place, lease });
        WriteOutcome::Written(self.place)
    }
}

/// What the API has seen.
#[derive(Default)]
struct Api {
    max_fence: Fence,
    holders: HashMap<u64, (usize, u64)>,
    reports: HashMap<u64, Report>,
    /// Holder and time of the last call by each of the last two holders.
    last: Vec<((usize, u64), Millis)>,
    last_step: u64,
}

impl Api {
    fn call(&mut self, step: u64, node: &Node, fence: Fence, schedule: &[Event]) {
        let (now, who) = (at(step), (node.index, node.incarnation));
        assert!(fence >= self.max_fence, "step {step}: fence {fence} after {}: {schedule:?}", self.max_fence);
        self.max_fence = fence;
        assert_eq!(*self.holders.entry(fence.0).or_insert(who), who, "step {step}: two holders: {schedule:?}");
        match self.last.last_mut() {
            Some((holder, time)) if *holder == who => *time = now,
            _ => {
                let earlier = self.last.iter().rev().find(|(holder, _)| *holder == who);
                let alternates = earlier.is_some_and(|(_, time)| now.saturating_sub(*time) < LEASE);
                assert!(!alternates, "step {step}: the holders alternate: {schedule:?}");
                self.last.push((who, now));
            }
        }
        self.last_step = step;
    }
}

fn at(step: u64) -> Millis {
    Millis(10_000) + Millis(step * STEP.0)
}

fn holder(index: usize, incarnation: u64) -> Holder {
    let id = format!("node-{index}");
    Holder { id: id.as_str().into(), incarnation: Incarnation(incarnation), address: ([127, 0, 0, 1], 1).into() }
}

impl Node {
    fn new(index: usize, incarnation: u64, step: u64) -> Self {
        let lease = DutyLease::new(holder(index, incarnation), LEASE, at(step), WindowId(0));
        Self {
            index,
            incarnation,
            lease,
            pending: None,
            frozen_until: 0,
            deaf_until: 0,
            outage_until: 0,
            writes_lost_until: 0,
            answer: None,
        }
    }

    fn begin(&mut self, step: u64, fault: Fault) {
        match fault {
            Fault::Freeze(steps) => self.frozen_until = step + steps,
            Fault::WritesLost => self.writes_lost_until = step + FAULT_LENGTH,
            Fault::Deaf => self.deaf_until = step + DEAF_LENGTH,
            Fault::Outage => self.outage_until = step + FAULT_LENGTH,
            Fault::Restart => {
                let incarnation = self.incarnation + 100;
                *self = Self { outage_until: self.outage_until, ..Self::new(self.index, incarnation, step) };
            }
            Fault::Lost | Fault::Unanswered | Fault::Late(_) | Fault::SlowAnswer => self.pending = Some(fault),
            Fault::Deleted => {}
        }
    }

    /// Settles ended windows, and sends one report if the lease allows it.
    fn act(&mut self, step: u64, api: &mut Api, schedule: &[Event]) {
        let ended = WindowId(step / WINDOW_STEPS).previous();
        if let Some(settled) = self.lease.settled_through().filter(|settled| *settled < ended) {
            // Each router and step has other counts, so that a window that is settled twice is found.
            let counts = BTreeMap::from([(format!("node-{}", self.index).as_str().into(), step)]);
            self.lease.settle(Report { window: settled.next(), counts, done: false });
        }
        let Some(fence) = self.lease.may_act(at(step)) else { return };
        api.call(step, self, fence, schedule);
        if let Some(report) = self.lease.unsent_report().cloned() {
            let known = api.reports.entry(report.window.0).or_insert_with(|| report.clone());
            assert_eq!(known.counts, report.counts, "step {step}: two reports of {}: {schedule:?}", report.window);
            self.lease.finish(report.window);
        }
    }

    fn call(&mut self, step: u64, store: &mut Store) {
        let now = at(step);
        if let Some((due, sent, outcome)) = self.answer {
            if step < due {
                return;
            }
            self.answer = None;
            self.lease.record_write(sent, now, outcome);
        }
        let (condition, lease) = match self.lease.next(now, Some(self.index)) {
            Action::Wait(_) => return,
            Action::Read => {
                let fails = step < self.outage_until || self.pending.take().is_some();
                if fails {
                    self.lease.record_read_failure(now);
                } else {
                    self.lease.record_read(now, store.object.clone());
                }
                return;
            }
            Action::Create(lease) => (None, lease),
            Action::Replace(stored) => (Some(stored.place), stored.lease),
        };
        if step < self.outage_until {
            self.lease.record_write(now, now, WriteOutcome::Refused);
            return;
        }
        if step < self.writes_lost_until {
            self.lease.record_write(now, now, WriteOutcome::Unknown);
            return;
        }
        let outcome = match self.pending.take() {
            Some(Fault::Lost) => WriteOutcome::Unknown,
            Some(Fault::Unanswered) => {
                store.write(condition, lease);
                WriteOutcome::Unknown
            }
            Some(Fault::Late(steps)) => {
                store.late.push((step + steps, condition, lease));
                WriteOutcome::Unknown
            }
            Some(Fault::SlowAnswer) => {
                self.answer = Some((step + FAULT_LENGTH, now, store.write(condition, lease)));
                return;
            }
            _ => store.write(condition, lease),
        };
        self.lease.record_write(now, now, outcome);
    }
}

/// Runs a schedule and returns the number of windows without a report.
fn run(nodes: usize, schedule: &[Event]) -> u64 {
    let mut store = Store::default();
    let mut api = Api::default();
    let mut nodes: Vec<Node> = (0..nodes).map(|n| Node::new(n, n as u64 + 1, 0)).collect();
    for step in 0..STEPS {
        for event in schedule.iter().filter(|event| event.step == step) {
            if event.fault == Fault::Deleted {
                store.object = None;
            }
            if event.fault == Fault::Outage {
                nodes.iter_mut().for_each(|node| node.begin(step, event.fault));
            } else {
                nodes[event.node].begin(step, event.fault);
            }
        }
        let late = std::mem::take(&mut store.late);
        for (due, condition, lease) in late {
            if due <= step {
                store.write(condition, lease);
            } else {
                store.late.push((due, condition, lease));
            }
        }
        // Alternates which router runs first, at another pace than the renewals.
        for n in 0..nodes.len() {
            let n = if step / 3 % 2 == 0 { n } else { nodes.len() - 1 - n };
            if step >= nodes[n].frozen_until {
                nodes[n].act(step, &mut api, schedule);
                nodes[n].call(step, &mut store);
            }
        }
        exchange(step, &mut nodes);
    }
    let silent = STEPS - api.last_step;
    assert!(silent <= 3, "nobody acts for the last {silent} steps: {schedule:?}");
    let last = api.reports.keys().max().copied().unwrap_or_default();
    assert!(last + 4 >= STEPS / WINDOW_STEPS, "the last report is that of {last}: {schedule:?}");
    last - api.reports.len() as u64
}

fn exchange(step: u64, nodes: &mut [Node]) {
    for to in 0..nodes.len() {
        for from in 0..nodes.len() {
            let is_cut = |node: &Node| step < node.frozen_until || step < node.deaf_until;
            if to != from
                && !is_cut(&nodes[to])
                && !is_cut(&nodes[from])
                && let Some(known) = nodes[from].lease.known()
            {
                nodes[to].lease.record_heard(known);
            }
        }
    }
}

#[test]
fn first_holder() {
    assert_eq!(run(3, &[]), 0);
}

/// Guards against a dead holder that seems to live because messages about its last renewal are late or go round.
#[test]
fn renewal_heard_again() {
    let mut lease = DutyLease::new(holder(1, 2), LEASE, at(0), WindowId(0));
    let heard = |renewals: u64, step: u64| Heard {
        holder: holder(0, 1),
        fence: Fence(3),
        renewals,
        renewed: at(step),
        settled_through: WindowId(0),
    };
    assert!(lease.record_heard(heard(7, 10)));
    assert!(!lease.record_heard(heard(7, 12)) && !lease.record_heard(heard(6, 13)));
    assert_eq!(lease.next(at(10) + LEASE, Some(0)), Action::Read);
    assert!(lease.record_heard(heard(8, 14)));
    assert_eq!(lease.next(at(14), Some(0)), Action::Wait(at(14) + LEASE));
}

/// An operator may delete the object while a router holds the lease, and the holder or another router creates it again. Reports
/// that were settled and not sent are lost with it, but no window is settled again.
#[test]
fn object_deleted() {
    for step in FAULT_STEPS {
        let deleted = Event { step, node: 0, fault: Fault::Deleted };
        let frozen = Event { step, node: 0, fault: Fault::Freeze(FAULT_LENGTH) };
        assert!(run(3, &[deleted]) <= 2 && run(3, &[deleted, frozen]) <= 2);
    }
}

/// All pairs of faults at any routers. The second one comes at each step, or at every other step, after the first one.
#[test_case(2, 1; "two routers")]
#[test_case(3, 2; "three routers")]
fn pairs_of_faults(nodes: usize, step_by: usize) {
    let all = |from: u64| {
        let steps = (from..FAULT_STEPS.end).step_by(step_by);
        steps.flat_map(move |step| {
            (0..nodes).flat_map(move |node| FAULTS.iter().map(move |&fault| Event { step, node, fault }))
        })
    };
    let mut schedules = 0;
    for first in all(FAULT_STEPS.start).filter(|event| event.step < FAULT_STEPS.start + 2) {
        for second in all(first.step) {
            assert_eq!(run(nodes, &[first, second]), 0, "windows without a report: {first:?} {second:?}");
            schedules += 1;
        }
    }
    assert!(schedules > 5_000, "{schedules}");
}
