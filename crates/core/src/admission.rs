//! Admission to one backend server: what runs, what waits and what is shed.
//!
//! The caller passes every arrival, end and measurement with its time, and then takes verdicts
//! from [`Admission::poll`] until there are none.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    hash::HashMap,
    id::CustomerId,
    refusal::{Reason, Refusal},
    route::LoadReport,
    unit::{Millis, Tokens},
};

/// Samples of time per token in a row above the expected time that count as a cold engine. One
/// alone may be a pause of the agent's own host.
const SLOW_TOKENS: u32 = 3;
/// Calls in a row above the expected time that count as a cold engine. Calls differ more than
/// tokens do: where one in ten takes ten times as long, three in a row would come every 1,000 calls.
const SLOW_CALLS: u32 = 8;
/// Measured time over expected time above which a sample is slow. Cold engines are slower by more;
/// ordinary noise between tokens stays under 2.
const SLOW_FACTOR: f64 = 3.0;
/// Share of a new sample in the expected time of a warm engine, when it is above and below. The
/// expected time rises faster than it falls, because samples of short bursts of concurrency are
/// shorter than those of long ones.
const EXPECTED_GAIN: (f64, f64) = (1.0 / 8.0, 1.0 / 64.0);
/// Samples at one concurrency before it tells anything. Single ones may be far too short, as tokens
/// that were held up on their way arrive together.
const LEAST_SAMPLES: u32 = 8;
/// Rise of the expected time per warm interval with slow samples. A lasting change of speed is
/// accepted after about ten intervals in place of keeping the server at its cold limit for ever.
const EXPECTED_DRIFT: f64 = 1.125;
/// Share of a new sample in the mean service time.
const SERVICE_GAIN: f64 = 1.0 / 16.0;
/// Virtual time of one unit of work at weight 1.
const VIRTUAL_UNIT: u64 = 1 << 16;
/// Powers of two of concurrency with an expected time of their own.
const LEVELS: usize = 10;
/// Bounds of the advice on when to retry.
const RETRY_AFTER: (u64, u64) = (50, 5_000);

/// Limits of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Most running requests when warm.
    pub max_running: u32,
    /// Most waiting requests.
    pub max_queued: u32,
    /// Most tokens held by running requests; zero means no limit.
    pub tokens_limit: Tokens,
    /// Most running requests at the beginning of a cold start.
    pub cold_limit: u32,
    /// Time with successes after which the limit doubles.
    pub warm_interval: Millis,
}

/// Number of a request within one [`Admission`], chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that asks to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Number of the request.
    pub ticket: Ticket,
    /// Customer of the request.
    pub customer: CustomerId,
    /// Share of the customer relative to others.
    pub weight: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Prompt plus allowed output.
    pub tokens: Tokens,
    /// Allowed output; zero for a plain service.
    pub output: Tokens,
    /// Time by which the answer is of use.
    pub deadline: Option<Millis>,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs from now on, until [`Admission::finish`].
    Run(Ticket),
    /// It is refused; none of it has run.
    Refuse(Ticket, Refusal),
}

/// How a request that ran ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The backend server gave its whole answer.
    Success,
    /// The backend server failed.
    Failure,
    /// It was cut by the caller or by a deadline, which says nothing about the backend server.
    Aborted,
}

/// What a sample of service time measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleKind {
    /// Time of one token in a stream.
    Token,
    /// Time of a whole call, for a model divided by its tokens.
    Call,
}

/// State of the admission to one backend server.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: Limits,
    queue: Queue,
    running: HashMap<Ticket, Running>,
    tokens_held: Tokens,
    shed: VecDeque<(Ticket, Refusal)>,
    ramp: Option<Ramp>,
    speeds: [Speed; 2],
    start_id: Option<u64>,
    announced_cold: bool,
    /// Moving mean of the time that requests run, in milliseconds; zero until one has ended.
    service_ms: f64,
    /// Moving mean of that time per allowed token of output.
    output_ms: f64,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    since: Millis,
    /// Most running requests since the last sample of this one.
    peak: u32,
    /// Whether any sample of it was slow.
    slow: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    job: Job,
    since: Millis,
}

/// Progress of a cold start.
#[derive(Clone, Copy, Debug)]
struct Ramp {
    limit: u32,
    since: Millis,
    successes: u32,
    failures: u32,
    slow: u32,
}

impl Admission {
    /// Starts cold: nothing is known about the backend server yet.
    pub fn new(limits: Limits, now: Millis) -> Self {
        let mut admission = Self {
            limits,
            queue: Queue::default(),
            running: HashMap::default(),
            tokens_held: Tokens::ZERO,
            shed: VecDeque::new(),
            ramp: None,
            speeds: Default::default(),
            start_id: None,
            announced_cold: false,
            service_ms: 0.0,
            output_ms: 0.0,
        };
        admission.cold_start(now);
        admission
    }

    /// Takes over limits from a newer configuration.
    pub fn set_limits(&mut self, limits: Limits) {
        // A ramp that began under the empty configuration has a limit of zero and would stay there.
        if let Some(ramp) = &mut self.ramp {
            ramp.limit = ramp.limit.max(limits.cold_limit.min(limits.max_running));
        }
        self.limits = limits;
    }

    /// Takes in a request. A verdict on it, or on one that makes room for it, follows from `poll`.
    pub fn submit(&mut self, job: Job, now: Millis) {
        if let Err(refusal) = self.can_wait(&job, now) {
            self.shed.push_back((job.ticket, refusal));
            return;
        }
        self.queue.push(Waiting { job, since: now });
        // The job at the head runs at once when there is room, so it takes no place in the queue.
        let waiting = self.queue.len() - u32::from(self.has_room());
        if waiting > self.limits.max_queued {
            let refusal = Refusal::not_run(self.bottleneck()).retry_after(self.retry_after());
            let victim = self.queue.pop_victim();
            self.shed.extend(victim.map(|waiting| (waiting.job.ticket, refusal)));
        }
    }

    /// The next verdict, if any is due.
    pub fn poll(&mut self, now: Millis) -> Option<Decision> {
        if let Some((ticket, refusal)) = self.shed.pop_front() {
            return Some(Decision::Refuse(ticket, refusal));
        }
        self.advance_ramp(now);
        let head = self.queue.peek()?;
        if head.since < now && !self.in_time(&head.job, now + self.expected_service(&head.job)) {
            let ticket = head.job.ticket;
            self.queue.remove(ticket);
            return Some(Decision::Refuse(ticket, Refusal::not_run(Reason::Deadline)));
        }
        if !self.has_room() {
            return None;
        }
        let Waiting { job, .. } = self.queue.pop()?;
        let ticket = job.ticket;
        self.tokens_held += job.tokens;
        let peak = self.running.len() as u32 + 1;
        self.running.values_mut().for_each(|run| run.peak = run.peak.max(peak));
        self.running.insert(ticket, Running { job, since: now, peak, slow: false });
        Some(Decision::Run(ticket))
    }

    /// Takes a waiting request out, because nobody waits for its answer any more.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
        self.shed.retain(|(shed, _)| *shed != ticket);
    }

    /// Takes note that a running request has ended.
    pub fn finish(&mut self, ticket: Ticket, ending: RunOutcome, now: Millis) {
        let Some(run) = self.running.remove(&ticket) else { return };
        self.tokens_held = self.tokens_held - run.job.tokens;
        if ending == RunOutcome::Success {
            let took = (now - run.since).0 as f64;
            approach(&mut self.service_ms, took, SERVICE_GAIN);
            if run.job.output > Tokens::ZERO {
                approach(&mut self.output_ms, took / run.job.output.0 as f64, SERVICE_GAIN);
            }
        }
        if let Some(ramp) = &mut self.ramp {
            match ending {
                // Its last tokens may have no sample, and its end falls into a later interval.
                RunOutcome::Success if run.slow => ramp.slow += 1,
                RunOutcome::Success => ramp.successes += 1,
                RunOutcome::Failure => ramp.failures += 1,
                RunOutcome::Aborted => {}
            }
        }
        self.advance_ramp(now);
    }

    /// Takes in a measured service time of a running request and begins a cold start when it is far
    /// over the expected.
    pub fn observe(&mut self, ticket: Ticket, sample: SampleKind, micros: u64, now: Millis) {
        let running = self.running.len() as u32;
        let Some(run) = self.running.get_mut(&ticket) else { return };
        let level = run.peak.ilog2() as usize;
        run.peak = running;
        let speed = &mut self.speeds[sample as usize];
        let slow = speed.observe(level, micros);
        run.slow |= slow;
        let needed = if sample == SampleKind::Token { SLOW_TOKENS } else { SLOW_CALLS };
        let confirmed = speed.slow_in_a_row >= needed;
        match &mut self.ramp {
            Some(ramp) => ramp.slow += u32::from(slow),
            None if confirmed => self.cold_start(now),
            None => {}
        }
    }

    /// Takes in a load report of the engine: its start id and whether it says that it is cold.
    pub fn record_engine_report(&mut self, start_id: u64, cold: bool, now: Millis) {
        let restarted = self.start_id.is_some_and(|known| known != start_id);
        if restarted || (cold && !self.announced_cold) {
            self.cold_start(now);
        }
        self.start_id = Some(start_id);
        self.announced_cold = cold;
    }

    /// Lets the limit fall to the cold limit.
    pub fn cold_start(&mut self, now: Millis) {
        let limit = self.limits.cold_limit.min(self.limits.max_running);
        self.ramp = Some(Ramp { limit, since: now, successes: 0, failures: 0, slow: 0 });
        self.speeds.iter_mut().for_each(|speed| speed.slow_in_a_row = 0);
    }

    /// Most requests that may run now.
    pub fn limit(&self) -> u32 {
        self.ramp.map_or(self.limits.max_running, |ramp| ramp.limit)
    }

    /// Load for heartbeats.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            queued: self.queue.len(),
            limit: self.limit(),
            tokens_held: self.tokens_held,
            tokens_limit: self.limits.tokens_limit,
            cold: self.ramp.is_some(),
        }
    }

    /// Refuses what can be known on arrival to be in vain.
    fn can_wait(&self, job: &Job, now: Millis) -> Result<(), Refusal> {
        let memory = self.limits.tokens_limit;
        if memory > Tokens::ZERO && job.tokens > memory {
            return Err(Refusal::not_run(Reason::MemoryFull));
        }
        let expected = self.expected_service(job);
        let waits = self.running.len() as u32 >= self.limit() || self.queue.len() > 0;
        let done = if waits {
            let ahead = f64::from(self.queue.ahead_of(job) + 1);
            now + Millis((self.service_ms * ahead / f64::from(self.limit().max(1))) as u64) + expected
        } else {
            // One that can run at once is only refused when twice the usual speed would not do.
            now + Millis(expected.0 / 2)
        };
        if self.in_time(job, done) {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::Deadline).retry_after(self.retry_after()))
    }

    /// Whether the request at the head of the queue may run. A large one at the head keeps smaller
    /// ones behind it from running, as it might otherwise wait for ever.
    fn has_room(&self) -> bool {
        let Some(head) = self.queue.peek() else { return false };
        let memory = self.limits.tokens_limit;
        let fits = memory == Tokens::ZERO || self.tokens_held + head.job.tokens <= memory;
        fits && (self.running.len() as u32) < self.limit()
    }

    fn bottleneck(&self) -> Reason {
        if (self.running.len() as u32) < self.limit() {
            return Reason::MemoryFull;
        }
        if self.ramp.is_some() { Reason::Cold } else { Reason::Overloaded }
    }

    fn in_time(&self, job: &Job, done: Millis) -> bool {
        job.deadline.is_none_or(|deadline| done <= deadline)
    }

    /// Time that a request is likely to run.
    fn expected_service(&self, job: &Job) -> Millis {
        if job.output == Tokens::ZERO {
            return Millis(self.service_ms as u64);
        }
        Millis((self.output_ms * job.output.0 as f64) as u64)
    }

    fn retry_after(&self) -> Millis {
        let drain = self.service_ms * f64::from(self.queue.len() + 1) / f64::from(self.limit().max(1));
        Millis((drain as u64).clamp(RETRY_AFTER.0, RETRY_AFTER.1))
    }

    fn advance_ramp(&mut self, now: Millis) {
        let Some(ramp) = &mut self.ramp else { return };
        if now - ramp.since < self.limits.warm_interval {
            return;
        }
        if ramp.slow > 0 {
            self.speeds.iter_mut().for_each(Speed::drift);
        }
        let clean = ramp.successes > 0 && ramp.failures == 0 && ramp.slow == 0 && !self.announced_cold;
        let limit = if clean { ramp.limit.max(1).saturating_mul(2) } else { ramp.limit };
        *ramp = Ramp { limit, since: now, successes: 0, failures: 0, slow: 0 };
        if limit >= self.limits.max_running && clean {
            self.ramp = None;
        }
    }
}

/// Moves `mean` towards `sample`; the first sample is taken over.
fn approach(mean: &mut f64, sample: f64, gain: f64) {
    let gain = if *mean == 0.0 { 1.0 } else { gain };
    *mean += gain * (sample - *mean);
}

/// Expected service time by concurrency, learned while the engine is warm.
#[derive(Clone, Debug, Default)]
struct Speed {
    /// In microseconds; by power of two of running requests; zero until measured.
    expected: [f64; LEVELS],
    /// Samples so far, by the same.
    samples: [u32; LEVELS],
    slow_in_a_row: u32,
}

impl Speed {
    /// Takes in a sample; true when it is slow.
    fn observe(&mut self, level: usize, micros: u64) -> bool {
        let level = level.min(LEVELS - 1);
        let sample = (micros as f64).max(1.0);
        let expected = self.expect(level);
        if expected > 0.0 && sample > SLOW_FACTOR * expected {
            self.slow_in_a_row += 1;
            return true;
        }
        self.slow_in_a_row = 0;
        self.samples[level] = self.samples[level].saturating_add(1);
        let gain = match self.samples[level] {
            few if few <= LEAST_SAMPLES => 1.0 / f64::from(few),
            _ if sample > self.expected[level] => EXPECTED_GAIN.0,
            _ => EXPECTED_GAIN.1,
        };
        approach(&mut self.expected[level], sample, gain);
        false
    }

    /// Expected time at `level`. Twice the concurrency at most doubles the time, which bounds
    /// levels that were not measured by the nearest one below.
    fn expect(&self, level: usize) -> f64 {
        let measured = (0..=level).rev().find(|&lower| self.samples[lower] >= LEAST_SAMPLES);
        let above = (level + 1..LEVELS).find(|&higher| self.samples[higher] >= LEAST_SAMPLES);
        match (measured, above) {
            (Some(lower), _) => self.expected[lower] * f64::from(1u32 << (level - lower)),
            (None, Some(higher)) => self.expected[higher],
            (None, None) => 0.0,
        }
    }

    fn drift(&mut self) {
        self.expected.iter_mut().for_each(|expected| *expected *= EXPECTED_DRIFT);
    }
}

/// Waiting requests: by priority, and within a priority by weighted fair shares.
#[derive(Clone, Debug, Default)]
struct Queue {
    classes: BTreeMap<u32, BTreeMap<CustomerId, VecDeque<Waiting>>>,
    /// Virtual time up to which a customer was served.
    served: HashMap<CustomerId, u64>,
    /// Virtual time of the request that ran last.
    virtual_now: u64,
    len: u32,
}

impl Queue {
    fn len(&self) -> u32 {
        self.len
    }

    fn push(&mut self, waiting: Waiting) {
        let job = &waiting.job;
        // A customer that was idle gets no credit for that time.
        let served = self.served.entry(job.customer.clone()).or_default();
        *served = (*served).max(self.virtual_now);
        self.classes.entry(job.priority).or_default().entry(job.customer.clone()).or_default().push_back(waiting);
        self.len += 1;
    }

    fn next_customer(&self) -> Option<(u32, CustomerId)> {
        let (&priority, class) = self.classes.first_key_value()?;
        let customer = class.keys().min_by_key(|customer| self.served.get(*customer).copied().unwrap_or_default())?;
        Some((priority, customer.clone()))
    }

    fn peek(&self) -> Option<&Waiting> {
        let (priority, customer) = self.next_customer()?;
        self.classes[&priority][&customer].front()
    }

    fn pop(&mut self) -> Option<Waiting> {
        let (priority, customer) = self.next_customer()?;
        let waiting = self.take(priority, &customer, VecDeque::pop_front)?;
        let job = &waiting.job;
        let work = job.tokens.0.max(1).saturating_mul(VIRTUAL_UNIT) / u64::from(job.weight.max(1));
        let served = self.served.entry(customer).or_default();
        self.virtual_now = self.virtual_now.max(*served);
        *served = served.saturating_add(work);
        if self.len == 0 {
            let virtual_now = self.virtual_now;
            self.served.retain(|_, served| *served > virtual_now);
        }
        Some(waiting)
    }

    /// Takes out the newest request of the customer with the longest queue for its weight, in the
    /// least urgent class. This is the one that arrived last when only one customer waits.
    fn pop_victim(&mut self) -> Option<Waiting> {
        let (&priority, class) = self.classes.last_key_value()?;
        let length = |jobs: &VecDeque<Waiting>| {
            let weight = jobs.back().map_or(1, |waiting| u64::from(waiting.job.weight.max(1)));
            jobs.len() as u64 * VIRTUAL_UNIT / weight
        };
        let customer = class.iter().max_by_key(|(_, jobs)| length(jobs)).map(|(customer, _)| customer.clone())?;
        self.take(priority, &customer, VecDeque::pop_back)
    }

    fn remove(&mut self, ticket: Ticket) {
        let found = self.classes.iter().find_map(|(&priority, class)| {
            class.iter().find_map(|(customer, jobs)| {
                let index = jobs.iter().position(|waiting| waiting.job.ticket == ticket)?;
                Some((priority, customer.clone(), index))
            })
        });
        if let Some((priority, customer, index)) = found {
            self.take(priority, &customer, |jobs| jobs.remove(index));
        }
    }

    /// Requests that run before `job` if it arrives now: those of more urgent classes, and of its
    /// own class either all or what fair shares let pass, whichever is less.
    fn ahead_of(&self, job: &Job) -> u32 {
        let urgent: usize =
            self.classes.range(..job.priority).flat_map(|(_, class)| class.values()).map(VecDeque::len).sum();
        let Some(class) = self.classes.get(&job.priority) else { return urgent as u32 };
        let all: usize = class.values().map(VecDeque::len).sum();
        let own = class.get(&job.customer).map_or(0, VecDeque::len);
        let others = class.iter().filter(|(customer, _)| **customer != job.customer);
        let weights: u64 =
            others.filter_map(|(_, jobs)| jobs.front()).map(|waiting| u64::from(waiting.job.weight.max(1))).sum();
        let weight = u64::from(job.weight.max(1));
        let fair = own as u64 + (own as u64 + 1) * weights / weight;
        (urgent as u64 + fair.min(all as u64)) as u32
    }

    fn take(
        &mut self,
        priority: u32,
        customer: &CustomerId,
        pick: impl FnOnce(&mut VecDeque<Waiting>) -> Option<Waiting>,
    ) -> Option<Waiting> {
        let class = self.classes.get_mut(&priority)?;
        let jobs = class.get_mut(customer)?;
        let waiting = pick(jobs);
        if jobs.is_empty() {
            class.remove(customer);
        }
        if class.is_empty() {
            self.classes.remove(&priority);
        }
        self.len -= u32::from(waiting.is_some());
        waiting
    }
}
