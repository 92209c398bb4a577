//! Several gateways with their own views, under the loads that admission is made for. Time is simulated in steps.

use std::collections::BTreeMap;

use eelgrasswell_core::{
    room::{PeerReports, ServerSlots},
    unit::Millis,
    waiting::{Admission, Decision, Request, WaitId, WaitLimits},
};
use test_case::test_case;

const START: u64 = 100_000;
const STEP: u64 = 10;
const REFRESH: u64 = 100;
const REPORT: u64 = 400;
const OBJECTIVE: Millis = Millis(1_000);
const DEADLINE: u64 = 9_000;

/// One simulated gateway.
struct Gateway {
    admission: Admission,
    peers: PeerReports,
    /// Requests in progress: start and end.
    running: Vec<(u64, u64)>,
    waiting: BTreeMap<WaitId, (Millis, u64)>,
    served: u32,
    /// Times at which refused requests return; those without a time are lost.
    returns: Vec<u64>,
    refused: u32,
}

/// Gateways in front of one service with servers of ten slots.
struct Sim {
    now: u64,
    servers: u32,
    reports: bool,
    gateways: Vec<Gateway>,
    peak: usize,
}

impl Sim {
    fn new(gateways: usize, servers: u32) -> Self {
        let limits = WaitLimits { max_wait: Millis(1_000), max_waiting: 256 };
        let gateway = |_| Gateway {
            admission: Admission::new(limits),
            peers: PeerReports::default(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            served: 0,
            returns: Vec::new(),
            refused: 0,
        };
        Self { now: START, servers, reports: true, gateways: (0..gateways).map(gateway).collect(), peak: 0 }
    }

    /// Runs for `time`; `arrivals` gives the number of new requests of a gateway in a step, and `hold` the time for which a
    /// request occupies a slot.
    fn run(&mut self, time: u64, arrivals: impl Fn(usize, u64) -> u32, hold: impl Fn(u64) -> u64) {
        let count = self.gateways.len();
        for step in 0..time / STEP {
            self.now += STEP;
            let now = self.now;
            if self.reports && now.is_multiple_of(REPORT) {
                let outstanding: Vec<u32> = self.gateways.iter().map(|gateway| gateway.running.len() as u32).collect();
                for (n, gateway) in self.gateways.iter_mut().enumerate() {
                    for peer in (0..count).filter(|peer| *peer != n) {
                        let report = [("s0".into(), outstanding[peer])].into_iter();
                        gateway.peers.record(Millis(now), format!("g{peer}").as_str().into(), report);
                    }
                }
            }
            for (n, gateway) in self.gateways.iter_mut().enumerate() {
                if now.is_multiple_of(REFRESH) {
                    gateway.refresh(now, self.servers, count, &hold);
                }
                gateway.step(now, &hold);
                let back = gateway.returns.iter().filter(|at| **at <= now).count() as u32;
                gateway.returns.retain(|at| *at > now);
                for _ in 0..arrivals(n, step) + back {
                    gateway.arrive(now, &hold);
                }
            }
            self.peak = self.peak.max(self.gateways.iter().map(|gateway| gateway.running.len()).sum());
        }
    }

    fn served(&self) -> Vec<u32> {
        self.gateways.iter().map(|gateway| gateway.served).collect()
    }
}

impl Gateway {
    fn refresh(&mut self, now: u64, servers: u32, gateways: usize, hold: &impl Fn(u64) -> u64) {
        let server = |n: u32| ServerSlots {
            id: format!("s{n}").as_str().into(),
            service: "desk".into(),
            slots: 10,
            in_service: true,
            usable: true,
            own: 0,
        };
        let servers: Vec<ServerSlots> = (0..servers).map(server).collect();
        let rooms = self.peers.rooms(Millis(now), &servers, gateways, 1.0);
        let ended = self.admission.refresh(Millis(now), rooms);
        for refused in ended.refused {
            let (_, deadline) = self.waiting.remove(&refused.id).unwrap();
            self.refuse(now, refused.retry_after, deadline);
        }
        self.start(now, ended.admitted.into_iter().map(|(id, _)| id).collect(), hold);
    }

    fn step(&mut self, now: u64, hold: &impl Fn(u64) -> u64) {
        let ended: Vec<(u64, u64)> = self.running.extract_if(.., |(_, end)| *end <= now).collect();
        for (start, end) in ended {
            let admitted = self.admission.end(Millis(now), &"desk".into(), Some(Millis(end - start)));
            self.served += 1;
            self.start(now, admitted.into_iter().map(|(id, _)| id).collect(), hold);
        }
        let over: Vec<WaitId> =
            self.waiting.iter().filter(|(_, (until, _))| until.0 < now).map(|(id, _)| *id).collect();
        for id in over {
            let (_, deadline) = self.waiting.remove(&id).unwrap();
            let refused = self.admission.give_up(Millis(now), &"desk".into(), id).unwrap();
            self.refuse(now, refused.retry_after, deadline);
        }
    }

    fn arrive(&mut self, now: u64, hold: &impl Fn(u64) -> u64) {
        let deadline = now + DEADLINE;
        let request = Request {
            service: "desk".into(),
            customer: "a".into(),
            urgency: 0,
            arrived: Millis(now),
            objective: OBJECTIVE,
            deadline: Millis(deadline),
            expected: None,
        };
        match self.admission.ask(Millis(now), &request) {
            Decision::Admit => self.running.push((now, now + hold(now))),
            Decision::Wait { id, until, .. } => {
                self.waiting.insert(id, (until, deadline));
            }
            Decision::Refuse { retry_after, .. } => self.refuse(now, retry_after, deadline),
        }
    }

    fn start(&mut self, now: u64, admitted: Vec<WaitId>, hold: &impl Fn(u64) -> u64) {
        for id in admitted {
            self.waiting.remove(&id).unwrap();
            self.running.push((now, now + hold(now)));
        }
    }

    fn refuse(&mut self, now: u64, retry_after: Option<Millis>, deadline: u64) {
        self.refused += 1;
        if let Some(wait) = retry_after {
            assert!(wait.0 * 3 <= deadline - now);
            self.returns.push(now + wait.0);
        }
    }
}

/// A burst of 1.7 times the capacity for 3 s after four fifths of it: the slots stay in use, and nobody waits once it is over.
#[test]
fn burst_uses_all_slots() {
    let mut sim = Sim::new(4, 4);
    sim.run(5_000, |_, step| u32::from(step % 5 == 0), |_| 400);
    let before: u32 = sim.served().iter().sum();
    sim.run(3_000, |_, step| u32::from(step % 12 < 5), |_| 400);
    let served = sim.served().iter().sum::<u32>() - before;
    assert!(served >= 250, "{served} of about 300");
    sim.run(6_000, |_, _| 0, |_| 400);
    assert!(sim.gateways.iter().all(|gateway| gateway.running.is_empty() && gateway.waiting.is_empty()));
    assert!(sim.peak <= 80, "{} requests at servers with 40 slots", sim.peak);
}

/// A returning wave: 600 requests at once on 10 slots. Those that are refused return spread, and most find a slot.
#[test]
fn wave_returns_spread() {
    let mut sim = Sim::new(3, 1);
    sim.run(2_000, |_, step| u32::from(step % 20 == 0), |_| 100);
    let before: u32 = sim.served().iter().sum();
    sim.run(STEP, |_, _| 200, |_| 100);
    for gateway in &sim.gateways {
        assert!(gateway.returns.len() >= 50, "{} return", gateway.returns.len());
        for from in (sim.now..sim.now + DEADLINE).step_by(100) {
            let wave = gateway.returns.iter().filter(|at| (from..from + 500).contains(at)).count();
            assert!(wave <= 60, "{wave} return within half a second, in which 50 requests end");
        }
    }
    sim.run(9_000, |_, _| 0, |_| 100);
    let served = sim.served().iter().sum::<u32>() - before;
    assert!(served >= 400, "{served} of 600 served");
}

/// Uneven gateways: one with most of the load uses the slots of the others, and gives back their shares when they need them.
#[test]
fn uneven_gateways_share() {
    let mut sim = Sim::new(4, 4);
    sim.run(8_000, |n, step| u32::from(n == 0 && step % 2 == 0), |_| 500);
    assert!(sim.gateways[0].running.len() >= 20, "{} of 40 slots", sim.gateways[0].running.len());
    let before = sim.served();
    sim.run(12_000, |_, step| u32::from(step % 2 == 0), |_| 500);
    let served: Vec<u32> = sim.served().iter().zip(&before).map(|(after, before)| after - before).collect();
    let (least, most) = (served.iter().min().unwrap(), served.iter().max().unwrap());
    assert!(least * 2 >= *most, "{served:?}");
}

/// Half of the servers lost, and long against short requests: the gateways go on at the rate that is left.
#[test_case(2, 400; "half of the servers")]
#[test_case(4, 800; "requests take twice the time")]
fn lost_capacity(servers: u32, hold: u64) {
    let mut sim = Sim::new(4, 4);
    let load = |_, step| u32::from(step % 5 == 0);
    sim.run(6_000, load, |_| 400);
    sim.servers = servers;
    sim.run(2_000, load, |_| hold);
    let before: u32 = sim.served().iter().sum();
    sim.run(8_000, load, |_| hold);
    let served = sim.served().iter().sum::<u32>() - before;
    let capacity = 8_000 / hold as u32 * servers * 10;
    assert!(served * 5 >= capacity * 4, "{served} of {capacity}");
}

/// Peers unknown: no gateway takes more than its share, and none stops.
#[test]
fn peers_unknown() {
    let mut sim = Sim::new(3, 3);
    sim.reports = false;
    sim.run(6_000, |_, step| u32::from(step % 2 == 0), |_| 400);
    assert!(sim.peak <= 30, "{} requests at servers with 30 slots", sim.peak);
    assert!(sim.served().iter().all(|served| *served >= 100), "{:?}", sim.served());
}
