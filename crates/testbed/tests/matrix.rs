//! The fault matrix: each row is a set of faults, each step of a row a cell. `cells` says what is
//! checked. Guards against promises that hold only while nothing else goes wrong.

use std::env;

use eelgrasswell_testbed::{
    cells::{ALL, Step, run},
    fault::{
        Fault::{self, *},
        Path, Role,
    },
};
use eyre::Result;
use test_case::test_case;

/// All steps but bills: router and agent die together, so bills of running requests may be lost.
const WITHOUT_BILL: [Step; 7] =
    [Step::Stream, Step::Booking, Step::Session, Step::Config, Step::Rollout, Step::Lease, Step::Drain];

#[test_case(&[Kill(Role::Router)], &ALL; "kill router")]
#[test_case(&[Kill(Role::Agent)], &ALL; "kill agent")]
#[test_case(&[Freeze(Role::Router)], &ALL; "freeze router")]
#[test_case(&[Freeze(Role::Agent)], &ALL; "freeze agent")]
#[test_case(&[Stop(Role::Router)], &ALL; "stop router")]
#[test_case(&[Stop(Role::Agent)], &ALL; "stop agent")]
#[test_case(&[Replace(Role::Router)], &ALL; "replace router")]
#[test_case(&[Replace(Role::Agent)], &ALL; "replace agent")]
#[test_case(&[AnswersCut(Path::Agent)], &ALL; "one way cut from agent")]
#[test_case(&[RequestsCut(Path::Agent)], &ALL; "one way cut to agent")]
#[test_case(&[AnswersCut(Path::Platform)], &ALL; "one way cut from platform")]
#[test_case(&[TwoWayCut(Path::Agent)], &ALL; "two way cut of agent")]
#[test_case(&[TwoWayCut(Path::Platform)], &ALL; "two way cut of platform")]
#[test_case(&[Refused(Path::Agent)], &ALL; "agent refuses connections")]
#[test_case(&[Silenced(Path::Agent)], &ALL; "silenced connections to agent")]
#[test_case(&[Silenced(Path::Platform)], &ALL; "silenced connections to platform")]
#[test_case(&[Silenced(Path::Peer)], &ALL; "silenced connections between routers")]
#[test_case(&[Slow(Path::Agent), Slow(Path::Peer)], &ALL; "slow peers")]
#[test_case(&[PlatformDown], &ALL; "platform down")]
#[test_case(&[PlatformSlow], &ALL; "platform slow")]
#[test_case(&[AnswersLost], &ALL; "platform answers lost")]
#[test_case(&[WatchLag], &ALL; "lagging watch")]
#[test_case(&[HostLag, Replace(Role::Agent)], &ALL; "lagging host list")]
#[test_case(&[ColdEngine], &ALL; "cold engine without notice")]
#[test_case(&[BadVersion], &ALL; "version turned bad")]
#[test_case(&[OperatorsRace], &ALL; "two operators racing")]
#[test_case(&[FullPool], &ALL; "full pool")]
#[test_case(&[Kill(Role::Router), PlatformDown], &ALL; "kill router while platform is down")]
#[test_case(&[Freeze(Role::Router), AnswersLost], &ALL; "freeze router while answers are lost")]
#[test_case(&[Silenced(Path::Agent), Stop(Role::Router)], &ALL; "stop router while agent connections are silent")]
#[test_case(&[Kill(Role::Router), Kill(Role::Agent)], &WITHOUT_BILL; "kill router and agent")]
#[test_case(&[TwoWayCut(Path::Peer)], &ALL; "two way cut of router from peers")]
#[test_case(&[Refused(Path::Platform)], &ALL; "platform refuses connections")]
#[tokio::test]
async fn cells(faults: &[Fault], steps: &[Step]) -> Result<()> {
    let seed = env::var("EELGRASSWELL_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(31);
    println!("seed {seed}, {faults:?}");
    run(faults, steps, seed).await
}
