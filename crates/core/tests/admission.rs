//! Drives the admission with a simulated backend server on a clock of its own.

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

/// Backend server that takes `service` for each request, whatever the concurrency.
struct Sim {
    admission: Admission,
    now: Millis,
    service: Millis,
    tickets: u64,
    jobs: BTreeMap<Ticket, Job>,
    running: BTreeMap<Ticket, Millis>,
    /// Answers that came before their deadline, by customer.
    good: BTreeMap<String, u32>,
    started: Vec<Ticket>,
    refused: BTreeMap<Ticket, Reason>,
    sampling: bool,
}

impl Sim {
    /// Starts with a cold server.
    fn new(limits: Limits) -> Self {
        Self {
            admission: Admission::new(limits, START),
            now: START,
            service: Millis(100),
            tickets: 0,
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            good: BTreeMap::new(),
            started: Vec::new(),
            refused: BTreeMap::new(),
            sampling: true,
        }
    }

    /// Starts with a server that has served under full load for a while.
    fn warm(limits: Limits) -> Self {
        let mut sim = Self::new(limits);
        sim.load(Millis(10_000), Millis(10), |_| vec![job("warm")]);
        sim.advance(Millis(1_000));
        assert_eq!(sim.admission.limit(), limits.max_running);
        sim.good.clear();
        sim.started.clear();
        sim.refused.clear();
        sim
    }

    fn arrive(&mut self, job: Job) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let deadline = job.deadline.map(|relative| self.now + relative);
        let job = Job { ticket, deadline, ..job };
        self.jobs.insert(ticket, job.clone());
        self.admission.submit(job, self.now);
        self.settle();
        ticket
    }

    /// Lets `time` pass, millisecond by millisecond.
    fn advance(&mut self, time: Millis) {
        for _ in 0..time.0 {
            self.now += Millis(1);
            let ended: Vec<_> = self.running.iter().filter(|(_, at)| **at <= self.now).map(|(t, _)| *t).collect();
            for ticket in ended {
                let job = &self.jobs[&ticket];
                if job.deadline.is_none_or(|deadline| self.now <= deadline) {
                    *self.good.entry(job.customer.to_string()).or_default() += 1;
                }
                if self.sampling {
                    self.admission.observe(ticket, SampleKind::Token, self.service.0 * 10, self.now);
                }
                self.running.remove(&ticket);
                self.admission.finish(ticket, RunOutcome::Success, self.now);
            }
            self.settle();
        }
    }

    /// Lets `arrivals` come every `gap` for `time`.
    fn load(&mut self, time: Millis, gap: Millis, mut arrivals: impl FnMut(u64) -> Vec<Job>) {
        for round in 0..time.0 / gap.0 {
            for job in arrivals(round) {
                self.arrive(job);
            }
            self.advance(gap);
        }
    }

    fn settle(&mut self) {
        while let Some(verdict) = self.admission.poll(self.now) {
            match verdict {
                Decision::Run(ticket) => {
                    self.running.insert(ticket, self.now + self.service);
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
        assert!(report.tokens_limit == Tokens(0) || held <= report.tokens_limit, "memory outgrown");
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

/// Guards against goodput that collapses because requests wait until their deadline has passed.
#[test]
fn overload_twice_capacity_keeps_goodput() {
    let mut sim = Sim::warm(LIMITS);
    let peak = 80.0;
    // 167 requests/s against a capacity of 80/s.
    sim.load(Millis(9_996), Millis(6), |_| vec![Job { deadline: Some(Millis(300)), ..job("reef") }]);
    sim.advance(Millis(500));
    let goodput = f64::from(sim.good["reef"]) / 10.0;
    println!("goodput {goodput}/s of {peak}/s");
    assert!(goodput >= 0.9 * peak, "goodput {goodput}/s of {peak}/s");
    let late = sim.started.len() as u32 - sim.good["reef"];
    assert_eq!(late, 0, "{late} requests ran in vain");
}

/// Guards against one customer's flood that takes the service from the others.
#[test]
fn flood_by_large_customer_spares_others() {
    let mut sim = Sim::warm(LIMITS);
    let mut small = Vec::new();
    for round in 0..1_000 {
        for _ in 0..10 {
            sim.arrive(job("large"));
        }
        if round % 20 == 0 {
            small.push(sim.arrive(job("small")));
        }
        sim.advance(Millis(10));
    }
    sim.advance(Millis(1_000));
    assert!(small.iter().all(|ticket| sim.started.contains(ticket)), "refused: {:?}", sim.refused.len());
    assert!(sim.good["large"] > 600, "the large customer uses what is left: {:?}", sim.good);
}

/// Guards against shares that do not follow the weights, or the size of requests.
#[test_case(3, 1, 1, 1, 3.0 ; "by weight")]
#[test_case(1, 1, 1, 3, 3.0 ; "by tokens")]
fn flood_by_two_customers_shares(weight_a: u32, weight_b: u32, tokens_a: u64, tokens_b: u64, expected: f64) {
    let mut sim = Sim::warm(LIMITS);
    let both = |_| {
        let a = Job { weight: weight_a, tokens: Tokens(tokens_a), ..job("a") };
        let b = Job { weight: weight_b, tokens: Tokens(tokens_b), ..job("b") };
        vec![a, b]
    };
    sim.load(Millis(10_000), Millis(5), both);
    let ratio = f64::from(sim.good["a"]) / f64::from(sim.good["b"]);
    assert!((expected * 0.9..expected * 1.1).contains(&ratio), "{:?}", sim.good);
}

/// Guards against a customer that saves up the time in which it was idle and then takes all.
#[test]
fn flood_after_idling_shares() {
    let mut sim = Sim::warm(LIMITS);
    sim.load(Millis(5_000), Millis(5), |_| vec![job("steady")]);
    let before = sim.good["steady"];
    sim.load(Millis(2_000), Millis(5), |_| vec![job("steady"), job("idle")]);
    let steady = sim.good["steady"] - before;
    assert!(steady >= 65, "{steady} of about 160 answers went to the steady customer");
}

/// Guards against urgent requests that wait behind others, or are shed in their place.
#[test]
fn queue_full_sheds_least_urgent() {
    let mut sim = Sim::warm(Limits { max_queued: 2, ..LIMITS });
    (0..8).for_each(|_| _ = sim.arrive(job("reef")));
    let low = Job { priority: 5, ..job("reef") };
    let (first, second) = (sim.arrive(low.clone()), sim.arrive(low.clone()));
    let urgent = sim.arrive(Job { priority: 0, ..job("lagoon") });
    assert_eq!(sim.refused.get(&second), Some(&Reason::Overloaded));
    let third = sim.arrive(low);
    assert_eq!(sim.refused.get(&third), Some(&Reason::Overloaded));
    sim.advance(Millis(1_000));
    let order = &sim.started[8..];
    assert_eq!(order, [urgent, first]);
}

/// Guards against a request that waits although its deadline passes before its turn.
#[test]
fn deadline_behind_queue_refuses_on_arrival() {
    let mut sim = Sim::warm(LIMITS);
    (0..24).for_each(|_| _ = sim.arrive(job("reef")));
    // Its turn comes after about 200 ms and it runs for 100 ms.
    let hopeless = sim.arrive(Job { deadline: Some(Millis(250)), ..job("reef") });
    assert_eq!(sim.refused.get(&hopeless), Some(&Reason::Deadline));
    let possible = sim.arrive(Job { deadline: Some(Millis(450)), ..job("reef") });
    sim.advance(Millis(1_000));
    assert!(sim.started.contains(&possible));
}

/// Guards against work on an answer whose deadline came closer than expected while it waited.
#[test]
fn deadline_passed_while_waiting_refuses() {
    let mut sim = Sim::warm(LIMITS);
    sim.service = Millis(1_000);
    (0..8).for_each(|_| _ = sim.arrive(job("reef")));
    let late = sim.arrive(Job { deadline: Some(Millis(400)), ..job("reef") });
    let patient = sim.arrive(Job { deadline: Some(Millis(5_000)), ..job("reef") });
    assert!(sim.refused.is_empty());
    sim.advance(Millis(2_000));
    assert_eq!(sim.refused.get(&late), Some(&Reason::Deadline));
    assert!(sim.started.contains(&patient) && !sim.started.contains(&late));
}

/// Guards against work on an answer that cannot come in time even on an idle server, and against
/// refusing short answers because others are long.
#[test_case(1_000, 1_000, true ; "long answer")]
#[test_case(10, 50, false ; "short answer")]
fn deadline_on_idle_server(output: u64, deadline: u64, refused: bool) {
    let mut sim = Sim::new(LIMITS);
    sim.service = Millis(4_000);
    sim.arrive(Job { output: Tokens(1_000), ..job("reef") });
    sim.advance(Millis(5_000));
    let job = Job { output: Tokens(output), deadline: Some(Millis(deadline)), ..job("reef") };
    let ticket = sim.arrive(job);
    assert_eq!(sim.refused.contains_key(&ticket), refused);
}

/// Guards against more running requests than a server in its cold start can bear.
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

/// Guards against a ramp that goes on although the server answers nothing, or with errors.
#[test_case(None ; "no answer")]
#[test_case(Some(RunOutcome::Failure) ; "failure")]
#[test_case(Some(RunOutcome::Aborted) ; "cut")]
fn cold_start_without_success_stays(ending: Option<RunOutcome>) {
    let mut admission = Admission::new(LIMITS, START);
    for step in 1..10 {
        let ticket = Ticket(step);
        let now = START + Millis(step * 1_000);
        admission.submit(Job { ticket, ..job("reef") }, now);
        while admission.poll(now).is_some() {}
        if let Some(ending) = ending {
            admission.finish(ticket, ending, now);
        }
        assert_eq!(admission.limit(), 2);
    }
}

/// Guards against a ramp that takes the end of a slow request for a good sign because its slow
/// tokens fell into an earlier interval.
#[test]
fn cold_start_after_slow_request_stays() {
    let mut sim = Sim::warm(LIMITS);
    sim.sampling = false;
    sim.admission.cold_start(sim.now);
    let ticket = sim.arrive(job("reef"));
    sim.service = Millis(2_500);
    sim.running.insert(ticket, sim.now + sim.service);
    sim.admission.observe(ticket, SampleKind::Token, 100_000, sim.now);
    sim.advance(Millis(3_500));
    assert!(!sim.running.contains_key(&ticket));
    assert_eq!(sim.admission.limit(), 2);
}

/// Guards against full load on a server that is cold without notice.
#[test]
fn cold_engine_unannounced_detected() {
    let mut sim = Sim::warm(LIMITS);
    sim.service = Millis(600);
    sim.load(Millis(1_000), Millis(10), |_| vec![job("reef")]);
    assert_eq!(sim.admission.limit(), 2, "three slow answers show a cold server");
    sim.load(Millis(2_000), Millis(10), |_| vec![job("reef")]);
    assert_eq!(sim.admission.limit(), 2, "the limit stays while answers are slow");
    assert!(sim.running.len() <= 2);
    sim.service = Millis(100);
    sim.load(Millis(5_000), Millis(10), |_| vec![job("reef")]);
    assert_eq!(sim.admission.limit(), 8);
}

/// Guards against full load on a server that says it is cold or was restarted.
#[test_case(1, true, 2 ; "announced")]
#[test_case(2, false, 2 ; "restarted")]
#[test_case(1, false, 8 ; "neither")]
fn cold_engine_reported(start_id: u64, cold: bool, limit: u32) {
    let mut sim = Sim::warm(LIMITS);
    sim.admission.record_engine_report(1, false, sim.now);
    assert_eq!(sim.admission.limit(), 8, "the first report shows no restart");
    sim.admission.record_engine_report(start_id, cold, sim.now);
    assert_eq!(sim.admission.limit(), limit);
    sim.admission.record_engine_report(start_id, cold, sim.now);
    sim.load(Millis(5_000), Millis(10), |_| vec![job("reef")]);
    let after = if cold { 2 } else { 8 };
    assert_eq!(sim.admission.limit(), after, "the limit rises once the server no longer says that it is cold");
}

/// Guards against cold starts that mere noise sets off.
#[test]
fn slow_samples_of_warm_engine_change_nothing() {
    let mut sim = Sim::warm(LIMITS);
    sim.sampling = false;
    for round in 0..1_000 {
        let ticket = sim.arrive(job("reef"));
        let micros = if round % 3 == 0 { 50_000 } else { 1_000 };
        sim.admission.observe(ticket, SampleKind::Token, micros, sim.now);
        sim.advance(Millis(100));
    }
    assert_eq!(sim.admission.limit(), 8);
}

/// Guards against cold starts that ordinary concurrency sets off where only single requests were
/// measured so far.
#[test]
fn slow_samples_under_new_concurrency_change_nothing() {
    let mut sim = Sim::new(LIMITS);
    sim.load(Millis(10_000), Millis(200), |_| vec![job("reef")]);
    assert_eq!(sim.admission.limit(), 8);
    // Eight at a time take eight times as long each as one alone.
    sim.service = Millis(800);
    for _ in 0..20 {
        (0..8).for_each(|_| _ = sim.arrive(job("reef")));
        sim.advance(Millis(1_000));
        assert_eq!(sim.admission.limit(), 8);
    }
}

/// Guards against an expected time that rests on a few tokens that arrived together.
#[test]
fn short_first_sample_of_warm_engine_changes_nothing() {
    let mut sim = Sim::new(LIMITS);
    sim.sampling = false;
    for round in 0..100 {
        let ticket = sim.arrive(job("reef"));
        let micros = if round == 0 { 1_000 } else { 11_000 };
        sim.admission.observe(ticket, SampleKind::Token, micros, sim.now);
        sim.advance(Millis(200));
    }
    assert_eq!(sim.admission.limit(), 8);
}

/// Guards against a server that stays at its cold limit for ever because it became slower.
#[test]
fn slower_engine_accepted_in_the_end() {
    let mut sim = Sim::warm(LIMITS);
    sim.service = Millis(400);
    sim.load(Millis(30_000), Millis(10), |_| vec![job("reef")]);
    assert_eq!(sim.admission.limit(), 8);
}

/// Guards against memory that running requests would outgrow, and against large requests that
/// never run because small ones go past them.
#[test]
fn memory_full_waits_and_large_request_runs() {
    let mut sim = Sim::warm(Limits { tokens_limit: Tokens(1_000), ..LIMITS });
    let sized = |tokens| Job { tokens: Tokens(tokens), ..job("reef") };
    let too_large = sim.arrive(sized(1_001));
    assert_eq!(sim.refused.get(&too_large), Some(&Reason::MemoryFull));
    sim.arrive(sized(600));
    let large = sim.arrive(sized(900));
    let small = sim.arrive(sized(100));
    assert_eq!(sim.started.len(), 1, "neither goes past the large request");
    sim.advance(Millis(1_000));
    assert_eq!(sim.started[1..], [large, small]);
    (0..40).for_each(|_| _ = sim.arrive(sized(900)));
    assert!(sim.refused.values().all(|reason| *reason == Reason::MemoryFull), "{:?}", sim.refused);
}

/// Guards against a queue that keeps places for callers who went away.
#[test]
fn withdraw_frees_place() {
    let mut sim = Sim::warm(Limits { max_queued: 1, ..LIMITS });
    (0..8).for_each(|_| _ = sim.arrive(job("reef")));
    let waiting = sim.arrive(job("reef"));
    sim.admission.cancel(waiting);
    let next = sim.arrive(job("reef"));
    sim.advance(Millis(1_000));
    assert!(!sim.started.contains(&waiting) && sim.started.contains(&next));
    assert!(sim.refused.is_empty());
}
