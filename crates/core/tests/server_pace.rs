//! Guards against new requests to a server that is slow for a moment, and against servers that are taken for slow because
//! the whole service is loaded, or by chance.

use eelgrasswell_core::{
    server_pace::{Baseline, RecentPace, StreamSampler},
    unit::{Bytes, Millis},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SERVERS: usize = 12;

/// Servers with one running stream each.
struct Rig {
    servers: [RecentPace; SERVERS],
    rng: ChaCha8Rng,
    now: Millis,
}

impl Rig {
    fn new() -> Self {
        Self { servers: Default::default(), rng: ChaCha8Rng::seed_from_u64(7), now: Millis(100_000) }
    }

    /// Lets `time` pass, in which the servers take `times` times the usual time.
    fn run(&mut self, time: Millis, times: impl Fn(usize) -> f64) {
        for _ in 0..time.0 / 100 {
            self.now += Millis(100);
            for (n, server) in self.servers.iter_mut().enumerate() {
                server.record(self.now, times(n) * self.rng.random_range(0.7..1.4));
            }
        }
    }

    fn factors(&self) -> Vec<f64> {
        let baseline = Baseline::new(self.now, self.servers.iter());
        self.servers.iter().map(|server| baseline.factor(server)).collect()
    }
}

/// The load: two servers are 2.5 times slower for two seconds.
#[test]
fn factor_slow_for_a_moment() {
    let mut rig = Rig::new();
    rig.run(Millis(2_000), |_| 1.0);
    rig.run(Millis(800), |n| if n < 2 { 2.5 } else { 1.0 });
    let factors = rig.factors();
    assert!(factors[..2].iter().all(|factor| *factor > 1.4), "{factors:?}");
    assert!(factors[2..].iter().all(|factor| *factor == 1.0), "{factors:?}");
    rig.run(Millis(1_200), |n| if n < 2 { 2.5 } else { 1.0 });
    rig.run(Millis(1_500), |_| 1.0);
    assert!(rig.factors().iter().all(|factor| *factor == 1.0), "still slow: {:?}", rig.factors());
}

/// The load: the whole service is slow, or all servers are equal.
#[test_case(1.0; "usual")]
#[test_case(3.0; "three times slower")]
fn factor_equal_servers(times: f64) {
    let mut rig = Rig::new();
    for _ in 0..200 {
        rig.run(Millis(500), |_| times);
        assert!(rig.factors().iter().all(|factor| *factor == 1.0), "{:?}", rig.factors());
    }
}

/// Guards against a server that gets no requests for longer than it is slow: without samples it counts as usual.
#[test]
fn factor_without_samples() {
    let mut rig = Rig::new();
    rig.run(Millis(2_000), |n| if n == 0 { 5.0 } else { 1.0 });
    let slow = rig.servers[0];
    rig.run(Millis(3_000), |_| 1.0);
    rig.servers[0] = slow;
    assert_eq!(rig.factors()[0], 1.0);
}

/// Guards against a server that is taken for slow because of one late answer.
#[test]
fn factor_one_late_answer() {
    let mut rig = Rig::new();
    rig.run(Millis(2_000), |_| 1.0);
    rig.servers[0].record(rig.now, 7.0);
    assert_eq!(rig.factors()[0], 1.0);
}

/// Guards against a verdict from too few servers: if two differ, either may be the unusual one.
#[test]
fn factor_two_servers() {
    let mut rig = Rig::new();
    rig.run(Millis(2_000), |n| if n == 0 { 5.0 } else { 1.0 });
    let baseline = Baseline::new(rig.now, rig.servers[..2].iter());
    assert_eq!(baseline.factor(&rig.servers[0]), 1.0);
}

/// Guards against one sample per event, and against a pause that is not counted.
#[test]
fn record_takes_samples_of_a_stream() {
    let mut sampler = StreamSampler::default();
    let mut samples: Vec<f64> = (0..=10).filter_map(|n| sampler.record(Millis(1_000 + n * 50), Bytes(25))).collect();
    samples.extend(sampler.record(Millis(2_500), Bytes(50)));
    assert_eq!(samples, [2.0, 2.0, 2.0, 2.0, 2.0, 20.0]);
}
