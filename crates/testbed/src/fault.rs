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
    AnswersCut(LinkKind),
    /// Only bytes from the called side pass.
    RequestsCut(LinkKind),
    /// No bytes pass in either direction, and connections stay open.
    TwoWayCut(LinkKind),
    /// Connections are closed and new ones refused.
    Refused(LinkKind),
    /// Open connections go silent for good while new ones work.
    Blackholed(LinkKind),
    /// Each chunk of bytes is delayed.
    Slow(LinkKind),
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
pub enum LinkKind {
    /// From all routers to an agent.
    Agent,
    /// From the other routers to a router.
    Peer,
    /// From a router to the platform.
    Platform,
}

/// Which processes a fault concerns.
#[derive(Clone, Debug)]
pub struct FaultTarget {
    /// The router.
    pub router: usize,
    /// The agents.
    pub agents: Vec<usize>,
}

/// Delay of each chunk by a slow peer.
const SLOW: Duration = Duration::from_millis(150);

/// All faults.
pub const ALL_FAULTS: [Fault; 31] = [
    Fault::Kill(Role::Router),
    Fault::Kill(Role::Agent),
    Fault::Freeze(Role::Router),
    Fault::Freeze(Role::Agent),
    Fault::Stop(Role::Router),
    Fault::Stop(Role::Agent),
    Fault::Replace(Role::Router),
    Fault::Replace(Role::Agent),
    Fault::AnswersCut(LinkKind::Agent),
    Fault::AnswersCut(LinkKind::Peer),
    Fault::AnswersCut(LinkKind::Platform),
    Fault::RequestsCut(LinkKind::Agent),
    Fault::RequestsCut(LinkKind::Platform),
    Fault::TwoWayCut(LinkKind::Agent),
    Fault::TwoWayCut(LinkKind::Peer),
    Fault::TwoWayCut(LinkKind::Platform),
    Fault::Refused(LinkKind::Agent),
    Fault::Refused(LinkKind::Platform),
    Fault::Blackholed(LinkKind::Agent),
    Fault::Blackholed(LinkKind::Peer),
    Fault::Blackholed(LinkKind::Platform),
    Fault::Slow(LinkKind::Agent),
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
    pub fn affects_processes(self) -> bool {
        matches!(self, Self::Kill(_) | Self::Freeze(_) | Self::Stop(_) | Self::Replace(_))
    }

    /// Whether answers under way on an agent are lost with it, and with them the record of what is due.
    pub fn loses_agent_state(self) -> bool {
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
            Self::AnswersCut(_) | Self::RequestsCut(_) | Self::Blackholed(_) => 7_000,
            _ => 3_000,
        })
    }

    /// Lets the fault enter.
    pub async fn inject(self, fleet: &mut Fleet, target: &FaultTarget) -> Result<()> {
        match self {
            Self::Kill(role) | Self::Replace(role) => for_each_process(fleet, role, target, Process::kill),
            Self::Freeze(role) => for_each_process(fleet, role, target, |process| process.signal(Signal::Stop)),
            Self::Stop(role) => for_each_process(fleet, role, target, |process| process.signal(Signal::Term)),
            Self::AnswersCut(path) => set_link_mode(fleet, path, target, LinkMode::RequestsOnly),
            Self::RequestsCut(path) => set_link_mode(fleet, path, target, LinkMode::AnswersOnly),
            Self::TwoWayCut(path) => set_link_mode(fleet, path, target, LinkMode::Blackhole),
            Self::Refused(path) => set_link_mode(fleet, path, target, LinkMode::Cut),
            Self::Slow(path) => set_link_mode(fleet, path, target, LinkMode::Slow(SLOW)),
            Self::Blackholed(path) => for_each_link(fleet, path, target, FaultLink::blackhole_open_connections),
            Self::PlatformDown => fleet.set_platform_fault(&json!({"down": true})).await,
            Self::PlatformSlow => fleet.set_platform_fault(&json!({"slow_ms": 300})).await,
            Self::AnswersLost => fleet.set_platform_fault(&json!({"lose_answers": 40})).await,
            Self::WatchLag => fleet.set_platform_fault(&json!({"watch_lag_ms": 3_000})).await,
            Self::HostLag => fleet.set_platform_fault(&json!({"host_lag_ms": 5_000})).await,
            Self::ColdEngine => {
                set_engine_faults(fleet, &target.agents, &json!({"cold": true, "restarted": false})).await
            }
            Self::BadVersion => {
                let all: Vec<usize> = (0..fleet.agents.len()).collect();
                set_engine_faults(fleet, &all, &json!({"error_permille": 1_000, "version": "v2"})).await
            }
            Self::OperatorsRace => race_operators(fleet, target).await,
            Self::FullPool => {
                let pool: Vec<usize> =
                    (0..fleet.agents.len()).filter(|&agent| !fleet.agents[agent].plan.loaded.is_empty()).collect();
                set_engine_faults(fleet, &pool, &json!({"slow": 10.0})).await
            }
        }
    }

    /// Ends the fault; processes that it ended run again.
    pub async fn remove(self, fleet: &mut Fleet, target: &FaultTarget) -> Result<()> {
        match self {
            Self::Kill(role) => restart_processes(fleet, role, target, false).await,
            Self::Replace(role) => restart_processes(fleet, role, target, true).await,
            Self::Freeze(role) => for_each_process(fleet, role, target, |process| process.signal(Signal::Continue)),
            Self::Stop(role) => {
                for process in target_processes(fleet, role, target) {
                    let status = process.wait().await?;
                    ensure!(status.success(), "a stopped {role:?} ended with {status}");
                }
                restart_processes(fleet, role, target, false).await
            }
            Self::AnswersCut(path)
            | Self::RequestsCut(path)
            | Self::TwoWayCut(path)
            | Self::Refused(path)
            | Self::Slow(path) => set_link_mode(fleet, path, target, LinkMode::Forward),
            Self::Blackholed(_) | Self::OperatorsRace => Ok(()),
            Self::PlatformDown | Self::PlatformSlow | Self::AnswersLost | Self::WatchLag | Self::HostLag => {
                let none = json!({"down": false, "slow_ms": 0, "lose_answers": 0, "watch_lag_ms": 0, "host_lag_ms": 0});
                fleet.set_platform_fault(&none).await
            }
            Self::ColdEngine | Self::BadVersion | Self::FullPool => {
                let all: Vec<usize> = (0..fleet.agents.len()).collect();
                set_engine_faults(fleet, &all, &json!({"cold": false, "error_permille": 0, "version": "", "slow": 1.0}))
                    .await
            }
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

fn target_processes<'a>(fleet: &'a mut Fleet, role: Role, target: &'a FaultTarget) -> Vec<&'a mut Process> {
    match role {
        Role::Router => fleet.routers[target.router].process.iter_mut().collect(),
        Role::Agent => {
            let agents = fleet.agents.iter_mut().enumerate().filter(|(index, _)| target.agents.contains(index));
            agents.filter_map(|(_, agent)| agent.process.as_mut()).collect()
        }
    }
}

fn for_each_process(
    fleet: &mut Fleet,
    role: Role,
    target: &FaultTarget,
    act: impl Fn(&mut Process) -> Result<()>,
) -> Result<()> {
    for process in target_processes(fleet, role, target) {
        // A process that has ended by itself would hide its exit code behind the fault.
        let ended = process.exit_status();
        ensure!(ended.is_none(), "a {role:?} ended by itself with {ended:?}");
        act(process)?;
    }
    Ok(())
}

async fn restart_processes(fleet: &mut Fleet, role: Role, target: &FaultTarget, moved: bool) -> Result<()> {
    match role {
        Role::Router => {
            fleet.routers[target.router].process = None;
            if moved {
                fleet.move_router(target.router).await?;
            }
            fleet.start_router(target.router)?;
        }
        Role::Agent => {
            for &agent in &target.agents {
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

fn for_each_link(fleet: &Fleet, path: LinkKind, target: &FaultTarget, act: impl Fn(&FaultLink)) -> Result<()> {
    let links = fleet.links.as_ref().ok_or_else(|| eyre::eyre!("the fleet was planned without fault links"))?;
    match path {
        LinkKind::Agent => target.agents.iter().for_each(|&agent| act(&links.agents[agent])),
        LinkKind::Peer => act(&links.routers[target.router]),
        LinkKind::Platform => act(&links.platform[target.router]),
    }
    Ok(())
}

fn set_link_mode(fleet: &Fleet, path: LinkKind, target: &FaultTarget, mode: LinkMode) -> Result<()> {
    for_each_link(fleet, path, target, |link| link.set_mode(mode))
}

async fn set_engine_faults(fleet: &Fleet, agents: &[usize], fault: &serde_json::Value) -> Result<()> {
    for &agent in agents {
        fleet.set_engine_fault(agent, fault).await?;
    }
    Ok(())
}

/// Two operators submit until one of them wins; both winning for one revision breaks a promise.
async fn race_operators(fleet: &Fleet, target: &FaultTarget) -> Result<()> {
    const MAX_ROUNDS: usize = 50;
    let (first, second) = (target.router, (target.router + 1) % fleet.routers.len());
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
