//! Notices within a second that a server is slow for a moment.
//!
//! The load: some servers are two or three times slower than the others for a few seconds. The moving average of the
//! slowness of answers needs more answers than one router gets from a server in this time. A running stream shows it many
//! times a second. What a server gives is compared with what the other servers of the service give at the same time, so that
//! a service that is loaded as a whole has no slow servers. It concerns new requests only, and is no verdict on a version.

use crate::unit::{Bytes, Millis};

/// Time after which a sample counts half. Servers are slow for some seconds, and should get requests again soon after.
const HALF_LIFE: Millis = Millis(500);
/// Weight of the assumption that a server is like the others, in samples.
const PRIOR_WEIGHT: f64 = 2.0;
/// Largest logarithm of a sample, about seven times the usual time. A single late answer must not decide.
const MAX_LOG: f64 = 2.0;
/// Weight from which the samples of a server count for the comparison.
const MIN_WEIGHT: f64 = 1.0;
/// Minimum number of servers with such samples. Two servers can't tell which of them is unusual.
const MIN_SERVERS: usize = 3;
/// Factor from which a server is slow. Chance makes factors up to about 1.3.
const SLOW_FACTOR: f64 = 1.4;
/// Largest factor. A server that gets no requests at all would show nothing when it recovers.
const MAX_FACTOR: f64 = 4.0;
/// Minimum time between two samples of a stream.
const SAMPLE_INTERVAL: Millis = Millis(100);

/// Recent samples of a server, each the time that something took as a multiple of the usual time. They are averaged by their
/// logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentPace {
    sum: f64,
    weight: f64,
    updated: Millis,
}

impl RecentPace {
    /// Records that something took `ratio` times the usual time.
    pub fn record(&mut self, now: Millis, ratio: f64) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let decay = self.decay(now);
        self.sum = self.sum * decay + ratio.ln().clamp(-MAX_LOG, MAX_LOG);
        self.weight = self.weight * decay + 1.0;
        self.updated = now;
    }

    /// Whether the server is slower than usual according to its own samples. Cheaper than a comparison with the others.
    pub fn may_be_slow(&self) -> bool {
        self.sum > 0.0
    }

    fn decay(&self, now: Millis) -> f64 {
        (-(now.saturating_sub(self.updated).0 as f64) / HALF_LIFE.0 as f64).exp2()
    }

    fn average(&self) -> f64 {
        self.sum / self.weight
    }
}

/// What the servers of a service give at one time.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    now: Millis,
    /// Median of the averages of the servers; none if too few have recent samples.
    median: Option<f64>,
}

impl Baseline {
    /// Compares the servers of one service.
    pub fn new<'a>(now: Millis, servers: impl Iterator<Item = &'a RecentPace>) -> Self {
        let is_recent = |pace: &&RecentPace| pace.weight * pace.decay(now) >= MIN_WEIGHT;
        let mut averages: Vec<f64> = servers.filter(is_recent).map(RecentPace::average).collect();
        averages.sort_by(f64::total_cmp);
        let median = Some(averages.len()).filter(|len| *len >= MIN_SERVERS).map(|len| averages[(len - 1) / 2]);
        Self { now, median }
    }

    /// Multiple by which the load of a server with the samples `pace` weighs more than that of the others; 1 unless it is
    /// slow at the moment.
    pub fn factor(&self, pace: &RecentPace) -> f64 {
        let Some(median) = self.median.filter(|_| pace.weight > 0.0) else { return 1.0 };
        let weight = pace.weight * pace.decay(self.now);
        let factor = ((pace.average() - median) * weight / (weight + PRIOR_WEIGHT)).exp();
        if factor >= SLOW_FACTOR { factor.min(MAX_FACTOR) } else { 1.0 }
    }
}

/// Takes samples of the pace of a running stream, in milliseconds per byte.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamSampler {
    since: Option<Millis>,
    bytes: u64,
}

impl StreamSampler {
    /// Records data that arrived at `now`. Returns the sample if one is due.
    pub fn record(&mut self, now: Millis, bytes: Bytes) -> Option<f64> {
        let since = *self.since.get_or_insert(now);
        if now > since {
            self.bytes += bytes.0;
        }
        let elapsed = now.saturating_sub(since);
        if elapsed < SAMPLE_INTERVAL || self.bytes == 0 {
            return None;
        }
        let pace = elapsed.0 as f64 / self.bytes as f64;
        (self.since, self.bytes) = (Some(now), 0);
        Some(pace)
    }
}
