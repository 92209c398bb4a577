//! Decides when a request whose answer is slow is sent to a second server.
//!
//! The load: some servers of a service are slow for moments, so that a few answers take several times as long as the
//! others, while the other servers have room. A second send after a high quantile of the usual time cuts this tail for a
//! small share of additional work. The same rule would multiply the load of a service that is slow as a whole, and would
//! follow every burst. Therefore the share of second sends is limited over a sliding window, and there are none while most
//! of the latest answers are slow.

use std::mem;

use hdrhistogram::Histogram;

use crate::{
    hash::HashMap,
    id::{ModelName, ServiceName},
    unit::Millis,
};

/// Minimum number of answers from which the delay is estimated.
pub const MIN_ANSWERS: u64 = 50;
/// An estimate of the delay is based on the answers of the last one to two times this long.
const DELAY_WINDOW: Millis = Millis(60_000);
/// The same for the median that the latest answers are compared with. It is long, so that an overload of some minutes does
/// not become the usual state.
const MEDIAN_WINDOW: Millis = Millis(600_000);
/// Longest time that the histograms tell apart.
const MAX_MS: u64 = 60_000;
/// Decimal digits to which the histograms are exact. With one digit, a histogram takes about 1 KB.
const DIGITS: u8 = 1;
/// Number of latest answers of a service whose median is compared with the long-term median.
const LATEST: usize = 31;
/// Multiple of the long-term median from which a service is slow as a whole.
const SLOW_SERVICE_FACTOR: f32 = 2.0;
/// Length of the sliding window in which second sends are counted.
const SHARE_WINDOW: Millis = Millis(10_000);
/// Number of parts into which that window is divided.
const SHARE_PARTS: usize = 20;
/// Longest prompt of the smallest size class, in tokens. Up to this size the prompt has little effect on the time.
const SMALL_PROMPT: u64 = 2_048;
/// Number of size classes. Each class holds prompts up to twice as long as the one before.
const SIZE_CLASSES: u8 = 8;
/// Maximum number of classes of requests. Callers may name models, so their number is not otherwise bounded.
const MAX_CLASSES: usize = 128;
/// Maximum number of services.
const MAX_SERVICES: usize = 128;

/// Operators' limits on second sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Share of the requests that may get a second send.
    pub max_share: f64,
    /// Quantile of the time to the start of an answer after which an answer counts as slow.
    pub quantile: f64,
}

/// Class of requests whose answers take about the same time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Service of the request.
    pub service: ServiceName,
    /// Model that the request runs on; empty for plain services.
    pub model: ModelName,
    size: u8,
}

impl Class {
    /// Class of a request with a prompt of `prompt` tokens.
    pub fn new(service: ServiceName, model: ModelName, prompt: u64) -> Self {
        let size = (prompt / SMALL_PROMPT).checked_ilog2().map_or(0, |log| log as u8 + 1).min(SIZE_CLASSES - 1);
        Self { service, model, size }
    }
}

/// Why a slow request gets no second send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Fewer than `MIN_ANSWERS` answers are known, so none counts as slow.
    FewAnswers,
    /// Most of the latest answers of the service are slow.
    SlowService,
    /// The operators' share is used up.
    Share,
    /// No other server has a load up to the mean.
    NoSpareServer,
    /// The repeat budget is used up, or too little time is left.
    Budget,
}

impl Denial {
    /// Name in metrics and the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FewAnswers => "few_answers",
            Self::SlowService => "slow_service",
            Self::Share => "share",
            Self::NoSpareServer => "no_spare_server",
            Self::Budget => "budget",
        }
    }
}

/// Times of answers and counts of second sends at one router.
#[derive(Debug, Default)]
pub struct SecondSends {
    classes: HashMap<Class, ClassTimes>,
    services: HashMap<ServiceName, ServiceState>,
}

#[derive(Debug)]
struct ClassTimes {
    for_delay: AgingHistogram,
    for_median: AgingHistogram,
    last_used: Millis,
}

#[derive(Debug)]
struct ServiceState {
    share: ShareWindow,
    /// Times of the latest answers as multiples of the long-term median of their class, in a ring.
    latest: [f32; LATEST],
    /// Number of answers recorded in `latest`.
    recorded: usize,
    last_used: Millis,
}

impl SecondSends {
    /// Returns the time without an answer after which a request of `class` that is sent now is slow. With `counts`, the
    /// request is counted in the share; each request must be counted once.
    pub fn start(&mut self, now: Millis, class: &Class, quantile: f64, counts: bool) -> Result<Millis, Denial> {
        if counts {
            self.service_mut(now, &class.service).share.record_request(now);
        }
        let times = self.classes.get_mut(class).ok_or(Denial::FewAnswers)?;
        times.for_delay.quantile(now, quantile).map(|time| time + Millis(1)).ok_or(Denial::FewAnswers)
    }

    /// Records that the answer to the first send of a request of `class` started after `elapsed`, or had not started by
    /// then when the other send was answered. Without these, the slowest answers would be missing, and the delay would
    /// become shorter with each second send.
    pub fn record(&mut self, now: Millis, class: &Class, elapsed: Millis) {
        if !self.classes.contains_key(class) {
            evict_oldest(&mut self.classes, MAX_CLASSES, |times| times.last_used);
            self.classes.insert(class.clone(), ClassTimes::new(now));
        }
        let Some(times) = self.classes.get_mut(class) else { return };
        times.last_used = now;
        let median = times.for_median.quantile(now, 0.5);
        times.for_delay.record(now, elapsed);
        times.for_median.record(now, elapsed);
        if let Some(median) = median {
            let service = self.service_mut(now, &class.service);
            service.record(elapsed.0 as f32 / median.0.max(1) as f32);
        }
    }

    /// Decides whether a request for `service` whose answer is slow gets a second send. `find` does the rest of the
    /// decision, and chooses the server; it is called only if the share allows a second send, which is counted if `find`
    /// succeeds.
    pub fn try_send<T>(
        &mut self,
        now: Millis,
        service: &ServiceName,
        max_share: f64,
        find: impl FnOnce() -> Result<T, Denial>,
    ) -> Result<T, Denial> {
        let service = self.service_mut(now, service);
        if service.is_slow() {
            return Err(Denial::SlowService);
        }
        if !service.share.allows_another(now, max_share) {
            return Err(Denial::Share);
        }
        let found = find()?;
        service.share.record_second_send(now);
        Ok(found)
    }

    /// Share of the requests for `service` within the window that got a second send.
    pub fn share_used(&mut self, now: Millis, service: &ServiceName) -> f64 {
        let (requests, second_sends) = self.service_mut(now, service).share.counts(now);
        if requests == 0 { 0.0 } else { f64::from(second_sends) / f64::from(requests) }
    }

    fn service_mut(&mut self, now: Millis, name: &ServiceName) -> &mut ServiceState {
        if !self.services.contains_key(name) {
            evict_oldest(&mut self.services, MAX_SERVICES, |service| service.last_used);
        }
        let service = self.services.entry(name.clone()).or_insert_with(ServiceState::new);
        service.last_used = now;
        service
    }
}

impl ClassTimes {
    fn new(now: Millis) -> Self {
        Self {
            for_delay: AgingHistogram::new(now, DELAY_WINDOW),
            for_median: AgingHistogram::new(now, MEDIAN_WINDOW),
            last_used: now,
        }
    }
}

impl ServiceState {
    fn new() -> Self {
        Self { share: ShareWindow::default(), latest: [0.0; LATEST], recorded: 0, last_used: Millis::ZERO }
    }

    fn record(&mut self, ratio: f32) {
        self.latest[self.recorded % LATEST] = ratio;
        self.recorded = self.recorded.wrapping_add(1);
    }

    /// Whether the median of the latest answers is far above the usual one.
    fn is_slow(&self) -> bool {
        let slow = self.latest.iter().filter(|ratio| **ratio > SLOW_SERVICE_FACTOR).count();
        slow > LATEST.min(self.recorded) / 2
    }
}

/// Histogram of times that forgets. Two histograms hold the same times; in turns, one of them is emptied and the other one
/// is read, so that what is read covers one to two times the window.
#[derive(Debug)]
struct AgingHistogram {
    longer: Histogram<u32>,
    shorter: Histogram<u32>,
    emptied_at: Millis,
    window: Millis,
}

impl AgingHistogram {
    fn new(now: Millis, window: Millis) -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_MS, DIGITS).expect("the bounds are valid");
        Self { longer: empty(), shorter: empty(), emptied_at: now, window }
    }

    fn record(&mut self, now: Millis, time: Millis) {
        self.age(now);
        self.longer.saturating_record(time.0);
        self.shorter.saturating_record(time.0);
    }

    /// The quantile; none with fewer than `MIN_ANSWERS` answers.
    fn quantile(&mut self, now: Millis, quantile: f64) -> Option<Millis> {
        self.age(now);
        (self.longer.len() >= MIN_ANSWERS).then(|| Millis(self.longer.value_at_quantile(quantile)))
    }

    fn age(&mut self, now: Millis) {
        let age = now.saturating_sub(self.emptied_at);
        if age < self.window {
            return;
        }
        mem::swap(&mut self.longer, &mut self.shorter);
        self.shorter.reset();
        if age >= self.window + self.window {
            self.longer.reset();
        }
        self.emptied_at = now;
    }
}

/// Counts of the requests and of the second sends within `SHARE_WINDOW`, by parts of it.
#[derive(Debug, Default)]
struct ShareWindow {
    /// Requests and second sends, by the number of the part modulo the length. One more part than the window has, so that
    /// second sends are counted for the whole window at least, while requests are counted for the window at most.
    parts: [(u32, u32); SHARE_PARTS + 1],
    /// Number of the current part.
    current: u64,
}

impl ShareWindow {
    fn record_request(&mut self, now: Millis) {
        self.part(now).0 += 1;
    }

    fn record_second_send(&mut self, now: Millis) {
        self.part(now).1 += 1;
    }

    fn allows_another(&mut self, now: Millis, max_share: f64) -> bool {
        let (requests, second_sends) = self.counts(now);
        f64::from(second_sends + 1) <= f64::from(requests) * max_share
    }

    /// Number of requests and of second sends.
    fn counts(&mut self, now: Millis) -> (u32, u32) {
        self.part(now);
        let oldest = (self.current as usize + 1) % self.parts.len();
        let sum = self.parts.iter().fold((0, 0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
        (sum.0 - self.parts[oldest].0, sum.1)
    }

    /// The current part, after those that have expired have been emptied.
    fn part(&mut self, now: Millis) -> &mut (u32, u32) {
        let number = now.0 / (SHARE_WINDOW.0 / SHARE_PARTS as u64);
        let len = self.parts.len() as u64;
        let expired = number.saturating_sub(self.current).min(len);
        for part in number + 1 - expired..=number {
            self.parts[(part % len) as usize] = (0, 0);
        }
        self.current = self.current.max(number);
        &mut self.parts[(self.current % len) as usize]
    }
}

/// Makes room for another entry if `map` has `max` of them.
fn evict_oldest<K: Clone + Eq + std::hash::Hash, V>(map: &mut HashMap<K, V>, max: usize, last_used: fn(&V) -> Millis) {
    if map.len() < max {
        return;
    }
    let oldest = map.iter().min_by_key(|(_, value)| last_used(value)).map(|(key, _)| key.clone());
    if let Some(key) = oldest {
        map.remove(&key);
    }
}
