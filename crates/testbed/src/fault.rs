//! Faults that enter a running fleet and end again.

use std::{fmt, time::Duration};

use eyre::{Result, ensure};
use hyper::StatusCode;
use serde_json::json;

use crate::{
    fault_link::{FaultLink, LinkMode},
    fleet::Fleet,
    process::{Process, Signal},
};

/// A fault in the environment of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process ends without notice and another takes its place.
    Kill(Role),
    /// A process is frozen for longer than any lease lasts, and resumed.
    Freeze(Role),
    /// A process is stopped gracefully and another takes its place.
    Stop(Role),
    /// A host is replaced by one with the same id at another address.
    Replace(Role),
    /// Only requests pass; no bytes come back.
    AnswersCut(Path),
    /// Only bytes from the called side pass.
    RequestsCut(Path),
    /// No bytes pass in either direction, and connections stay open.
    TwoWayCut(Path),
    /// Connections are closed and new ones refused.
    Refused(Path),
    /// Open connections go silent for good while new ones work.
    Silenced(Path),
    /// Each chunk of bytes is delayed.
    Slow(Path),
    /// The platform refuses all calls.
    PlatformDown,
    /// The platform takes long for each call.
    PlatformSlow,
    /// The platform loses answers to writes after their effect.
    AnswersLost,
    /// Watches learn of changes late.
    WatchLag,
    /// The host list shows changes late.
    HostLag,
    /// Engines turn cold and do not announce it.
    ColdEngine,
    /// A version in rollout fails all its requests.
    BadVersion,
    /// Two operators submit different manifests for the same revision.
    OperatorsRace,
    /// All engines of a pool are slow, so that the pool fills up.
    FullPool,
}

/// Kind of process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A router.
    Router,
    /// An agent.
    Agent,
}

/// Calls that a fault link carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// From all routers to an agent.
    Agent,
    /// From the other routers to a router.
    Peer,
    /// From a router to the platform.
    Platform,
}

/// Which processes a fault concerns.
#[derive(Clone, Debug)]
pub struct Place {
    /// The router.
    pub router: usize,
    /// The agents.
    pub agents: Vec<usize>,
}

/// Delay of each chunk by a slow peer.
const SLOW: Duration = Duration::from_millis(150);

/// All faults.
pub const ALL: [Fault; 31] = [
    Fault::Kill(Role::Router),
    Fault::Kill(Role::Agent),
    Fault::Freeze(Role::Router),
    Fault::Freeze(Role::Agent),
    Fault::Stop(Role::Router),
    Fault::Stop(Role::Agent),
    Fault::Replace(Role::Router),
    Fault::Replace(Role::Agent),
    Fault::AnswersCut(Path::Agent),
    Fault::AnswersCut(Path::Peer),
    Fault::AnswersCut(Path::Platform),
    Fault::RequestsCut(Path::Agent),
    Fault::RequestsCut(Path::Platform),
    Fault::TwoWayCut(Path::Agent),
    Fault::TwoWayCut(Path::Peer),
    Fault::TwoWayCut(Path::Platform),
    Fault::Refused(Path::Agent),
    Fault::Refused(Path::Platform),
    Fault::Silenced(Path::Agent),
    Fault::Silenced(Path::Peer),
    Fault::Silenced(Path::Platform),
    Fault::Slow(Path::Agent),
    Fault::PlatformDown,
    Fault::PlatformSlow,
    Fault::AnswersLost,
    Fault::WatchLag,
    Fault::HostLag,
    Fault::ColdEngine,
    Fault::BadVersion,
    Fault::OperatorsRace,
    Fault::FullPool,
];

impl Fault {
    /// Whether the fault ends or freezes processes; two such faults at one place exclude each other.
    pub fn is_of_process(self) -> bool {
        matches!(self, Self::Kill(_) | Self::Freeze(_) | Self::Stop(_) | Self::Replace(_))
    }

    /// Whether answers under way on an agent are lost with it, and with them the record of what is due.
    pub fn loses_agent(self) -> bool {
        matches!(self, Self::Kill(Role::Agent) | Self::Replace(Role::Agent))
    }

    /// Time for which the fault lasts: leases end after 6 s, links after 5 s, and a configuration
    /// counts as stale after 10 s.
    pub fn duration(self) -> Duration {
        Duration::from_millis(match self {
            Self::Freeze(_) => 8_000,
            Self::PlatformDown => 11_000,
            // Longer than the five attempts of 3 s each to join an answer again.
            Self::TwoWayCut(_) => 20_000,
            Self::AnswersCut(_) | Self::RequestsCut(_) | Self::Silenced(_) => 7_000,
            _ => 3_000,
        })
    }

    /// Lets the fault enter.
    pub async fn begin(self, fleet: &mut Fleet, place: &Place) -> Result<()> {
        match self {
            Self::Kill(role) | Self::Replace(role) => each(fleet, role, place, Process::kill),
            Self::Freeze(role) => each(fleet, role, place, |process| process.signal(Signal::Stop)),
            Self::Stop(role) => each(fleet, role, place, |process| process.signal(Signal::Term)),
            Self::AnswersCut(path) => set(fleet, path, place, LinkMode::RequestsOnly),
            Self::RequestsCut(path) => set(fleet, path, place, LinkMode::AnswersOnly),
            Self::TwoWayCut(path) => set(fleet, path, place, LinkMode::Silent),
            Self::Refused(path) => set(fleet, path, place, LinkMode::Cut),
            Self::Slow(path) => set(fleet, path, place, LinkMode::Slow(SLOW)),
            Self::Silenced(path) => with_links(fleet, path, place, FaultLink::silence_open_connections),
            Self::PlatformDown => fleet.set_platform_fault(&json!({"down": true})).await,
            Self::PlatformSlow => fleet.set_platform_fault(&json!({"slow_ms": 300})).await,
            Self::AnswersLost => fleet.set_platform_fault(&json!({"lose_answers": 40})).await,
            Self::WatchLag => fleet.set_platform_fault(&json!({"watch_lag_ms": 3_000})).await,
            Self::HostLag => fleet.set_platform_fault(&json!({"host_lag_ms": 5_000})).await,
            Self::ColdEngine => engines(fleet, &place.agents, &json!({"cold": true, "restarted": false})).await,
            Self::BadVersion => {
                let all: Vec<usize> = (0..fleet.agents.len()).collect();
                engines(fleet, &all, &json!({"error_permille": 1_000, "version": "v2"})).await
            }
            Self::OperatorsRace => race(fleet, place).await,
            Self::FullPool => {
                let pool: Vec<usize> =
                    (0..fleet.agents.len()).filter(|&agent| !fleet.agents[agent].plan.loaded.is_empty()).collect();
                engines(fleet, &pool, &json!({"slow": 10.0})).await
            }
        }
    }

    /// Ends the fault; processes that it ended run again.
    pub async fn end(self, fleet: &mut Fleet, place: &Place) -> Result<()> {
        match self {
            Self::Kill(role) => restart(fleet, role, place, false).await,
            Self::Replace(role) => restart(fleet, role, place, true).await,
            Self::Freeze(role) => each(fleet, role, place, |process| process.signal(Signal::Continue)),
            Self::Stop(role) => {
                for process in processes(fleet, role, place) {
                    let status = process.wait().await?;
                    ensure!(status.success(), "a stopped {role:?} ended with {status}");
                }
                restart(fleet, role, place, false).await
            }
            Self::AnswersCut(path)
            | Self::RequestsCut(path)
            | Self::TwoWayCut(path)
            | Self::Refused(path)
            | Self::Slow(path) => set(fleet, path, place, LinkMode::Forward),
            Self::Silenced(_) | Self::OperatorsRace => Ok(()),
            Self::PlatformDown | Self::PlatformSlow | Self::AnswersLost | Self::WatchLag | Self::HostLag => {
                let none = json!({"down": false, "slow_ms": 0, "lose_answers": 0, "watch_lag_ms": 0, "host_lag_ms": 0});
                fleet.set_platform_fault(&none).await
            }
            Self::ColdEngine | Self::BadVersion | Self::FullPool => {
                let all: Vec<usize> = (0..fleet.agents.len()).collect();
                engines(fleet, &all, &json!({"cold": false, "error_permille": 0, "version": "", "slow": 1.0})).await
            }
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

fn processes<'a>(fleet: &'a mut Fleet, role: Role, place: &'a Place) -> Vec<&'a mut Process> {
    match role {
        Role::Router => fleet.routers[place.router].process.iter_mut().collect(),
        Role::Agent => {
            let agents = fleet.agents.iter_mut().enumerate().filter(|(index, _)| place.agents.contains(index));
            agents.filter_map(|(_, agent)| agent.process.as_mut()).collect()
        }
    }
}

fn each(fleet: &mut Fleet, role: Role, place: &Place, act: impl Fn(&mut Process) -> Result<()>) -> Result<()> {
    for process in processes(fleet, role, place) {
        // A process that has ended by itself would hide its exit code behind the fault.
        let ended = process.exit_status();
        ensure!(ended.is_none(), "a {role:?} ended by itself with {ended:?}");
        act(process)?;
    }
    Ok(())
}

async fn restart(fleet: &mut Fleet, role: Role, place: &Place, moved: bool) -> Result<()> {
    match role {
        Role::Router => {
            fleet.routers[place.router].process = None;
            if moved {
                fleet.move_router(place.router).await?;
            }
            fleet.start_router(place.router)?;
        }
        Role::Agent => {
            for &agent in &place.agents {
                fleet.agents[agent].process = None;
                if moved {
                    fleet.move_agent(agent).await?;
                }
                fleet.start_agent(agent)?;
            }
        }
    }
    if moved { fleet.publish_hosts().await } else { Ok(()) }
}

fn with_links(fleet: &Fleet, path: Path, place: &Place, act: impl Fn(&FaultLink)) -> Result<()> {
    let links = fleet.links.as_ref().ok_or_else(|| eyre::eyre!("the fleet was planned without fault links"))?;
    match path {
        Path::Agent => place.agents.iter().for_each(|&agent| act(&links.agents[agent])),
        Path::Peer => act(&links.routers[place.router]),
        Path::Platform => act(&links.platform[place.router]),
    }
    Ok(())
}

fn set(fleet: &Fleet, path: Path, place: &Place, mode: LinkMode) -> Result<()> {
    with_links(fleet, path, place, |link| link.set(mode))
}

async fn engines(fleet: &Fleet, agents: &[usize], fault: &serde_json::Value) -> Result<()> {
    for &agent in agents {
        fleet.set_engine_fault(agent, fault).await?;
    }
    Ok(())
}

/// Two operators submit until one of them wins; both winning for one revision breaks a promise.
async fn race(fleet: &Fleet, place: &Place) -> Result<()> {
    const MAX_ROUNDS: usize = 50;
    let (first, second) = (place.router, (place.router + 1) % fleet.routers.len());
    for round in 0..MAX_ROUNDS {
        let shown = fleet.get_operators(first, "/v1/manifest").await?.json()?;
        let expected = shown["manifest_revision"].as_u64().unwrap_or_default();
        let submit = async |router: usize, max_queued: usize| {
            let mut manifest = shown["manifest"].clone();
            manifest["services"]["loan-desk"]["max_queued"] = json!(max_queued);
            let reply = fleet.submit(router, &manifest, expected, &format!("race-{router}-{round}-{expected}")).await;
            reply.map(|reply| reply.status)
        };
        let (one, other) = tokio::join!(submit(first, 30), submit(second, 31));
        let won = |reply: &Result<StatusCode>| reply.as_ref().is_ok_and(|status| *status == StatusCode::OK);
        ensure!(!(won(&one) && won(&other)), "both operators won the race for manifest revision {expected}");
        if won(&one) || won(&other) {
            return Ok(());
        }
    }
    eyre::bail!("no operator won in {MAX_ROUNDS} rounds")
}
