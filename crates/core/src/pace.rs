//! Pace at which backend servers generate answers, compared between versions.
//!
//! The pattern: a new version begins its answers in time and then generates them several times slower. While it has few
//! requests, the time to the first byte shows nothing. A long answer is sampled before its end, since slow ones would
//! otherwise be counted late, when the version has more requests.

use crate::{
    hash::HashMap,
    id::{ModelName, ServiceName},
    unit::{Bytes, Millis},
};

/// Time after the first data of an answer at which its pace is sampled, if it has not ended.
const SAMPLE_AFTER: Millis = Millis(300);
/// Minimum number of pieces of data after the first one in an answer whose pace is sampled.
const MIN_PIECES: u32 = 2;
/// Multiple of the median pace above which an answer counts as slow. A mean would not do, because a few answers of busy
/// servers are many times slower than the others.
const SLOW_FACTOR: f64 = 2.0;
/// Share by which one answer moves the estimate of the median.
const MEDIAN_STEP: f64 = 0.03;

/// Takes one sample of the pace of an answer, in milliseconds per byte.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceSampler {
    first_at: Option<Millis>,
    last_at: Millis,
    bytes: u64,
    pieces: u32,
    is_taken: bool,
}

impl PaceSampler {
    /// Records data that arrived at `now`. Returns the sample if it is due.
    pub fn record(&mut self, now: Millis, bytes: Bytes) -> Option<f64> {
        let Some(first_at) = self.first_at else {
            self.first_at = Some(now);
            return None;
        };
        self.last_at = now;
        self.bytes += bytes.0;
        self.pieces += 1;
        if now.saturating_sub(first_at) < SAMPLE_AFTER { None } else { self.take() }
    }

    /// Returns the sample of an answer that has ended, unless it was taken before or the answer was too short.
    pub fn finish(&mut self) -> Option<f64> {
        self.take()
    }

    fn take(&mut self) -> Option<f64> {
        if self.is_taken || self.pieces < MIN_PIECES || self.bytes == 0 {
            return None;
        }
        self.is_taken = true;
        Some(self.last_at.saturating_sub(self.first_at?).0 as f64 / self.bytes as f64)
    }
}

/// Median paces by service and model.
#[derive(Clone, Debug, Default)]
pub struct PaceEstimates {
    medians: HashMap<(ServiceName, ModelName), f64>,
}

impl PaceEstimates {
    /// Median pace, in milliseconds per byte; none before the first answer.
    pub fn median(&self, service: &ServiceName, model: &ModelName) -> Option<f64> {
        self.medians.get(&(service.clone(), model.clone())).copied()
    }

    /// Returns whether an answer with the pace `pace` is slow. Answers of a version on trial do not change the median, so
    /// that the version is compared with the others however many requests it gets.
    pub fn is_slow(&mut self, service: &ServiceName, model: &ModelName, pace: f64, on_trial: bool) -> bool {
        let key = (service.clone(), model.clone());
        if on_trial {
            return self.medians.get(&key).is_some_and(|median| pace > median * SLOW_FACTOR);
        }
        let median = self.medians.entry(key).or_insert(pace);
        let is_slow = pace > *median * SLOW_FACTOR;
        *median *= if pace > *median { 1.0 + MEDIAN_STEP } else { 1.0 - MEDIAN_STEP };
        is_slow
    }
}
