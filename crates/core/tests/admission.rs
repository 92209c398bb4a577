//! Tests of admission control against a simulated backend server with a simulated clock.

use std::collections::BTreeMap;

use eelgrasswell_core::{
    admission::{Admission, Decision, Job, Limits, RunOutcome, SampleKind, Ticket},
    refusal::Reason,
    unit::{Millis, Tokens},
};
use test_case::test_case;

const START: Millis = Millis(1_000);
const LIMITS: Limits =
    Limits { max_running: 8, max_queued: 32, tokens_limit: Tokens(0), cold_limit: 2, warm_interval: Millis(1_000) };

/// Simulated backend server that takes `service_time` for each request, whatever the concurrency.
struct Sim {
    admission: Admission,
    now: Millis,
    service_time: Millis,
    last_ticket: u64,
    jobs: BTreeMap<Ticket, Job>,
    /// End times of the running requests.
    running: BTreeMap<Ticket, Millis>,
    /// Number of requests that ended within their deadline, by customer.
    on_time: BTreeMap<String, u32>,
    started: Vec<Ticket>,
    refused: BTreeMap<Ticket, Reason>,
    /// Whether each ended request is reported as a token sample.
    sampling: bool,
}

impl Sim {
    /// A server at the beginning of its cold start.
    fn new(limits: Limits) -> Self {
        Self {
            admission: Admission::new(limits, START),
            now: START,
            service_time: Millis(100),
            last_ticket: 0,
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            on_time: BTreeMap::new(),
            started: Vec::new(),
            refused: BTreeMap::new(),
            sampling: true,
        }
    }

    /// A server whose cold start has ended under full load.
    fn warm(limits: Limits) -> Self {
        let mut sim = Self::new(limits);
        sim.load(Millis(10_000), Millis(10), |_| vec![job("warm")]);
        sim.advance(Millis(1_000));
        assert_eq!(sim.admission.limit(), limits.max_running);
        sim.on_time.clear();
        sim.started.clear();
        sim.refused.clear();
        sim
    }

    /// Submits `job`, whose deadline is relative to the current time.
    fn submit(&mut self, job: Job) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let deadline = job.deadline.map(|relative| self.now + relative);
        let job = Job { ticket, deadline, ..job };
        self.jobs.insert(ticket, job.clone());
        self.admission.submit(job, self.now);
        self.apply_decisions();
        ticket
    }

    /// Advances the clock by `duration` in steps of one millisecond.
    fn advance(&mut self, duration: Millis) {
        for _ in 0..duration.0 {
            self.now += Millis(1);
            let ended: Vec<_> = self.running.iter().filter(|(_, end)| **end <= self.now).map(|(t, _)| *t).collect();
            for ticket in ended {
                let job = &self.jobs[&ticket];
                if job.deadline.is_none_or(|deadline| self.now <= deadline) {
                    *self.on_time.entry(job.customer.to_string()).or_default() += 1;
                }
                if self.sampling {
                    self.admission.observe(ticket, SampleKind::Token, self.service_time.0 * 10, self.now);
                }
                self.running.remove(&ticket);
                self.admission.finish(ticket, RunOutcome::Success, self.now);
            }
            self.apply_decisions();
        }
    }

    /// Submits the jobs that `arrivals` returns every `interval` for `duration`.
    fn load(&mut self, duration: Millis, interval: Millis, mut arrivals: impl FnMut(u64) -> Vec<Job>) {
        for round in 0..duration.0 / interval.0 {
            for job in arrivals(round) {
                self.submit(job);
            }
            self.advance(interval);
        }
    }

    /// Applies all decisions that are due and checks the load report.
    fn apply_decisions(&mut self) {
        while let Some(decision) = self.admission.poll(self.now) {
            match decision {
                Decision::Run(ticket) => {
                    self.running.insert(ticket, self.now + self.service_time);
                    self.started.push(ticket);
                    assert!(self.running.len() as u32 <= self.admission.limit(), "started above the limit");
                }
                Decision::Refuse(ticket, refusal) => {
                    self.refused.insert(ticket, refusal.reason);
                }
            }
        }
        let report = self.admission.report();
        assert_eq!(report.running as usize, self.running.len());
        let held: Tokens = self.running.keys().map(|ticket| self.jobs[ticket].tokens).sum();
        assert_eq!(report.tokens_held, held);
        assert!(report.tokens_limit == Tokens(0) || held <= report.tokens_limit, "more tokens held than the limit");
    }
}

fn job(customer: &str) -> Job {
    Job {
        ticket: Ticket(0),
        customer: customer.into(),
        weight: 1,
        priority: 1,
        tokens: Tokens(0),
        output: Tokens(0),
        deadline: None,
    }
}

/// Guards against a collapse of goodput under overload, when requests wait in the queue until their
/// deadline has passed.
#[test]
fn overload_twice_capacity_keeps_goodput() {
    let mut sim = Sim::warm(LIMITS);
    let peak = 80.0;
    // 167 requests/s against a capacity of 80/s.
    sim.load(Millis(9_996), Millis(6), |_| vec![Job { deadline: Some(Millis(300)), ..job("reef") }]);
    sim.advance(Millis(500));
    let goodput = f64::from(sim.on_time["reef"]) / 10.0;
    println!("goodput {goodput}/s of {peak}/s");
    assert!(goodput >= 0.9 * peak, "goodput {goodput}/s of {peak}/s");
    let late = sim.started.len() as u32 - sim.on_time["reef"];
    assert_eq!(late, 0, "{late} requests ran but ended after their deadline");
}

/// Guards against a flood of requests from one customer that starves the others.
#[test]
fn flood_by_large_customer_spares_others() {
    let mut sim = Sim::warm(LIMITS);
    let mut small = Vec::new();
    for round in 0..1_000 {
        for _ in 0..10 {
            sim.submit(job("large"));
        }
        if round % 20 == 0 {
            small.push(sim.submit(job("small")));
        }
        sim.advance(Millis(10));
    }
    sim.advance(Millis(1_000));
    assert!(small.iter().all(|ticket| sim.started.contains(ticket)), "refused: {:?}", sim.refused.len());
    assert!(sim.on_time["large"] > 600, "the large customer uses the remaining capacity: {:?}", sim.on_time);
}

/// Guards against fair shares that ignore the customers' weights or the size of their requests.
#[test_case(3, 1, 1, 1, 3.0 ; "by weight")]
#[test_case(1, 1, 1, 3, 3.0 ; "by tokens")]
fn flood_by_two_customers_shares(weight_a: u32, weight_b: u32, tokens_a: u64, tokens_b: u64, expected: f64) {
    let mut sim = Sim::warm(LIMITS);
    let arrivals = |_| {
        let a = Job { weight: weight_a, tokens: Tokens(tokens_a), ..job("a") };
        let b = Job { weight: weight_b, tokens: Tokens(tokens_b), ..job("b") };
        vec![a, b]
    };
    sim.load(Millis(10_000), Millis(5), arrivals);
    let ratio = f64::from(sim.on_time["a"]) / f64::from(sim.on_time["b"]);
    assert!((expected * 0.9..expected * 1.1).contains(&ratio), "{:?}", sim.on_time);
}

/// Guards against a customer that accumulates credit while idle and then takes the whole capacity.
#[test]
fn flood_after_idling_shares() {
    let mut sim = Sim::warm(LIMITS);
    sim.load(Millis(5_000), Millis(5), |_| vec![job("steady")]);
    let before = sim.on_time["steady"];
    sim.load(Millis(2_000), Millis(5), |_| vec![job("steady"), job("idle")]);
    let steady = sim.on_time["steady"] - before;
    assert!(steady >= 65, "{steady} of about 160 answers went to the steady customer");
}

/// Guards against urgent requests that wait behind less urgent ones, or are shed instead of them.
#[test]
fn queue_full_sheds_least_urgent() {
    let mut sim = Sim::warm(Limits { max_queued: 2, ..LIMITS });
    (0..8).for_each(|_| _ = sim.submit(job("reef")));
    let low = Job { priority: 5, ..job("reef") };
    let (first, second) = (sim.submit(low.clone()), sim.submit(low.clone()));
    let urgent = sim.submit(Job { priority: 0, ..job("lagoon") });
    assert_eq!(sim.refused.get(&second), Some(&Reason::Overloaded));
    let third = sim.submit(low);
    assert_eq!(sim.refused.get(&third), Some(&Reason::Overloaded));
    sim.advance(Millis(1_000));
    let order = &sim.started[8..];
    assert_eq!(order, [urgent, first]);
}

/// Guards against queueing a request that is expected to miss its deadline while it waits.
#[test]
fn deadline_behind_queue_refuses_on_arrival() {
    let mut sim = Sim::warm(LIMITS);
    (0..24).for_each(|_| _ = sim.submit(job("reef")));
    // Its turn comes after about 200 ms and it runs for 100 ms.
    let hopeless = sim.submit(Job { deadline: Some(Millis(250)), ..job("reef") });
    assert_eq!(sim.refused.get(&hopeless), Some(&Reason::Deadline));
    let possible = sim.submit(Job { deadline: Some(Millis(450)), ..job("reef") });
    sim.advance(Millis(1_000));
    assert!(sim.started.contains(&possible));
}

/// Guards against running a request that can no longer meet its deadline, because it waited longer
/// than expected.
#[test]
fn deadline_passed_while_waiting_refuses() {
    let mut sim = Sim::warm(LIMITS);
    sim.service_time = Millis(1_000);
    (0..8).for_each(|_| _ = sim.submit(job("reef")));
    let late = sim.submit(Job { deadline: Some(Millis(400)), ..job("reef") });
    let lenient = sim.submit(Job { deadline: Some(Millis(5_000)), ..job("reef") });
    assert!(sim.refused.is_empty());
    sim.advance(Millis(2_000));
    assert_eq!(sim.refused.get(&late), Some(&Reason::Deadline));
    assert!(sim.started.contains(&lenient) && !sim.started.contains(&late));
}

/// Guards against running a request that cannot meet its deadline even on an idle server, and against
/// refusing requests with short answers because others had long ones.
#[test_case(1_000, 1_000, true ; "long answer")]
#[test_case(10, 50, false ; "short answer")]
fn deadline_on_idle_server(output: u64, deadline: u64, refused: bool) {
    let mut sim = Sim::new(LIMITS);
    sim.service_time = Millis(4_000);
    sim.submit(Job { output: Tokens(1_000), ..job("reef") });
    sim.advance(Millis(5_000));
    let job = Job { output: Tokens(output), deadline: Some(Millis(deadline)), ..job("reef") };
    let ticket = sim.submit(job);
    assert_eq!(sim.refused.contains_key(&ticket), refused);
}

/// Guards against running more requests than a server can handle during its cold start.
#[test]
fn cold_start_limit_doubles_with_successes() {
    let mut sim = Sim::new(LIMITS);
    let mut limits = vec![sim.admission.limit()];
    sim.load(Millis(5_000), Millis(10), |_| vec![job("reef")]);
    assert!(!sim.admission.report().cold);
    sim.admission.cold_start(sim.now);
    assert_eq!(sim.admission.limit(), 2);
    for _ in 0..4 {
        sim.load(Millis(1_010), Millis(10), |_| vec![job("reef")]);
        limits.push(sim.admission.limit());
    }
    assert_eq!(limits, [2, 4, 8, 8, 8]);
}

/// Guards against raising the limit of a cold start while no request succeeds.
#[test_case(None ; "no answer")]
#[test_case(Some(RunOutcome::Failure) ; "failure")]
#[test_case(Some(RunOutcome::Aborted) ; "aborted")]
fn cold_start_without_success_keeps_limit(outcome: Option<RunOutcome>) {
    let mut admission = Admission::new(LIMITS, START);
    for step in 1..10 {
        let ticket = Ticket(step);
        let now = START + Millis(step * 1_000);
        admission.submit(Job { ticket, ..job("reef") }, now);
        while admission.poll(now).is_some() {}
        if let Some(outcome) = outcome {
            admission.finish(ticket, outcome, now);
        }
        assert_eq!(admission.limit(), 2);
    }
}

/// Guards against raising the limit of a cold start when a slow request succeeds in a later interval
/// than the one with its slow tokens.
#[test]
fn cold_start_after_slow_request_keeps_limit() {
    let mut sim = Sim::warm(LIMITS);
    sim.sampling = false;
    sim.admission.cold_start(sim.now);
    let ticket = sim.submit(job("reef"));
    sim.service_time = Millis(2_500);
    sim.running.insert(ticket, sim.now + sim.service_time);
    sim.admission.observe(ticket, SampleKind::Token, 100_000, sim.now);
    sim.advance(Millis(3_500));
    assert!(!sim.running.contains_key(&ticket));
    assert_eq!(sim.admission.limit(), 2);
}

/// Guards against full load on a server that has become cold without reporting it.
#[test]
fn cold_engine_unannounced_detected() {
    let mut sim = Sim::warm(LIMITS);
    sim.service_time = Millis(600);
    sim.load(Millis(1_000), Millis(10), |_| vec![job("reef")]);
    assert_eq!(sim.admission.limit(), 2, "three slow samples in a row mean a cold server");
    sim.load(Millis(2_000), Millis(10), |_| vec![job("reef")]);
    assert_eq!(sim.admission.limit(), 2, "the limit does not rise while samples are slow");
    assert!(sim.running.len() <= 2);
    sim.service_time = Millis(100);
    sim.load(Millis(5_000), Millis(10), |_| vec![job("reef")]);
    assert_eq!(sim.admission.limit(), 8);
}

/// Guards against full load on a server that reports to be cold or was restarted.
#[test_case(1, true, 2 ; "reported cold")]
#[test_case(2, false, 2 ; "restarted")]
#[test_case(1, false, 8 ; "neither")]
fn cold_engine_reported(start_id: u64, cold: bool, limit: u32) {
    let mut sim = Sim::warm(LIMITS);
    sim.admission.record_engine_report(1, false, sim.now);
    assert_eq!(sim.admission.limit(), 8, "the first report is not a restart");
    sim.admission.record_engine_report(start_id, cold, sim.now);
    assert_eq!(sim.admission.limit(), limit);
    sim.admission.record_engine_report(start_id, cold, sim.now);
    sim.load(Millis(5_000), Millis(10), |_| vec![job("reef")]);
    let after = if cold { 2 } else { 8 };
    assert_eq!(sim.admission.limit(), after, "the limit rises unless the server still reports to be cold");
}

/// Guards against a cold start triggered by normal variation: single slow samples among fast ones.
#[test]
fn slow_samples_of_warm_engine_change_nothing() {
    let mut sim = Sim::warm(LIMITS);
    sim.sampling = false;
    for round in 0..1_000 {
        let ticket = sim.submit(job("reef"));
        let micros = if round % 3 == 0 { 50_000 } else { 1_000 };
        sim.admission.observe(ticket, SampleKind::Token, micros, sim.now);
        sim.advance(Millis(100));
    }
    assert_eq!(sim.admission.limit(), 8);
}

/// Guards against a cold start triggered by a first burst of concurrent requests, when only single
/// requests have been measured so far.
#[test]
fn slow_samples_under_new_concurrency_change_nothing() {
    let mut sim = Sim::new(LIMITS);
    sim.load(Millis(10_000), Millis(200), |_| vec![job("reef")]);
    assert_eq!(sim.admission.limit(), 8);
    // Eight concurrent requests each take eight times as long as a single one.
    sim.service_time = Millis(800);
    for _ in 0..20 {
        (0..8).for_each(|_| _ = sim.submit(job("reef")));
        sim.advance(Millis(1_000));
        assert_eq!(sim.admission.limit(), 8);
    }
}

/// Guards against a cold start triggered by an expected time that is too short, because it is based on
/// a few tokens that arrived together.
#[test]
fn short_first_sample_of_warm_engine_changes_nothing() {
    let mut sim = Sim::new(LIMITS);
    sim.sampling = false;
    for round in 0..100 {
        let ticket = sim.submit(job("reef"));
        let micros = if round == 0 { 1_000 } else { 11_000 };
        sim.admission.observe(ticket, SampleKind::Token, micros, sim.now);
        sim.advance(Millis(200));
    }
    assert_eq!(sim.admission.limit(), 8);
}

/// Guards against a server that stays at its cold limit forever after a permanent slowdown.
#[test]
fn slower_engine_regains_limit() {
    let mut sim = Sim::warm(LIMITS);
    sim.service_time = Millis(400);
    sim.load(Millis(30_000), Millis(10), |_| vec![job("reef")]);
    assert_eq!(sim.admission.limit(), 8);
}

/// Guards against running requests that hold more tokens than the limit, and against large requests
/// that never run because smaller ones overtake them.
#[test]
fn memory_full_waits_and_large_request_runs() {
    let mut sim = Sim::warm(Limits { tokens_limit: Tokens(1_000), ..LIMITS });
    let sized = |tokens| Job { tokens: Tokens(tokens), ..job("reef") };
    let too_large = sim.submit(sized(1_001));
    assert_eq!(sim.refused.get(&too_large), Some(&Reason::MemoryFull));
    sim.submit(sized(600));
    let large = sim.submit(sized(900));
    let small = sim.submit(sized(100));
    assert_eq!(sim.started.len(), 1, "the large request waits and the small one does not overtake it");
    sim.advance(Millis(1_000));
    assert_eq!(sim.started[1..], [large, small]);
    (0..40).for_each(|_| _ = sim.submit(sized(900)));
    assert!(sim.refused.values().all(|reason| *reason == Reason::MemoryFull), "{:?}", sim.refused);
}

/// Guards against waiting requests that occupy the queue after their callers have given up.
#[test]
fn cancel_frees_place() {
    let mut sim = Sim::warm(Limits { max_queued: 1, ..LIMITS });
    (0..8).for_each(|_| _ = sim.submit(job("reef")));
    let waiting = sim.submit(job("reef"));
    sim.admission.cancel(waiting);
    let next = sim.submit(job("reef"));
    sim.advance(Millis(1_000));
    assert!(!sim.started.contains(&waiting) && sim.started.contains(&next));
    assert!(sim.refused.is_empty());
}
