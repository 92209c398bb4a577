//! Selection of an agent.

use eelgrasswell_core::{
    agent_selection::{AgentView, LoadReport, RequestProfile, SelectionHistory, choose, choose_for},
    unit::{Millis, Tokens},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SEED: u64 = 42;
const NOW: Millis = Millis(100_000);

fn agent(n: usize, running: u32) -> AgentView {
    AgentView {
        id: format!("host-{n}").as_str().into(),
        domain: "north".into(),
        outstanding: 0,
        load: LoadReport { running, limit: 10, ..LoadReport::default() },
        loaded: Vec::new(),
        leaving: false,
    }
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(SEED)
}

/// How often each agent is selected in 1,000 selections.
fn counts(agents: &[AgentView], profile: &RequestProfile, history: &SelectionHistory, now: Millis) -> Vec<u32> {
    let mut rng = rng();
    let mut counts = vec![0; agents.len()];
    for _ in 0..1_000 {
        counts[choose_for(agents, profile, history, now, &mut rng).unwrap()] += 1;
    }
    counts
}

/// Guards against a selection without any agent, and against one that ignores the load in pools of two.
#[test_case(&[], None; "no agent")]
#[test_case(&[9], Some(0); "one agent")]
#[test_case(&[5, 4], Some(1); "less loaded")]
fn choose_small_pool(running: &[u32], expected: Option<usize>) {
    let agents: Vec<_> = running.iter().enumerate().map(|(n, &running)| agent(n, running)).collect();
    assert_eq!(choose(&agents, &mut rng()), expected);
}

/// Guards against a score that ignores one of its components.
#[test_case(|busy| busy.outstanding = 3; "own outstanding work")]
#[test_case(|busy| busy.load.queued = 3; "queue")]
#[test_case(|busy| (busy.load.tokens_held, busy.load.tokens_limit) = (Tokens(900), Tokens(1_000)); "token memory")]
#[test_case(|busy| busy.load.cold = true; "cold start")]
fn choose_avoids(edit: fn(&mut AgentView)) {
    let mut agents = vec![agent(0, 0), agent(1, 1)];
    edit(&mut agents[0]);
    let counts = counts(&agents, &RequestProfile { tokens: Tokens(50), prefix: 0 }, &SelectionHistory::default(), NOW);
    assert!(counts[1] >= 950, "{counts:?}");
}

/// Guards against cold agents that are avoided although no other agent is available, or that never get a request again
/// and so never become warm.
#[test_case(&[(0, true), (0, true)], 400..600; "all cold")]
#[test_case(&[(10, false), (0, true)], 1_000..1_001; "warm agent full")]
#[test_case(&[(10, false), (10, true)], 0..1; "all full")]
#[test_case(&[(0, false), (0, true)], 1..50; "probe")]
fn choose_cold(states: &[(u32, bool)], expected: std::ops::Range<u32>) {
    let mut agents: Vec<_> = states.iter().enumerate().map(|(n, &(running, _))| agent(n, running)).collect();
    for (agent, (_, cold)) in agents.iter_mut().zip(states) {
        agent.load.cold = *cold;
    }
    let counts = counts(&agents, &RequestProfile::default(), &SelectionHistory::default(), NOW);
    assert!(expected.contains(&counts[1]), "{counts:?}");
}

/// Guards against a refusal that has no effect, or a permanent one.
#[test_case(0, true; "at once")]
#[test_case(10_000, false; "after ten seconds")]
fn choose_after_refusal(later: u64, avoided: bool) {
    let agents = [agent(0, 0), agent(1, 1)];
    let mut history = SelectionHistory::default();
    history.record_refusal(&agents[0].id, NOW);
    let counts = counts(&agents, &RequestProfile::default(), &history, NOW + Millis(later));
    assert_eq!(counts[0] == 0, avoided, "{counts:?}");
}

/// Guards against prefix affinity that has no effect, that persists after an eviction or for too long, or that fills
/// the agent.
#[test_case(0, 0, false, 1_000; "cached")]
#[test_case(0, 0, true, 0; "evicted")]
#[test_case(600_000, 0, false, 0; "long ago, eviction lost")]
#[test_case(0, 4, false, 0; "busy")]
fn choose_by_prefix(later: u64, running: u32, evicted: bool, expected: u32) {
    let agents = [agent(0, 0), agent(1, running + 1)];
    let mut history = SelectionHistory::default();
    history.record_cached(&agents[1].id, 7, NOW);
    if evicted {
        history.record_evicted(&agents[1].id, 7);
    }
    let counts = counts(&agents, &RequestProfile { tokens: Tokens(0), prefix: 7 }, &history, NOW + Millis(later));
    assert_eq!(counts[1], expected);
}

/// Guards against a history that grows with the number of prefixes, and against the loss of recent prefixes.
#[test]
fn history_keeps_recent_prefixes() {
    let agents: Vec<_> = (0..50).map(|n| agent(n, 0)).collect();
    let mut history = SelectionHistory::default();
    for prefix in 1..=20_000 {
        history.record_cached(&agents[9].id, prefix, NOW);
    }
    let chosen = |prefix| counts(&agents, &RequestProfile { tokens: Tokens(0), prefix }, &history, NOW)[9];
    assert_eq!(chosen(20_000), 1_000);
    assert!(chosen(1) < 100);
}

/// Simulation of routers that select among agents whose load reports lag.
struct Simulation {
    /// Mean run time of a request, in ticks.
    service_time: u64,
    agents: usize,
    routers: usize,
    /// End time and router of the requests that run at each agent.
    running: Vec<Vec<(u64, usize)>>,
    /// Number of running requests in the last load report, by router and agent.
    reported: Vec<Vec<u32>>,
}

const TICKS: u64 = 6_000;
const HEARTBEAT_TICKS: u64 = 200;
const LIMIT: u32 = 20;
/// Agent that has just joined and looks idle.
const IDLE: usize = 0;

impl Simulation {
    /// Runs the simulation at two thirds of the agents' capacity. Returns the peak number of requests running at the
    /// idle agent within one heartbeat, and the 99th percentile of those running at any agent afterwards.
    fn run(service_time: u64, mut choose: impl FnMut(&[AgentView], &mut ChaCha8Rng) -> usize) -> (usize, usize) {
        let (agents, routers) = (20, 40);
        let running = vec![Vec::new(); agents];
        let mut sim = Self { service_time, agents, routers, running, reported: vec![vec![13; agents]; routers] };
        let mut rng = rng();
        for agent in 1..sim.agents {
            sim.running[agent] = (0..13).map(|n| (n * service_time / 13, sim.routers)).collect();
        }
        for router in &mut sim.reported {
            router[IDLE] = 0;
        }
        let (mut peak, mut samples) = (0, Vec::new());
        for tick in 0..TICKS {
            sim.step(tick, &mut choose, &mut rng);
            if tick < HEARTBEAT_TICKS {
                peak = peak.max(sim.running[IDLE].len());
            } else {
                samples.extend(sim.running.iter().map(Vec::len));
            }
        }
        samples.sort_unstable();
        (peak, samples[samples.len() * 99 / 100])
    }

    fn step(
        &mut self,
        tick: u64,
        choose: &mut impl FnMut(&[AgentView], &mut ChaCha8Rng) -> usize,
        rng: &mut ChaCha8Rng,
    ) {
        for (agent, running) in self.running.iter_mut().enumerate() {
            running.retain(|(end, _)| *end > tick);
            for router in 0..self.routers {
                if tick > 0 && (tick + (router * 7 + agent * 13) as u64).is_multiple_of(HEARTBEAT_TICKS) {
                    self.reported[router][agent] = running.len() as u32;
                }
            }
        }
        for router in 0..self.routers {
            // Arrivals that keep 13 requests running at each agent.
            let arrives = rng.random_ratio(13 * self.agents as u32, self.service_time as u32 * self.routers as u32);
            if !arrives {
                continue;
            }
            let views = self.views(router);
            let chosen = choose(&views, rng);
            let run_time = rng.random_range(self.service_time / 2..=self.service_time * 3 / 2);
            self.running[chosen].push((tick + run_time, router));
        }
    }

    fn views(&self, router: usize) -> Vec<AgentView> {
        let views = (0..self.agents).map(|n| {
            let mut view = agent(n, self.reported[router][n]);
            view.load.limit = LIMIT;
            view.outstanding = self.running[n].iter().filter(|(_, from)| *from == router).count() as u32;
            view
        });
        views.collect()
    }
}

/// Guards against herding: many routers with lagging load reports must not fill an agent that looks idle, and must
/// still balance the load better than random selection.
#[test_case(100; "requests shorter than the lag")]
#[test_case(300; "requests longer than the lag")]
fn choose_without_herding(service_time: u64) {
    let chosen = Simulation::run(service_time, |agents, rng| choose(agents, rng).unwrap());
    let least_loaded = Simulation::run(service_time, |agents, rng| {
        let load = |a: &AgentView| a.outstanding + a.load.running;
        let min = agents.iter().map(load).min().unwrap();
        let ties: Vec<_> = (0..agents.len()).filter(|&n| load(&agents[n]) == min).collect();
        ties[rng.random_range(0..ties.len())]
    });
    let random = Simulation::run(service_time, |agents, rng| rng.random_range(0..agents.len()));
    println!(
        "seed {SEED}: (peak of the idle agent, p99) choose {chosen:?}, least loaded {least_loaded:?}, random {random:?}"
    );
    assert!(chosen.0 <= LIMIT as usize * 3 / 2, "peak {}", chosen.0);
    assert!(chosen.0 * 2 < least_loaded.0, "peak {} against {}", chosen.0, least_loaded.0);
    assert!(chosen.1 < least_loaded.1, "p99 {} against {}", chosen.1, least_loaded.1);
    assert!(chosen.1 < random.1, "p99 {} against {}", chosen.1, random.1);
}
