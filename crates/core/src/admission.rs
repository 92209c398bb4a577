//! Admission control for one backend server: decides which requests run, wait or are refused.
//!
//! The caller reports every arrival, completion and measurement together with the current time, and
//! then calls [`Admission::poll`] until it returns no more decisions.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    agent_selection::LoadReport,
    hash::HashMap,
    id::CustomerId,
    refusal::{Reason, Refusal},
    unit::{Millis, Tokens},
};

/// Consecutive slow token samples after which the engine counts as cold. A single slow token may be
/// caused by a pause of the agent's own host.
const COLD_AFTER_SLOW_TOKENS: u32 = 3;
/// Consecutive slow calls after which the engine counts as cold. The duration of calls varies more
/// than that of tokens: if one call in ten takes ten times as long, three in a row occur once in
/// 1,000 calls.
const COLD_AFTER_SLOW_CALLS: u32 = 8;
/// A sample is slow if it exceeds the expected time by more than this factor. Cold engines exceed
/// it; normal variation between tokens stays below a factor of 2.
const SLOW_FACTOR: f64 = 3.0;
/// Weights of a new sample in the moving average of the expected time: (if above it, if below it).
/// The expected time rises faster than it falls, because samples taken during short bursts of
/// concurrency are shorter than those of long ones.
const EXPECTED_GAIN: (f64, f64) = (1.0 / 8.0, 1.0 / 64.0);
/// Samples needed at a concurrency level before its expected time is used. Single samples may be far
/// too short, because tokens that were delayed in transit arrive together.
const MIN_SAMPLES: u32 = 8;
/// Factor by which the expected time rises in each warm interval that has slow samples. A permanent
/// slowdown is thereby accepted after about ten intervals; otherwise the server would stay at its
/// cold limit forever.
const EXPECTED_DRIFT: f64 = 1.125;
/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_GAIN: f64 = 1.0 / 16.0;
/// Virtual time of one unit of work for a customer of weight 1.
const VIRTUAL_TIME_UNIT: u64 = 1 << 16;
/// Number of concurrency levels (powers of two) that have their own expected time.
const CONCURRENCY_LEVELS: usize = 10;
/// Lower and upper bound of the retry delay given with a refusal, in milliseconds.
const RETRY_AFTER_BOUNDS_MS: (u64, u64) = (50, 5_000);

/// Limits of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of running requests on a warm server.
    pub max_running: u32,
    /// Maximum number of waiting requests.
    pub max_queued: u32,
    /// Maximum number of tokens held by running requests; zero means no limit.
    pub tokens_limit: Tokens,
    /// Maximum number of running requests at the beginning of a cold start.
    pub cold_limit: u32,
    /// Length of an interval of a cold start. The limit doubles after each interval with successful
    /// requests, no failures and no slow samples, unless the engine still reports to be cold.
    pub warm_interval: Millis,
}

/// Identifies a request within one [`Admission`]; assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request submitted for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Customer of the request.
    pub customer: CustomerId,
    /// Weight of the customer in the fair sharing of the server.
    pub weight: u32,
    /// Priority class; 0 is the most urgent.
    pub priority: u32,
    /// Prompt tokens plus the maximum output tokens.
    pub tokens: Tokens,
    /// Maximum output tokens; zero for a plain service.
    pub output: Tokens,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Option<Millis>,
}

/// Decision on a submitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request runs from now on, until [`Admission::finish`] is called.
    Run(Ticket),
    /// The request is refused; no part of it has run.
    Refuse(Ticket, Refusal),
}

/// How a running request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The backend server sent a complete answer.
    Success,
    /// The backend server failed.
    Failure,
    /// The caller or a deadline ended the request, which says nothing about the backend server.
    Aborted,
}

/// What a service time sample measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleKind {
    /// Time of one token of a streamed answer.
    Token,
    /// Time of a whole call; for a model, divided by its number of output tokens.
    Call,
}

/// Admission state of one backend server.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: Limits,
    queue: Queue,
    running: HashMap<Ticket, Running>,
    tokens_held: Tokens,
    /// Refusals that `poll` has not returned yet.
    pending_refusals: VecDeque<(Ticket, Refusal)>,
    /// Progress of the cold start; `None` when the server is warm.
    ramp: Option<Ramp>,
    /// Service times by [`SampleKind`].
    service_times: [ServiceTimes; 2],
    /// Start id in the engine's last load report.
    start_id: Option<u64>,
    /// Whether the engine's last load report said that it is cold.
    reported_cold: bool,
    /// Moving average of the run time of requests, in milliseconds; zero until one has succeeded.
    mean_service_ms: f64,
    /// Moving average of the run time per token of maximum output, in milliseconds; zero until one
    /// with output has succeeded.
    mean_ms_per_output_token: f64,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    started: Millis,
    /// Highest number of running requests since the last sample of this request.
    peak_running: u32,
    /// Whether any sample of this request was slow.
    had_slow_sample: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    job: Job,
    arrived: Millis,
}

/// Progress of a cold start. The counts are those of the current interval.
#[derive(Clone, Copy, Debug)]
struct Ramp {
    limit: u32,
    interval_start: Millis,
    successes: u32,
    failures: u32,
    slow: u32,
}

impl Admission {
    /// Creates the state at the beginning of a cold start, because nothing is known about the backend server yet.
    pub fn new(limits: Limits, now: Millis) -> Self {
        let mut admission = Self {
            limits,
            queue: Queue::default(),
            running: HashMap::default(),
            tokens_held: Tokens::ZERO,
            pending_refusals: VecDeque::new(),
            ramp: None,
            service_times: Default::default(),
            start_id: None,
            reported_cold: false,
            mean_service_ms: 0.0,
            mean_ms_per_output_token: 0.0,
        };
        admission.cold_start(now);
        admission
    }

    /// Applies the limits of a newer configuration.
    pub fn set_limits(&mut self, limits: Limits) {
        // A cold start that began under the empty configuration has a limit of zero, which would
        // never rise because no request could run.
        if let Some(ramp) = &mut self.ramp {
            ramp.limit = ramp.limit.max(limits.cold_limit.min(limits.max_running));
        }
        self.limits = limits;
    }

    /// Queues a request, or refuses it if it cannot succeed. If the queue is then too long, one request
    /// (possibly this one) is refused to make room. `poll` returns the decisions.
    pub fn submit(&mut self, job: Job, now: Millis) {
        if let Err(refusal) = self.check_feasible(&job, now) {
            self.pending_refusals.push_back((job.ticket, refusal));
            return;
        }
        self.queue.push(Waiting { job, arrived: now });
        // If there is room, the job at the head runs immediately and does not count as waiting.
        let waiting = self.queue.len() - u32::from(self.has_room());
        if waiting > self.limits.max_queued {
            let refusal = Refusal::not_run(self.saturation_reason()).retry_after(self.retry_after());
            let victim = self.queue.pop_victim();
            self.pending_refusals.extend(victim.map(|waiting| (waiting.job.ticket, refusal)));
        }
    }

    /// Returns the next decision that is due, if any.
    pub fn poll(&mut self, now: Millis) -> Option<Decision> {
        if let Some((ticket, refusal)) = self.pending_refusals.pop_front() {
            return Some(Decision::Refuse(ticket, refusal));
        }
        self.advance_ramp(now);
        let head = self.queue.peek()?;
        if head.arrived < now && !self.meets_deadline(&head.job, now + self.expected_service_time(&head.job)) {
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
        let running = self.running.len() as u32 + 1;
        self.running.values_mut().for_each(|run| run.peak_running = run.peak_running.max(running));
        self.running.insert(ticket, Running { job, started: now, peak_running: running, had_slow_sample: false });
        Some(Decision::Run(ticket))
    }

    /// Removes a waiting request whose caller has given up.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
        self.pending_refusals.retain(|(refused, _)| *refused != ticket);
    }

    /// Records the end of a running request. Tickets that are not running are ignored.
    pub fn finish(&mut self, ticket: Ticket, outcome: RunOutcome, now: Millis) {
        let Some(run) = self.running.remove(&ticket) else { return };
        self.tokens_held = self.tokens_held - run.job.tokens;
        if outcome == RunOutcome::Success {
            let elapsed_ms = (now - run.started).0 as f64;
            update_mean(&mut self.mean_service_ms, elapsed_ms, SERVICE_TIME_GAIN);
            if run.job.output > Tokens::ZERO {
                let ms_per_token = elapsed_ms / run.job.output.0 as f64;
                update_mean(&mut self.mean_ms_per_output_token, ms_per_token, SERVICE_TIME_GAIN);
            }
        }
        if let Some(ramp) = &mut self.ramp {
            match outcome {
                // The last tokens of the request may not have been sampled, and it may end in a later
                // interval than the one with its slow samples.
                RunOutcome::Success if run.had_slow_sample => ramp.slow += 1,
                RunOutcome::Success => ramp.successes += 1,
                RunOutcome::Failure => ramp.failures += 1,
                RunOutcome::Aborted => {}
            }
        }
        self.advance_ramp(now);
    }

    /// Records a measured service time of a running request. Begins a cold start if too many samples
    /// in a row were far above the expected time.
    pub fn observe(&mut self, ticket: Ticket, kind: SampleKind, micros: u64, now: Millis) {
        let running = self.running.len() as u32;
        let Some(run) = self.running.get_mut(&ticket) else { return };
        let level = run.peak_running.ilog2() as usize;
        run.peak_running = running;
        let times = &mut self.service_times[kind as usize];
        let slow = times.record(level, micros);
        run.had_slow_sample |= slow;
        let threshold = if kind == SampleKind::Token { COLD_AFTER_SLOW_TOKENS } else { COLD_AFTER_SLOW_CALLS };
        let is_cold = times.slow_in_a_row >= threshold;
        match &mut self.ramp {
            Some(ramp) => ramp.slow += u32::from(slow),
            None if is_cold => self.cold_start(now),
            None => {}
        }
    }

    /// Records a load report of the engine: its start id and whether it reports to be cold. Begins a
    /// cold start if the start id has changed or if the engine newly reports to be cold.
    pub fn record_engine_report(&mut self, start_id: u64, cold: bool, now: Millis) {
        let restarted = self.start_id.is_some_and(|known| known != start_id);
        if restarted || (cold && !self.reported_cold) {
            self.cold_start(now);
        }
        self.start_id = Some(start_id);
        self.reported_cold = cold;
    }

    /// Begins a cold start: lowers the limit to the cold limit.
    pub fn cold_start(&mut self, now: Millis) {
        let limit = self.limits.cold_limit.min(self.limits.max_running);
        self.ramp = Some(Ramp { limit, interval_start: now, successes: 0, failures: 0, slow: 0 });
        self.service_times.iter_mut().for_each(|times| times.slow_in_a_row = 0);
    }

    /// Current maximum number of running requests.
    pub fn limit(&self) -> u32 {
        self.ramp.map_or(self.limits.max_running, |ramp| ramp.limit)
    }

    /// Current load, as sent in heartbeats.
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

    /// Refuses a request that cannot succeed: one that is larger than the memory, or that is expected
    /// to miss its deadline.
    fn check_feasible(&self, job: &Job, now: Millis) -> Result<(), Refusal> {
        let memory = self.limits.tokens_limit;
        if memory > Tokens::ZERO && job.tokens > memory {
            return Err(Refusal::not_run(Reason::MemoryFull));
        }
        let service_time = self.expected_service_time(job);
        let must_wait = self.running.len() as u32 >= self.limit() || self.queue.len() > 0;
        let expected_end = if must_wait {
            let turns = f64::from(self.queue.count_ahead_of(job) + 1);
            now + Millis((self.mean_service_ms * turns / f64::from(self.limit().max(1))) as u64) + service_time
        } else {
            // A request that can run immediately is refused only if it would miss its deadline even at
            // twice the usual speed.
            now + Millis(service_time.0 / 2)
        };
        if self.meets_deadline(job, expected_end) {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::Deadline).retry_after(self.retry_after()))
    }

    /// Whether the request at the head of the queue may run. A large request at the head blocks
    /// smaller ones behind it, because it might otherwise wait forever.
    fn has_room(&self) -> bool {
        let Some(head) = self.queue.peek() else { return false };
        let memory = self.limits.tokens_limit;
        let fits = memory == Tokens::ZERO || self.tokens_held + head.job.tokens <= memory;
        fits && (self.running.len() as u32) < self.limit()
    }

    /// Reason for refusing a request while the queue is full.
    fn saturation_reason(&self) -> Reason {
        if (self.running.len() as u32) < self.limit() {
            return Reason::MemoryFull;
        }
        if self.ramp.is_some() { Reason::Cold } else { Reason::Overloaded }
    }

    fn meets_deadline(&self, job: &Job, end: Millis) -> bool {
        job.deadline.is_none_or(|deadline| end <= deadline)
    }

    /// Expected run time of a request; zero if it is not known yet.
    fn expected_service_time(&self, job: &Job) -> Millis {
        if job.output == Tokens::ZERO {
            return Millis(self.mean_service_ms as u64);
        }
        Millis((self.mean_ms_per_output_token * job.output.0 as f64) as u64)
    }

    /// Expected time until the queue is empty, within [`RETRY_AFTER_BOUNDS_MS`].
    fn retry_after(&self) -> Millis {
        let drain_ms = self.mean_service_ms * f64::from(self.queue.len() + 1) / f64::from(self.limit().max(1));
        Millis((drain_ms as u64).clamp(RETRY_AFTER_BOUNDS_MS.0, RETRY_AFTER_BOUNDS_MS.1))
    }

    /// Ends an interval of the cold start when its time is over. Doubles the limit if the interval was
    /// healthy, and ends the cold start once the limit reaches `max_running`.
    fn advance_ramp(&mut self, now: Millis) {
        let Some(ramp) = &mut self.ramp else { return };
        if now - ramp.interval_start < self.limits.warm_interval {
            return;
        }
        if ramp.slow > 0 {
            self.service_times.iter_mut().for_each(ServiceTimes::raise_expected);
        }
        let healthy = ramp.successes > 0 && ramp.failures == 0 && ramp.slow == 0 && !self.reported_cold;
        let limit = if healthy { ramp.limit.max(1).saturating_mul(2) } else { ramp.limit };
        *ramp = Ramp { limit, interval_start: now, successes: 0, failures: 0, slow: 0 };
        if limit >= self.limits.max_running && healthy {
            self.ramp = None;
        }
    }
}

/// Updates an exponential moving average. The first sample sets it, as a mean of zero counts as unset.
fn update_mean(mean: &mut f64, sample: f64, gain: f64) {
    let gain = if *mean == 0.0 { 1.0 } else { gain };
    *mean += gain * (sample - *mean);
}

/// Expected service time by concurrency level, learned from the samples that are not slow. Level `n`
/// stands for 2^n or more running requests, but fewer than 2^(n+1); the last level has no upper bound.
#[derive(Clone, Debug, Default)]
struct ServiceTimes {
    /// Expected time in microseconds by level; zero until measured.
    expected: [f64; CONCURRENCY_LEVELS],
    /// Number of samples by level.
    samples: [u32; CONCURRENCY_LEVELS],
    slow_in_a_row: u32,
}

impl ServiceTimes {
    /// Records a sample; returns whether it is slow. Slow samples do not change the expected time.
    fn record(&mut self, level: usize, micros: u64) -> bool {
        let level = level.min(CONCURRENCY_LEVELS - 1);
        let sample = (micros as f64).max(1.0);
        let expected = self.expected_at(level);
        if expected > 0.0 && sample > SLOW_FACTOR * expected {
            self.slow_in_a_row += 1;
            return true;
        }
        self.slow_in_a_row = 0;
        self.samples[level] = self.samples[level].saturating_add(1);
        let gain = match self.samples[level] {
            count if count <= MIN_SAMPLES => 1.0 / f64::from(count),
            _ if sample > self.expected[level] => EXPECTED_GAIN.0,
            _ => EXPECTED_GAIN.1,
        };
        update_mean(&mut self.expected[level], sample, gain);
        false
    }

    /// Expected time at `level` in microseconds; zero if no level has enough samples. A level without
    /// enough samples is estimated from the nearest measured level below, since doubling the
    /// concurrency at most doubles the time, or else from the nearest measured level above.
    fn expected_at(&self, level: usize) -> f64 {
        let at_or_below = (0..=level).rev().find(|&lower| self.samples[lower] >= MIN_SAMPLES);
        let above = (level + 1..CONCURRENCY_LEVELS).find(|&higher| self.samples[higher] >= MIN_SAMPLES);
        match (at_or_below, above) {
            (Some(lower), _) => self.expected[lower] * f64::from(1u32 << (level - lower)),
            (None, Some(higher)) => self.expected[higher],
            (None, None) => 0.0,
        }
    }

    fn raise_expected(&mut self) {
        self.expected.iter_mut().for_each(|expected| *expected *= EXPECTED_DRIFT);
    }
}

/// Waiting requests, ordered by priority class and within a class by weighted fair queueing.
#[derive(Clone, Debug, Default)]
struct Queue {
    /// Requests by priority and customer.
    classes: BTreeMap<u32, BTreeMap<CustomerId, VecDeque<Waiting>>>,
    /// Virtual time at which the work started so far for a customer ends.
    virtual_finish: HashMap<CustomerId, u64>,
    /// Latest virtual time at which a request started.
    virtual_now: u64,
    len: u32,
}

impl Queue {
    fn len(&self) -> u32 {
        self.len
    }

    fn push(&mut self, waiting: Waiting) {
        let job = &waiting.job;
        // Time in which a customer was idle gives it no credit.
        let virtual_finish = self.virtual_finish.entry(job.customer.clone()).or_default();
        *virtual_finish = (*virtual_finish).max(self.virtual_now);
        self.classes.entry(job.priority).or_default().entry(job.customer.clone()).or_default().push_back(waiting);
        self.len += 1;
    }

    /// Most urgent priority, and the customer of that class with the earliest virtual time.
    fn next_customer(&self) -> Option<(u32, CustomerId)> {
        let (&priority, class) = self.classes.first_key_value()?;
        let customer =
            class.keys().min_by_key(|customer| self.virtual_finish.get(*customer).copied().unwrap_or_default())?;
        Some((priority, customer.clone()))
    }

    fn peek(&self) -> Option<&Waiting> {
        let (priority, customer) = self.next_customer()?;
        self.classes[&priority][&customer].front()
    }

    fn pop(&mut self) -> Option<Waiting> {
        let (priority, customer) = self.next_customer()?;
        let waiting = self.remove_with(priority, &customer, VecDeque::pop_front)?;
        let job = &waiting.job;
        let work = job.tokens.0.max(1).saturating_mul(VIRTUAL_TIME_UNIT) / u64::from(job.weight.max(1));
        let virtual_finish = self.virtual_finish.entry(customer).or_default();
        self.virtual_now = self.virtual_now.max(*virtual_finish);
        *virtual_finish = virtual_finish.saturating_add(work);
        if self.len == 0 {
            let virtual_now = self.virtual_now;
            self.virtual_finish.retain(|_, virtual_finish| *virtual_finish > virtual_now);
        }
        Some(waiting)
    }

    /// Removes the newest request of the customer whose queue is longest relative to its weight, in
    /// the least urgent class. If only one customer waits in that class, it is the last arrival there.
    fn pop_victim(&mut self) -> Option<Waiting> {
        let (&priority, class) = self.classes.last_key_value()?;
        let weighted_len = |jobs: &VecDeque<Waiting>| {
            let weight = jobs.back().map_or(1, |waiting| u64::from(waiting.job.weight.max(1)));
            jobs.len() as u64 * VIRTUAL_TIME_UNIT / weight
        };
        let customer = class.iter().max_by_key(|(_, jobs)| weighted_len(jobs)).map(|(customer, _)| customer.clone())?;
        self.remove_with(priority, &customer, VecDeque::pop_back)
    }

    fn remove(&mut self, ticket: Ticket) {
        let place = self.classes.iter().find_map(|(&priority, class)| {
            class.iter().find_map(|(customer, jobs)| {
                let index = jobs.iter().position(|waiting| waiting.job.ticket == ticket)?;
                Some((priority, customer.clone(), index))
            })
        });
        if let Some((priority, customer, index)) = place {
            self.remove_with(priority, &customer, |jobs| jobs.remove(index));
        }
    }

    /// Number of requests that would run before `job` if it arrived now: all requests of more urgent
    /// classes, plus those of its own class that fair queueing puts ahead of it.
    fn count_ahead_of(&self, job: &Job) -> u32 {
        let more_urgent: usize =
            self.classes.range(..job.priority).flat_map(|(_, class)| class.values()).map(VecDeque::len).sum();
        let Some(class) = self.classes.get(&job.priority) else { return more_urgent as u32 };
        let in_class: usize = class.values().map(VecDeque::len).sum();
        let own = class.get(&job.customer).map_or(0, VecDeque::len);
        let others = class.iter().filter(|(customer, _)| **customer != job.customer);
        let other_weights: u64 =
            others.filter_map(|(_, jobs)| jobs.front()).map(|waiting| u64::from(waiting.job.weight.max(1))).sum();
        let weight = u64::from(job.weight.max(1));
        let fair_share = own as u64 + (own as u64 + 1) * other_weights / weight;
        (more_urgent as u64 + fair_share.min(in_class as u64)) as u32
    }

    /// Removes the request that `pick` takes from the customer's queue, and drops what becomes empty.
    fn remove_with(
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
