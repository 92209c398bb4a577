//! The fault matrix: a row is a set of faults, and each operation of a row is a cell. The module `fault_matrix` describes
//! the checks. Guards against guarantees that hold only as long as nothing else fails.

use std::env;

use eelgrasswell_testbed::{
    fault::{
        Fault::{self, *},
        LinkKind, Role,
    },
    fault_matrix::{ALL_OPERATIONS, Operation, run_row},
};
use eyre::Result;
use test_case::test_case;

/// All operations except `Bill`: if a router and an agent are killed together, bills of running requests may be lost.
const OPERATIONS_WITHOUT_BILL: [Operation; 7] = [
    Operation::Stream,
    Operation::Booking,
    Operation::Session,
    Operation::Config,
    Operation::Rollout,
    Operation::Lease,
    Operation::Drain,
];

#[test_case(&[Kill(Role::Router)], &ALL_OPERATIONS; "kill router")]
#[test_case(&[Kill(Role::Agent)], &ALL_OPERATIONS; "kill agent")]
#[test_case(&[Freeze(Role::Router)], &ALL_OPERATIONS; "freeze router")]
#[test_case(&[Freeze(Role::Agent)], &ALL_OPERATIONS; "freeze agent")]
#[test_case(&[Stop(Role::Router)], &ALL_OPERATIONS; "stop router")]
#[test_case(&[Stop(Role::Agent)], &ALL_OPERATIONS; "stop agent")]
#[test_case(&[Replace(Role::Router)], &ALL_OPERATIONS; "replace router")]
#[test_case(&[Replace(Role::Agent)], &ALL_OPERATIONS; "replace agent")]
#[test_case(&[AnswersCut(LinkKind::Agent)], &ALL_OPERATIONS; "one way cut from agent")]
#[test_case(&[RequestsCut(LinkKind::Agent)], &ALL_OPERATIONS; "one way cut to agent")]
#[test_case(&[AnswersCut(LinkKind::Platform)], &ALL_OPERATIONS; "one way cut from platform")]
#[test_case(&[TwoWayCut(LinkKind::Agent)], &ALL_OPERATIONS; "two way cut of agent")]
#[test_case(&[TwoWayCut(LinkKind::Platform)], &ALL_OPERATIONS; "two way cut of platform")]
#[test_case(&[Refused(LinkKind::Agent)], &ALL_OPERATIONS; "agent refuses connections")]
#[test_case(&[Blackholed(LinkKind::Agent)], &ALL_OPERATIONS; "blackholed connections to agent")]
#[test_case(&[Blackholed(LinkKind::Platform)], &ALL_OPERATIONS; "blackholed connections to platform")]
#[test_case(&[Blackholed(LinkKind::Peer)], &ALL_OPERATIONS; "blackholed connections between routers")]
#[test_case(&[Slow(LinkKind::Agent), Slow(LinkKind::Peer)], &ALL_OPERATIONS; "slow peers")]
#[test_case(&[PlatformDown], &ALL_OPERATIONS; "platform down")]
#[test_case(&[PlatformSlow], &ALL_OPERATIONS; "platform slow")]
#[test_case(&[AnswersLost], &ALL_OPERATIONS; "platform answers lost")]
#[test_case(&[WatchLag], &ALL_OPERATIONS; "lagging watch")]
#[test_case(&[HostLag, Replace(Role::Agent)], &ALL_OPERATIONS; "lagging host list")]
#[test_case(&[ColdEngine], &ALL_OPERATIONS; "cold engine without notice")]
#[test_case(&[BadVersion], &ALL_OPERATIONS; "version turned bad")]
#[test_case(&[OperatorsRace], &ALL_OPERATIONS; "two operators racing")]
#[test_case(&[FullPool], &ALL_OPERATIONS; "full pool")]
#[test_case(&[Kill(Role::Router), PlatformDown], &ALL_OPERATIONS; "kill router while platform is down")]
#[test_case(&[Freeze(Role::Router), AnswersLost], &ALL_OPERATIONS; "freeze router while answers are lost")]
#[test_case(&[Blackholed(LinkKind::Agent), Stop(Role::Router)], &ALL_OPERATIONS; "stop router while agent connections are blackholed")]
#[test_case(&[Kill(Role::Router), Kill(Role::Agent)], &OPERATIONS_WITHOUT_BILL; "kill router and agent")]
#[test_case(&[TwoWayCut(LinkKind::Peer)], &ALL_OPERATIONS; "two way cut of router from peers")]
#[test_case(&[Refused(LinkKind::Platform)], &ALL_OPERATIONS; "platform refuses connections")]
#[tokio::test]
async fn cells(faults: &[Fault], operations: &[Operation]) -> Result<()> {
    let seed = env::var("EELGRASSWELL_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(31);
    println!("seed {seed}, {faults:?}");
    run_row(faults, operations, seed).await
}
