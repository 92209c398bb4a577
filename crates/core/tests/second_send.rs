//! Guards against slow answers that get no second send although another server has room, and against second sends that
//! multiply the load of a service that is slow as a whole or gets a burst.

use std::collections::VecDeque;

use eelgrasswell_core::{
    second_send::{Class, Denial, MIN_ANSWERS, SecondSends},
    unit::Millis,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const QUANTILE: f64 = 0.95;
const MAX_SHARE: f64 = 0.05;
/// Time between two requests.
const INTERVAL: u64 = 5;

fn class() -> Class {
    Class::new("desk".into(), "".into(), 0)
}

/// Requests one after the other, each with the time that its first send would take.
struct Rig {
    sends: SecondSends,
    rng: ChaCha8Rng,
    now: Millis,
    sent: usize,
    denied: Vec<Denial>,
}

impl Rig {
    fn new() -> Self {
        let rng = ChaCha8Rng::seed_from_u64(7);
        Self { sends: SecondSends::default(), rng, now: Millis(100_000), sent: 0, denied: Vec::new() }
    }

    /// A usual time of an answer.
    fn usual(&mut self) -> Millis {
        Millis(self.rng.random_range(15..=30))
    }

    /// Runs a request whose first send takes `time`. A second send is answered 20 ms after it.
    fn run(&mut self, time: Millis) {
        self.now += Millis(INTERVAL);
        let time = match self.sends.start(self.now, &class(), QUANTILE, true) {
            Ok(delay) if delay < time => match self.sends.try_send(self.now, &class().service, MAX_SHARE, || Ok(())) {
                Ok(()) => {
                    self.sent += 1;
                    time.min(delay + Millis(20))
                }
                Err(denial) => {
                    self.denied.push(denial);
                    time
                }
            },
            _ => time,
        };
        self.sends.record(self.now, &class(), time);
    }

    fn run_usual(&mut self, requests: usize) {
        for _ in 0..requests {
            let time = self.usual();
            self.run(time);
        }
    }

    fn delay(&mut self) -> Result<Millis, Denial> {
        self.sends.start(self.now, &class(), QUANTILE, false)
    }
}

/// Guards against an estimate from a few answers, which may all be fast or slow by chance.
#[test]
fn start_few_answers() {
    let mut rig = Rig::new();
    rig.run_usual(MIN_ANSWERS as usize - 1);
    assert_eq!(rig.delay(), Err(Denial::FewAnswers));
    rig.run_usual(1);
    let delay = rig.delay().unwrap();
    assert!((Millis(25)..=Millis(35)).contains(&delay), "{delay}");
}

/// The load: one of 40 servers is slow at a time. Guards against slow answers without a second send.
#[test]
fn try_send_servers_slow_by_turns() {
    let mut rig = Rig::new();
    rig.run_usual(4_000);
    let before = rig.sent;
    for n in 0..4_000 {
        let time = if n % 40 == 0 { Millis(200) } else { rig.usual() };
        rig.run(time);
    }
    assert!(rig.sent - before >= 100, "{} second sends for 100 slow answers: {:?}", rig.sent - before, rig.denied);
}

/// The load: all servers become slower, as under overload. Guards against second sends that add to it, also after the
/// overload has lasted for minutes.
#[test_case(3; "three times slower")]
#[test_case(20; "twenty times slower")]
fn try_send_slow_service(factor: u64) {
    let mut rig = Rig::new();
    // As long as the long-term median needs to cover more than the overload.
    rig.run_usual(120_000);
    let slow = |rig: &mut Rig, requests: usize| {
        for _ in 0..requests {
            let time = Millis(rig.usual().0 * factor);
            rig.run(time);
        }
    };
    let before = rig.sent;
    slow(&mut rig, 31);
    assert!(rig.sent - before <= 31, "{}", rig.sent - before);
    let before = rig.sent;
    slow(&mut rig, 24_000);
    assert_eq!(rig.sent, before, "second sends in an overload of two minutes");
    assert!(rig.denied.contains(&Denial::SlowService));
    // Until the estimate of the delay has forgotten the overload.
    rig.run_usual(25_000);
    let before = rig.sent;
    rig.run(Millis(200));
    assert_eq!(rig.sent, before + 1, "none after the overload");
}

/// The load: a burst of slow requests after a quiet time. Guards against second sends for which the requests of the time
/// before are counted.
#[test]
fn try_send_burst() {
    let mut rig = Rig::new();
    rig.run_usual(2_000);
    rig.now += Millis(11_000);
    let second_sends = (0..100)
        .filter(|_| {
            let _ = rig.sends.start(rig.now, &class(), QUANTILE, true);
            rig.sends.try_send(rig.now, &class().service, MAX_SHARE, || Ok(())).is_ok()
        })
        .count();
    assert_eq!(second_sends, 5);
}

/// Guards against more second sends than the operators' share in any window of 10 s that ends with a second send.
#[test_case(0.0)]
#[test_case(0.01)]
#[test_case(0.05)]
#[test_case(0.2)]
fn try_send_share(max_share: f64) {
    let mut rig = Rig::new();
    let (mut requests, mut second_sends) = (VecDeque::new(), VecDeque::new());
    let mut total = 0;
    for n in 0..20_000 {
        // Phases with many and with few requests.
        let longest = if n / 2_000 % 2 == 0 { 4 } else { 60 };
        rig.now += Millis(rig.rng.random_range(0..=longest));
        let _ = rig.sends.start(rig.now, &class(), QUANTILE, true);
        requests.push_back(rig.now);
        if rig.rng.random_bool(0.3) && rig.sends.try_send(rig.now, &class().service, max_share, || Ok(())).is_ok() {
            second_sends.push_back(rig.now);
            total += 1;
            for times in [&mut requests, &mut second_sends] {
                times.retain(|at| *at + Millis(10_000) > rig.now);
            }
            let limit = requests.len() as f64 * max_share;
            assert!(second_sends.len() as f64 <= limit, "{} at {}, limit {limit}", second_sends.len(), rig.now);
        }
    }
    assert!(f64::from(total) >= 20_000.0 * max_share * 0.8, "{total}: too few are allowed");
}

/// Guards against a share that is used up by second sends that were not made, because the repeat budget is exhausted or
/// no server is spare.
#[test_case(Denial::Budget)]
#[test_case(Denial::NoSpareServer)]
fn try_send_denied_by_others(denial: Denial) {
    let mut rig = Rig::new();
    rig.run_usual(400);
    let used = rig.sends.share_used(rig.now, &class().service);
    for _ in 0..100 {
        let result = rig.sends.try_send(rig.now, &class().service, 0.2, || Err::<(), _>(denial));
        assert_eq!(result, Err(denial));
    }
    assert_eq!(rig.sends.share_used(rig.now, &class().service), used);
    assert_eq!(rig.sends.try_send(rig.now, &class().service, 0.2, || Ok(())), Ok(()));
}

/// Guards against a delay that becomes shorter with each second send, since the slowest answers are never seen.
#[test]
fn record_cancelled_sends_keep_delay() {
    let mut rig = Rig::new();
    let run_some_slow = |rig: &mut Rig| {
        for n in 0..24_000 {
            let time = if n % 25 == 0 { Millis(200) } else { rig.usual() };
            rig.run(time);
        }
    };
    run_some_slow(&mut rig);
    let before = rig.delay().unwrap();
    run_some_slow(&mut rig);
    run_some_slow(&mut rig);
    let after = rig.delay().unwrap();
    assert!(after + Millis(3) >= before, "{before}, then {after}");
}

/// Guards against second sends because of a long prompt, whose answer usually takes longer.
#[test]
fn start_sizes_apart() {
    let mut rig = Rig::new();
    let of_size = |prompt| Class::new("chat".into(), "small".into(), prompt);
    for _ in 0..100 {
        rig.sends.record(rig.now, &of_size(500), Millis(60));
        rig.sends.record(rig.now, &of_size(60_000), Millis(1_000));
    }
    let short = rig.sends.start(rig.now, &of_size(1_900), QUANTILE, true).unwrap();
    let long = rig.sends.start(rig.now, &of_size(50_000), QUANTILE, true).unwrap();
    assert!(short < Millis(70) && long > Millis(990), "{short}, {long}");
    assert_eq!(rig.sends.start(rig.now, &of_size(10_000), QUANTILE, true), Err(Denial::FewAnswers));
}

/// Guards against an estimate from answers that are no longer usual.
#[test]
fn start_old_answers() {
    let mut rig = Rig::new();
    rig.run_usual(1_000);
    rig.now += Millis(121_000);
    assert_eq!(rig.delay(), Err(Denial::FewAnswers));
}

/// Guards against memory that grows with the models that callers name, and against callers that thereby make the gateway
/// forget the models in use.
#[test]
fn record_many_models() {
    let mut rig = Rig::new();
    for n in 0..10_000 {
        rig.now += Millis(1);
        rig.sends.record(rig.now, &class(), Millis(20));
        rig.sends.record(rig.now, &Class::new("chat".into(), format!("model-{n}").as_str().into(), 0), Millis(20));
    }
    assert!(rig.delay().is_ok());
}
