//! Fleets of routers: election of watchers, propagation of changes, and routers that leave or die.

use std::time::Instant;

use eelgrasswell_core::{
    id::{Revision, ShardId},
    unit::Millis,
};
use eelgrasswell_daemon::controller::membership::Gossip;
use eelgrasswell_proto::v1::{HostInfo, HostSection, RouterInfo, SyncReply};
use prost::Message;
use tokio::runtime::Runtime;

use crate::{
    agent::FakeAgent,
    platform::FakePlatform,
    routers::{self, TestRouter},
    wait_until, within,
};

/// Starts `per_domain` routers in each of `domains` failure domains, and waits until all of them know
/// each other.
async fn start_fleet(platform: &FakePlatform, domains: usize, per_domain: usize) -> Vec<TestRouter> {
    let mut fleet: Vec<TestRouter> = Vec::new();
    for i in 0..domains * per_domain {
        let domain = format!("d{}", i % domains);
        fleet.push(routers::open(&format!("r{i}"), &domain, platform.address, &[]).await);
    }
    platform.set_hosts(fleet.iter().map(TestRouter::entry).collect()).await;
    fleet.iter().for_each(TestRouter::start);
    for router in &fleet {
        let members = &router.router.members;
        wait_until("all routers to be live", members.changes(), || members.live_routers().len() == fleet.len()).await;
    }
    fleet
}

/// Guards against platform reads that grow with the fleet: at most two routers of each failure domain are
/// watchers, and changes of the configuration and the host list still reach all routers.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_elects_watchers() {
    const COMMITS: u64 = 5;
    let platform = FakePlatform::open().await;
    let fleet = start_fleet(&platform, 3, 5).await;
    let watchers = fleet.iter().filter(|router| router.router.members.is_watcher()).count();
    assert_eq!(watchers, 6);
    let mut agent = FakeAgent::open("a1").await;
    platform.set_hosts(fleet.iter().map(TestRouter::entry).chain([agent.entry()]).collect()).await;
    for router in &fleet {
        let members = &router.router.members;
        wait_until("the agent on the host list", members.changes(), || members.agents().len() == 1).await;
    }
    agent.wait_for_link().await;
    let writer = fleet.iter().find(|router| !router.router.members.is_watcher()).unwrap();
    for i in 1..=COMMITS {
        let start = Instant::now();
        writer.add_domain(&format!("s{i}"), &format!("d{i}")).await;
        for router in &fleet {
            within("the change", router.router.config.wait_for_revision(Revision(i))).await;
        }
        let routers_after = start.elapsed();
        within("the change at the agent", agent.config.wait_for_revision(Revision(i))).await;
        println!(
            "change {i} at {} routers after {routers_after:?}, at the agent after {:?}",
            fleet.len(),
            start.elapsed()
        );
    }
    within("the confirmation at all routers", async {
        while fleet.iter().any(|router| router.router.config.is_stale()) {
            platform.wait_for_reads(1).await;
        }
    })
    .await;
}

/// Guards against exchanges that exceed their share of a router's bandwidth for control messages in the
/// largest fleet. They may use a third of the 13 KB/s, since links use most of it.
#[tokio::test]
async fn fleet_gossip_size() {
    const ROUTERS: usize = 350;
    let router = routers::open("r0", "d0", routers::closed_address().await, &[]).await;
    let infos = (1..ROUTERS).map(|i| RouterInfo {
        id: format!("router-{i}"),
        domain: format!("domain-{}", i % 15),
        address: format!("10.0.{}.{}:7000", i / 256, i % 256),
        incarnation: i as u64,
        leaving: false,
        heard_ms_ago: 500,
    });
    let hosts = (0..15).map(|i| HostSection {
        domain: format!("domain-{i}"),
        digest: 1,
        observed_ms_ago: 1_500,
        complete: true,
        entries: vec![HostInfo {
            id: format!("agent-{i}"),
            router: false,
            address: "10.1.0.1:7000".into(),
            service: "engines".into(),
            leaving: false,
        }],
    });
    let members = &router.router.members;
    let peer_gossip = Gossip { routers: infos.collect(), hosts: hosts.collect(), ..Gossip::default() };
    members.receive(None, &peer_gossip, Millis(0));
    assert_eq!(members.live_routers().len(), ROUTERS);

    let gossip = members.gossip();
    let reply = members.reply_to(&gossip);
    assert!(reply.routers.is_empty() && reply.hosts.is_empty(), "equal digests, so nothing is sent");
    let message = SyncReply {
        from: Some(members.own_info()),
        revision: 14_000,
        confirmed_ms_ago: 500,
        routers_digest: reply.routers_digest,
        heard: reply.heartbeat_ages,
        hosts_digest: reply.hosts_digest,
        owners_digest: u64::MAX,
        ..SyncReply::default()
    };
    let size = message.encoded_len();
    println!("a message between routers with the same {ROUTERS} live routers: {size} bytes");
    // Two exchanges a second that this router starts and two that others start, with two messages each.
    assert!(8 * size < 13_000 / 3, "{size} bytes");
}

/// Guards against shards being assigned to a router that is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_router_leaves() {
    let platform = FakePlatform::open().await;
    let fleet = start_fleet(&platform, 2, 2).await;
    let leaving = &fleet[1].router;
    leaving.members.announce_leaving();
    let ranks = |router: &TestRouter| {
        router.router.members.ranked_for_shard(ShardId(3)).into_iter().map(|router| router.id).collect::<Vec<_>>()
    };
    assert_eq!(ranks(&fleet[1]).len(), 3, "the leaving router excludes itself at once");
    for router in &fleet {
        let members = &router.router.members;
        wait_until("the leaving router to be excluded", members.changes(), || members.live_routers().len() == 3).await;
        assert!(!ranks(router).contains(&leaving.settings.host.id));
        assert_eq!(ranks(router), ranks(&fleet[0]), "all agree on the order");
    }
}

/// Guards against a dead router still being ranked for shards.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_router_dies() {
    let platform = FakePlatform::open().await;
    let first = routers::open("r1", "d1", platform.address, &[]).await;
    let members = &first.router.members;
    // The second router has its own runtime: only a shutdown of the runtime closes all its connections,
    // like the end of a process.
    let address = platform.address;
    let process = Runtime::new().unwrap();
    let opened = process.spawn(async move { routers::open("r2", "d1", address, &[]).await });
    let second = opened.await.unwrap();
    first.start();
    platform.set_hosts(vec![first.entry(), second.entry()]).await;
    wait_until("the second router", members.changes(), || members.live_routers().len() == 2).await;
    process.shutdown_background();
    wait_until("the second router to be dropped", members.changes(), || members.live_routers().len() == 1).await;
}
