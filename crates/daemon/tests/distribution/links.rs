//! Links between a router and an agent.

use eelgrasswell_core::id::{HostId, Incarnation, Revision, ServiceName};
use eelgrasswell_daemon::platform::HostEntry;
use eelgrasswell_manifest::config::Config;
use eelgrasswell_proto::v1::BillRecord;

use crate::{
    agent::{FakeAgent, LinkEvent, Proxy},
    platform::FakePlatform,
    routers::{self, TestRouter},
    wait_until, within,
};

/// Starts a router and an agent, and waits until they are linked.
async fn start_linked() -> (FakePlatform, TestRouter, FakeAgent) {
    let platform = FakePlatform::open().await;
    let agent = FakeAgent::open("a1").await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    platform.set_hosts(vec![router.entry(), agent.entry()]).await;
    router.start();
    wait_for_candidate(&router).await;
    (platform, router, agent)
}

async fn wait_for_candidate(router: &TestRouter) {
    let links = &router.router.links;
    wait_until("a candidate", links.changes(), || candidate_count(router) == 1).await;
}

fn candidate_count(router: &TestRouter) -> usize {
    router.router.links.candidates(&ServiceName::from("engines")).len()
}

/// Guards against agents that do not get the configuration, get the whole configuration for each change,
/// or are missing among the candidates or listed there without their load.
#[tokio::test(flavor = "multi_thread")]
async fn link_pushes_config() {
    let (_platform, router, mut agent) = start_linked().await;
    router.add_domain("s1", "d1").await;
    within("the first revision at the agent", agent.config.wait_for_revision(Revision(1))).await;
    router.add_domain("s2", "d2").await;
    let beat = agent.wait_for_beat("the second change", |beat| beat.update.is_some() && beat.revision == 2).await;
    let update = beat.update.unwrap();
    assert_eq!((update.deltas.len(), update.snapshot.is_none()), (1, true));
    within("the second revision at the agent", agent.config.wait_for_revision(Revision(2))).await;
    assert_eq!(agent.config.current(), router.router.config.current());

    let candidates = router.router.links.candidates(&ServiceName::from("engines"));
    let (link, view) = &candidates[0];
    assert_eq!((view.load.running, view.load.limit, view.outstanding), (3, 8, 0));
    let outstanding = link.track_request();
    assert_eq!(router.router.links.candidates(&ServiceName::from("engines"))[0].1.outstanding, 1);
    drop(outstanding);
    assert!(router.router.links.candidates(&ServiceName::from("ledger")).is_empty());
}

/// Guards against sending a large configuration in one message: each link would keep a buffer of its size.
#[tokio::test(flavor = "multi_thread")]
async fn link_splits_large_config() {
    let (_platform, router, mut agent) = start_linked().await;
    let mut config = Config { revision: Revision(1), ..Config::default() };
    config.manifest.domains = (0..2_000).map(|i| (format!("domain-{i}").as_str().into(), routers::domain())).collect();
    router.router.config.adopt(config);
    within("the revision at the agent", agent.config.wait_for_revision(Revision(1))).await;
    assert_eq!(agent.config.current(), router.router.config.current());
    let mut parts = 0;
    while let Ok(event) = agent.events.try_recv() {
        let LinkEvent::Beat(beat) = event else { continue };
        let Some(update) = beat.update else { continue };
        let part = update.snapshot.expect("the deltas are too large for one message");
        assert!(update.deltas.is_empty() && part.json.len() <= 1 << 10);
        parts += 1;
    }
    assert!(parts > 64, "{parts}");
}

/// Guards against an agent that stays a candidate after its heartbeats have stopped, and against a link
/// that is never reopened.
#[tokio::test(flavor = "multi_thread")]
async fn link_heartbeats_stop() {
    let (_platform, router, mut agent) = start_linked().await;
    agent.wait_for_link().await;
    agent.set_unresponsive(true);
    let links = &router.router.links;
    wait_until("the link to be dropped", links.changes(), || candidate_count(&router) == 0).await;
    agent.wait_for_link().await;
    assert!(links.link(&HostId::from("a1")).is_none(), "an open stream without a heartbeat is not a live link");
    agent.set_unresponsive(false);
    wait_for_candidate(&router).await;
}

/// Guards against a link being reopened over a connection that has stalled, while new connections work.
#[tokio::test(flavor = "multi_thread")]
async fn link_connection_stalls() {
    let platform = FakePlatform::open().await;
    let agent = FakeAgent::open("a1").await;
    let proxy = Proxy::open(agent.address).await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    platform.set_hosts(vec![router.entry(), HostEntry { address: proxy.address, ..agent.entry() }]).await;
    router.start();
    wait_for_candidate(&router).await;
    proxy.freeze();
    let links = &router.router.links;
    wait_until("the link to be dropped", links.changes(), || candidate_count(&router) == 0).await;
    wait_for_candidate(&router).await;
}

/// Guards against outstanding requests of an agent's earlier incarnation being counted for the new one.
#[tokio::test(flavor = "multi_thread")]
async fn link_agent_restarts() {
    let (_platform, router, agent) = start_linked().await;
    let links = &router.router.links;
    let id = HostId::from("a1");
    let old = links.link(&id).unwrap();
    let _outstanding = old.track_request();
    agent.set_incarnation(2);
    let incarnation = || links.link(&id).map(|link| link.incarnation);
    wait_until("the new incarnation", links.changes(), || incarnation() == Some(Incarnation(2))).await;
    assert_eq!(old.incarnation, Incarnation(1));
    assert_eq!(links.candidates(&ServiceName::from("engines"))[0].1.outstanding, 0);
}

/// Guards against an agent that the host list marks as leaving not being treated as leaving until it
/// reports so itself, and against the agent not being notified of the mark.
#[tokio::test(flavor = "multi_thread")]
async fn link_host_leaves() {
    let (platform, router, mut agent) = start_linked().await;
    let leaving = HostEntry { leaving: true, ..agent.entry() };
    platform.set_hosts(vec![router.entry(), leaving]).await;
    agent.wait_for_beat("a heartbeat with the leaving mark", |beat| beat.leaving).await;
    let links = &router.router.links;
    let is_leaving = || links.candidates(&ServiceName::from("engines"))[0].1.leaving;
    wait_until("the candidate to be marked as leaving", links.changes(), is_leaving).await;
}

/// Guards against an agent's bills being lost between the link and the shards, and against an agent not
/// being notified that its bill is durable.
#[tokio::test(flavor = "multi_thread")]
async fn link_settles_bills() {
    let (_platform, router, mut agent) = start_linked().await;
    router.router.shards.spawn();
    router.router.bills.spawn();
    agent.offer_bill(BillRecord { request_id: "1.a1".into(), customer: "c1".into(), ..Default::default() });
    let beat = agent.wait_for_beat("the settled bill", |beat| !beat.settled.is_empty()).await;
    assert_eq!(beat.settled, ["1.a1"]);
    let bills = router.router.shards.read_bills(&"c1".into()).await.unwrap();
    assert_eq!(bills.len(), 1);
}

/// Guards against links and clients for agents that are no longer on the host list.
#[tokio::test(flavor = "multi_thread")]
async fn link_ends_with_host() {
    let (platform, router, _agent) = start_linked().await;
    let links = &router.router.links;
    assert!(links.client(&HostId::from("a1")).is_some());
    platform.set_hosts(vec![router.entry()]).await;
    wait_until("the link to end", links.changes(), || candidate_count(&router) == 0).await;
    assert!(links.client(&HostId::from("a1")).is_none());
}
