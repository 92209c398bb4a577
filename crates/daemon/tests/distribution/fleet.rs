//! Several routers: election of watchers, spreading of changes, and a router that leaves.

use eelgrasswell_core::id::{Revision, ShardId};
use tokio::runtime::Runtime;

use crate::{
    platform::FakePlatform,
    routers::{self, TestRouter},
    until, within,
};

/// Starts `per_domain` routers in each of `domains` failure domains; all know of each other.
async fn fleet(platform: &FakePlatform, domains: usize, per_domain: usize) -> Vec<TestRouter> {
    let mut fleet: Vec<TestRouter> = Vec::new();
    for i in 0..domains * per_domain {
        let domain = format!("d{}", i % domains);
        fleet.push(routers::open(&format!("r{i}"), &domain, platform.address, &[]).await);
    }
    platform.set_hosts(fleet.iter().map(TestRouter::entry).collect());
    fleet.iter().for_each(TestRouter::start);
    for router in &fleet {
        let members = &router.router.members;
        until("all routers to be live", members.changes(), || members.routers().len() == fleet.len()).await;
    }
    fleet
}

/// Guards against reads of the platform that grow with the fleet: at most two routers of each
/// failure domain watch, and a change still reaches all.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_elects_watchers() {
    let platform = FakePlatform::open().await;
    let fleet = fleet(&platform, 3, 5).await;
    let watchers = fleet.iter().filter(|router| router.router.members.is_watcher()).count();
    assert_eq!(watchers, 6);
    let reader = fleet.iter().find(|router| !router.router.members.is_watcher()).unwrap();
    reader.add_domain("s1", "d1").await;
    for router in &fleet {
        within("the change", router.router.config.reached(Revision(1))).await;
        within("the confirmation", async {
            while router.router.config.is_stale() {
                let _ = platform.changes().changed().await;
            }
        })
        .await;
    }
}

/// Guards against shards that go to a router which is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_router_leaves() {
    let platform = FakePlatform::open().await;
    let fleet = fleet(&platform, 2, 2).await;
    let leaving = &fleet[1].router;
    leaving.members.announce_leaving();
    let ranks = |router: &TestRouter| {
        router.router.members.ranked_for_shard(ShardId(3)).into_iter().map(|router| router.id).collect::<Vec<_>>()
    };
    assert_eq!(ranks(&fleet[1]).len(), 3, "at once at the leaving router itself");
    for router in &fleet {
        let members = &router.router.members;
        until("the router to be left out", members.changes(), || members.routers().len() == 3).await;
        assert!(!ranks(router).contains(&leaving.settings.host.id));
        assert_eq!(ranks(router), ranks(&fleet[0]), "all agree on the order");
    }
}

/// Guards against a router that died being ranked for shards.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_router_dies() {
    let platform = FakePlatform::open().await;
    let first = routers::open("r1", "d1", platform.address, &[]).await;
    let members = &first.router.members;
    // A runtime of its own, since only its end closes all connections as the end of a process does.
    let address = platform.address;
    let process = Runtime::new().unwrap();
    let opened = process.spawn(async move { routers::open("r2", "d1", address, &[]).await });
    let second = opened.await.unwrap();
    first.start();
    platform.set_hosts(vec![first.entry(), second.entry()]);
    until("the second router", members.changes(), || members.routers().len() == 2).await;
    process.shutdown_background();
    until("the second router to be dropped", members.changes(), || members.routers().len() == 1).await;
}
