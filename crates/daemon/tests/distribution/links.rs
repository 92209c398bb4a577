//! Links between a router and an agent.

use eelgrasswell_core::id::{HostId, Incarnation, Revision, ServiceName};
use eelgrasswell_daemon::platform::HostEntry;
use eelgrasswell_manifest::config::Config;
use eelgrasswell_proto::v1::BillRecord;

use crate::{
    agent::{FakeAgent, Proxy, Seen},
    platform::FakePlatform,
    routers::{self, TestRouter},
    until, within,
};

async fn linked() -> (FakePlatform, TestRouter, FakeAgent) {
    let platform = FakePlatform::open().await;
    let agent = FakeAgent::open("a1").await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    platform.set_hosts(vec![router.entry(), agent.entry()]).await;
    router.start();
    candidate(&router).await;
    (platform, router, agent)
}

async fn candidate(router: &TestRouter) {
    let links = &router.router.links;
    until("a candidate", links.changes(), || candidates(router) == 1).await;
}

fn candidates(router: &TestRouter) -> usize {
    router.router.links.candidates(&ServiceName::from("engines")).len()
}

/// Guards against agents that are not told of the configuration, are sent all of it for each
/// change, or are not offered with their load.
#[tokio::test(flavor = "multi_thread")]
async fn link_pushes_config() {
    let (_platform, router, mut agent) = linked().await;
    router.add_domain("s1", "d1").await;
    within("the first revision at the agent", agent.config.reached(Revision(1))).await;
    router.add_domain("s2", "d2").await;
    let beat = agent.beat("the second change", |beat| beat.update.is_some() && beat.revision == 2).await;
    let update = beat.update.unwrap();
    assert_eq!((update.deltas.len(), update.snapshot.is_none()), (1, true));
    within("the second revision at the agent", agent.config.reached(Revision(2))).await;
    assert_eq!(agent.config.current(), router.router.config.current());

    let found = router.router.links.candidates(&ServiceName::from("engines"));
    let (link, view) = &found[0];
    assert_eq!((view.load.running, view.load.limit, view.outstanding), (3, 8, 0));
    let started = link.track_request();
    assert_eq!(router.router.links.candidates(&ServiceName::from("engines"))[0].1.outstanding, 1);
    drop(started);
    assert!(router.router.links.candidates(&ServiceName::from("ledger")).is_empty());
}

/// Guards against a large configuration in one message, whose buffer each link would keep.
#[tokio::test(flavor = "multi_thread")]
async fn link_splits_large_config() {
    let (_platform, router, mut agent) = linked().await;
    let mut config = Config { revision: Revision(1), ..Config::default() };
    config.manifest.domains = (0..2_000).map(|i| (format!("domain-{i}").as_str().into(), routers::domain())).collect();
    router.router.config.adopt(config);
    within("the revision at the agent", agent.config.reached(Revision(1))).await;
    assert_eq!(agent.config.current(), router.router.config.current());
    let mut parts = 0;
    while let Ok(seen) = agent.seen.try_recv() {
        let Seen::Beat(beat) = seen else { continue };
        let Some(update) = beat.update else { continue };
        let part = update.snapshot.expect("the deltas are too large for one message");
        assert!(update.deltas.is_empty() && part.json.len() <= 1 << 10);
        parts += 1;
    }
    assert!(parts > 64, "{parts}");
}

/// Guards against an agent that is chosen over a connection which has gone silent, and against a
/// link that is never opened again.
#[tokio::test(flavor = "multi_thread")]
async fn link_goes_silent() {
    let (_platform, router, mut agent) = linked().await;
    agent.opened().await;
    agent.set_silent(true);
    let links = &router.router.links;
    until("the link to be dropped", links.changes(), || candidates(&router) == 0).await;
    agent.opened().await;
    assert!(links.link(&HostId::from("a1")).is_none(), "an open stream without a heartbeat is no link");
    agent.set_silent(false);
    candidate(&router).await;
}

/// Guards against a link that is opened again over the connection which has gone silent, while new
/// connections work.
#[tokio::test(flavor = "multi_thread")]
async fn link_connection_goes_silent() {
    let platform = FakePlatform::open().await;
    let agent = FakeAgent::open("a1").await;
    let proxy = Proxy::open(agent.address).await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    platform.set_hosts(vec![router.entry(), HostEntry { address: proxy.address, ..agent.entry() }]).await;
    router.start();
    candidate(&router).await;
    proxy.freeze();
    let links = &router.router.links;
    until("the link to be dropped", links.changes(), || candidates(&router) == 0).await;
    candidate(&router).await;
}

/// Guards against work of an earlier incarnation of an agent being counted for the new one.
#[tokio::test(flavor = "multi_thread")]
async fn link_agent_restarts() {
    let (_platform, router, agent) = linked().await;
    let links = &router.router.links;
    let id = HostId::from("a1");
    let old = links.link(&id).unwrap();
    let _outstanding = old.track_request();
    agent.set_incarnation(2);
    let incarnation = || links.link(&id).map(|link| link.incarnation);
    until("the new incarnation", links.changes(), || incarnation() == Some(Incarnation(2))).await;
    assert_eq!(old.incarnation, Incarnation(1));
    assert_eq!(links.candidates(&ServiceName::from("engines"))[0].1.outstanding, 0);
}

/// Guards against a leaving agent that is chosen until it says so itself, and that does not learn
/// of it from the host list.
#[tokio::test(flavor = "multi_thread")]
async fn link_host_leaves() {
    let (platform, router, mut agent) = linked().await;
    let leaving = HostEntry { leaving: true, ..agent.entry() };
    platform.set_hosts(vec![router.entry(), leaving]).await;
    agent.beat("a heartbeat that says so", |beat| beat.leaving).await;
    let links = &router.router.links;
    let is_leaving = || links.candidates(&ServiceName::from("engines"))[0].1.leaving;
    until("the mark", links.changes(), is_leaving).await;
}

/// Guards against bills that an agent offers and that are lost on the way to the shards, and against
/// an agent that is not told that its bill is durable.
#[tokio::test(flavor = "multi_thread")]
async fn link_settles_bills() {
    let (_platform, router, mut agent) = linked().await;
    router.router.shards.spawn();
    router.router.bills.spawn();
    agent.offer(BillRecord { request_id: "1.a1".into(), customer: "c1".into(), ..Default::default() });
    let beat = agent.beat("the settled bill", |beat| !beat.settled.is_empty()).await;
    assert_eq!(beat.settled, ["1.a1"]);
    let bills = router.router.shards.read_bills(&"c1".into()).await.unwrap();
    assert_eq!(bills.len(), 1);
}

/// Guards against links to agents that the host list no longer names, and clients of unknown hosts.
#[tokio::test(flavor = "multi_thread")]
async fn link_ends_with_host() {
    let (platform, router, _agent) = linked().await;
    let links = &router.router.links;
    assert!(links.client(&HostId::from("a1")).is_some());
    platform.set_hosts(vec![router.entry()]).await;
    until("the link to end", links.changes(), || candidates(&router) == 0).await;
    assert!(links.client(&HostId::from("a1")).is_none());
}
