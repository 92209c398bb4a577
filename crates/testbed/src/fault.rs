//! Faults that are injected into a running fleet and removed again.

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
    /// A process is killed, and another takes its place.
    Kill(Role),
    /// A process is frozen for longer than any lease lasts, and resumed.
    Freeze(Role),
    /// A process is stopped gracefully, and another takes its place.
    Stop(Role),
    /// A host is replaced by one with the same id at another address.
    Replace(Role),
    /// Requests are forwarded, but no bytes of the answers.
    AnswersCut(LinkKind),
    /// Bytes of answers are forwarded, but not of requests.
    RequestsCut(LinkKind),
    /// No bytes are forwarded in either direction, and connections stay open.
    TwoWayCut(LinkKind),
    /// Open connections are closed and new ones refused.
    Refused(LinkKind),
    /// Connections that are open forward no more bytes but are never closed, while new ones work.
    Blackholed(LinkKind),
    /// Each chunk of bytes is delayed.
    Slow(LinkKind),
    /// The platform rejects all calls.
    PlatformDown,
    /// The platform is slow to answer each call.
    PlatformSlow,
    /// Writes to the platform take effect, but their answers are lost.
    AnswersLost,
    /// Watches report changes late.
    WatchLag,
    /// The host list shows changes late.
    HostLag,
    /// Engines become cold without reporting it.
    ColdEngine,
    /// A version in rollout fails all its requests.
    BadVersion,
    /// Two operators submit different manifests for the same revision.
    OperatorsRace,
    /// All engines of a pool are slow, so that the pool becomes full.
    FullPool,
}

/// Kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A router.
    Router,
    /// An agent.
    Agent,
}

/// Calls that a fault link forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// Calls from all routers to an agent.
    Agent,
    /// Calls from the other routers to a router.
    Peer,
    /// Calls from a router to the platform.
    Platform,
}

/// Processes that a fault affects.
#[derive(Clone, Debug)]
pub struct FaultTarget {
    /// Index of the router.
    pub router: usize,
    /// Indexes of the agents.
    pub agents: Vec<usize>,
}

/// Delay of each chunk of bytes on a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(150);

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
    /// Whether the fault ends or freezes processes. Two such faults with the same target exclude each other.
    pub fn affects_processes(self) -> bool {
        matches!(self, Self::Kill(_) | Self::Freeze(_) | Self::Stop(_) | Self::Replace(_))
    }

    /// Whether an agent loses its answers in flight, and with them the record of what is to be billed.
    pub fn loses_agent_state(self) -> bool {
        matches!(self, Self::Kill(Role::Agent) | Self::Replace(Role::Agent))
    }

    /// Time for which the fault lasts. For comparison, a lease expires after 6 s, a link is lost after 5 s, and a
    /// configuration is stale after 10 s.
    pub fn duration(self) -> Duration {
        Duration::from_millis(match self {
            Self::Freeze(_) => 8_000,
            Self::PlatformDown => 11_000,
            // Longer than the five attempts, of 3 s each, to resume an answer.
            Self::TwoWayCut(_) => 20_000,
            Self::AnswersCut(_) | Self::RequestsCut(_) | Self::Blackholed(_) => 7_000,
            _ => 3_000,
        })
    }

    /// Injects the fault.
    pub async fn inject(self, fleet: &mut Fleet, target: &FaultTarget) -> Result<()> {
        match self {
            Self::Kill(role) | Self::Replace(role) => for_each_process(fleet, role, target, Process::kill),
            Self::Freeze(role) => for_each_process(fleet, role, target, |process| process.signal(Signal::Stop)),
            Self::Stop(role) => for_each_process(fleet, role, target, |process| process.signal(Signal::Term)),
            Self::AnswersCut(link) => set_link_mode(fleet, link, target, LinkMode::RequestsOnly),
            Self::RequestsCut(link) => set_link_mode(fleet, link, target, LinkMode::AnswersOnly),
            Self::TwoWayCut(link) => set_link_mode(fleet, link, target, LinkMode::Blackhole),
            Self::Refused(link) => set_link_mode(fleet, link, target, LinkMode::Cut),
            Self::Slow(link) => set_link_mode(fleet, link, target, LinkMode::Slow(SLOW_LINK_DELAY)),
            Self::Blackholed(link) => for_each_link(fleet, link, target, FaultLink::blackhole_open_connections),
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

    /// Removes the fault, and restarts processes that it ended.
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
            Self::AnswersCut(link)
            | Self::RequestsCut(link)
            | Self::TwoWayCut(link)
            | Self::Refused(link)
            | Self::Slow(link) => set_link_mode(fleet, link, target, LinkMode::Forward),
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
        // Checked first because the fault would hide the exit status of a process that has ended unexpectedly.
        let status = process.exit_status();
        ensure!(status.is_none(), "a {role:?} ended unexpectedly with {status:?}");
        act(process)?;
    }
    Ok(())
}

async fn restart_processes(fleet: &mut Fleet, role: Role, target: &FaultTarget, new_address: bool) -> Result<()> {
    match role {
        Role::Router => {
            fleet.routers[target.router].process = None;
            if new_address {
                fleet.move_router(target.router).await?;
            }
            fleet.start_router(target.router)?;
        }
        Role::Agent => {
            for &agent in &target.agents {
                fleet.agents[agent].process = None;
                if new_address {
                    fleet.move_agent(agent).await?;
                }
                fleet.start_agent(agent)?;
            }
        }
    }
    if new_address { fleet.publish_hosts().await } else { Ok(()) }
}

fn for_each_link(fleet: &Fleet, kind: LinkKind, target: &FaultTarget, act: impl Fn(&FaultLink)) -> Result<()> {
    let links = fleet.links.as_ref().ok_or_else(|| eyre::eyre!("the fleet was planned without fault links"))?;
    match kind {
        LinkKind::Agent => target.agents.iter().for_each(|&agent| act(&links.agents[agent])),
        LinkKind::Peer => act(&links.routers[target.router]),
        LinkKind::Platform => act(&links.platform[target.router]),
    }
    Ok(())
}

fn set_link_mode(fleet: &Fleet, kind: LinkKind, target: &FaultTarget, mode: LinkMode) -> Result<()> {
    for_each_link(fleet, kind, target, |link| link.set_mode(mode))
}

async fn set_engine_faults(fleet: &Fleet, agents: &[usize], fault: &serde_json::Value) -> Result<()> {
    for &agent in agents {
        fleet.set_engine_fault(agent, fault).await?;
    }
    Ok(())
}

/// Lets two operators submit manifests for the same revision until one is accepted. Fails if both are accepted for one
/// revision.
async fn race_operators(fleet: &Fleet, target: &FaultTarget) -> Result<()> {
    const MAX_ROUNDS: usize = 50;
    let (first, second) = (target.router, (target.router + 1) % fleet.routers.len());
    for round in 0..MAX_ROUNDS {
        let current = fleet.get_operators(first, "/v1/manifest").await?.json()?;
        let expected = current["manifest_revision"].as_u64().unwrap_or_default();
        let submit = async |router: usize, max_queued: usize| {
            let mut manifest = current["manifest"].clone();
            manifest["services"]["loan-desk"]["max_queued"] = json!(max_queued);
            let reply = fleet.submit(router, &manifest, expected, &format!("race-{router}-{round}-{expected}")).await;
            reply.map(|reply| reply.status)
        };
        let (first_reply, second_reply) = tokio::join!(submit(first, 30), submit(second, 31));
        let accepted = |reply: &Result<StatusCode>| reply.as_ref().is_ok_and(|status| *status == StatusCode::OK);
        ensure!(
            !(accepted(&first_reply) && accepted(&second_reply)),
            "both submissions were accepted for manifest revision {expected}"
        );
        if accepted(&first_reply) || accepted(&second_reply) {
            return Ok(());
        }
    }
    eyre::bail!("no submission was accepted in {MAX_ROUNDS} rounds")
}
