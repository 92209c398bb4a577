//! Start of a router while the platform is unreachable, catching up with a peer, and the rules by which
//! a process puts a configuration in force.

use eelgrasswell_core::{id::Revision, unit::Millis};
use eelgrasswell_daemon::{clock::Clock, config::ConfigHandle, controller::peers};
use eelgrasswell_manifest::config::Config;

use crate::{
    platform::FakePlatform,
    routers::{self, domain},
    wait_until, within,
};

/// A configuration with this revision and as many failure domains.
fn config(revision: u64) -> Config {
    let mut config =
        Config { revision: Revision(revision), manifest_revision: Revision(revision), ..Config::default() };
    for i in 0..revision {
        config.manifest.domains.insert(format!("d{i}").as_str().into(), domain());
    }
    config
}

/// Guards against a starting router using the older revision of the first peer that replies.
#[tokio::test(flavor = "multi_thread")]
async fn start_with_one_older_peer() {
    let platform = FakePlatform::open().await;
    platform.set_down(true);
    let mut peers = Vec::new();
    for (i, revision) in [5, 7, 7].into_iter().enumerate() {
        let peer = routers::open(&format!("r{i}"), "d1", platform.address, &[]).await;
        peer.router.config.adopt(config(revision));
        peers.push(peer);
    }
    let seeds: Vec<_> = peers.iter().map(|peer| peer.address()).collect();
    let started = routers::start("r9", "d2", platform.address, &seeds).await;
    within("a configuration", started.router.config.wait_for_revision(Revision(1))).await;
    assert_eq!(started.router.config.revision(), Revision(7));
    assert_eq!(started.router.config.current(), peers[2].router.config.current());
    assert!(started.router.config.is_stale(), "the platform has not confirmed the revision");
}

/// Guards against a router that waits for three peers although fewer exist.
#[tokio::test(flavor = "multi_thread")]
async fn start_with_one_peer() {
    let platform = FakePlatform::open().await;
    platform.set_down(true);
    let peer = routers::open("r1", "d1", platform.address, &[]).await;
    peer.router.config.adopt(config(3));
    let seeds = [peer.address(), routers::closed_address().await];
    let started = routers::start("r9", "d2", platform.address, &seeds).await;
    within("a configuration", started.router.config.wait_for_revision(Revision(3))).await;
}

/// Guards against peers that are starting as well being counted as peers with a configuration.
#[tokio::test(flavor = "multi_thread")]
async fn start_among_starting_peers() {
    let platform = FakePlatform::open().await;
    platform.set_down(true);
    let mut seeds = Vec::new();
    let mut peers = Vec::new();
    for i in 0..4 {
        let peer = routers::start(&format!("r{i}"), "d1", platform.address, &seeds).await;
        seeds.push(peer.address());
        peers.push(peer);
    }
    let configured = routers::open("r8", "d2", platform.address, &[]).await;
    configured.router.config.adopt(config(4));
    seeds.push(configured.address());
    let started = routers::start("r9", "d2", platform.address, &seeds).await;
    for router in peers.iter().chain([&started]) {
        within("a configuration", router.router.config.wait_for_revision(Revision(4))).await;
    }
}

/// Guards against a router waiting for the next periodic exchange after an agent has refused a request
/// because the router's configuration is too old.
#[tokio::test(flavor = "multi_thread")]
async fn catch_up_with_peer() {
    let closed = routers::closed_address().await;
    let peer = routers::open("r1", "d1", closed, &[]).await;
    peer.router.config.adopt(config(3));
    let behind = routers::open("r2", "d2", closed, &[peer.address()]).await;
    behind.router.config.adopt(config(2));
    within("the newer configuration", peers::catch_up(&behind.router, Revision(3))).await;
    assert_eq!(behind.router.config.current(), peer.router.config.current());
}

/// Guards against an update taking effect while updates are held back.
#[test]
fn hold_keeps_highest() {
    let [old, new] = [5, 7].map(|revision| {
        let peer = ConfigHandle::open(Clock::start());
        peer.adopt(config(revision));
        peer.update_since(Revision(0)).unwrap()
    });
    for updates in [[&old, &new], [&new, &old]] {
        let handle = ConfigHandle::open(Clock::start());
        handle.hold_updates();
        for update in updates {
            assert!(!handle.apply(update).unwrap());
            assert_eq!(handle.revision(), Revision(0));
        }
        handle.release_updates();
        assert_eq!(*handle.current(), config(7));
    }
}

/// Guards against sending peers the whole configuration for each change, and against a process applying
/// deltas that do not follow its revision.
#[test]
fn update_since_uses_deltas() {
    let handle = ConfigHandle::open(Clock::start());
    for revision in 1..=400 {
        handle.adopt(config(revision));
    }
    let recent = handle.update_since(Revision(390)).unwrap();
    assert_eq!((recent.deltas.len(), recent.snapshot.is_none()), (10, true));
    let ancient = handle.update_since(Revision(1)).unwrap();
    assert!(ancient.deltas.is_empty() && ancient.snapshot.is_some(), "the history is bounded");
    assert!(handle.update_since(Revision(400)).is_none());

    let behind = ConfigHandle::open(Clock::start());
    behind.adopt(config(380));
    assert!(!behind.apply(&recent).unwrap(), "the deltas do not follow on revision 380");
    behind.adopt(config(395));
    assert!(behind.apply(&recent).unwrap(), "some of the deltas are known already");
    assert_eq!(*behind.current(), config(400));
    assert!(!behind.apply(&recent).unwrap());
}

/// Guards against the confirmation of another revision making the revision in force look confirmed.
#[test]
fn confirm_of_other_revision() {
    let handle = ConfigHandle::open(Clock::start());
    handle.adopt(config(3));
    handle.record_confirmation(Revision(2), Millis(0));
    assert!(handle.is_stale());
    handle.record_confirmation(Revision(3), Millis(u64::MAX));
    assert!(handle.is_stale(), "the peer reports that its revision was never confirmed");
    handle.record_confirmation(Revision(3), Millis(500));
    assert!(!handle.is_stale());
}

/// Guards against a router without access to the platform getting no data: it must get the
/// configuration, the host list and the live routers from a peer.
#[tokio::test(flavor = "multi_thread")]
async fn start_cut_off_from_platform() {
    let platform = FakePlatform::open().await;
    let peer = routers::open("r1", "d1", platform.address, &[]).await;
    let agent = crate::agent::FakeAgent::open("a1").await;
    platform.set_hosts(vec![peer.entry(), agent.entry()]).await;
    peer.start();
    peer.add_domain("s1", "d1").await;
    let cut_off = routers::start("r2", "d2", routers::closed_address().await, &[peer.address()]).await;
    within("the configuration", cut_off.router.config.wait_for_revision(Revision(1))).await;
    let members = &cut_off.router.members;
    wait_until("the host list", members.changes(), || members.agents().len() == 1).await;
    for router in [&peer, &cut_off] {
        let members = &router.router.members;
        wait_until("both routers", members.changes(), || members.live_routers().len() == 2).await;
    }
}

/// Guards against a late reply of a peer or the platform putting an older revision in force (P12).
#[tokio::test]
async fn adopt_older_revision_changes_nothing() {
    let handle = ConfigHandle::open(Clock::start());
    assert!(handle.adopt(config(5)));
    assert!(!handle.adopt(config(5)) && !handle.adopt(config(4)));
    assert_eq!(handle.revision(), Revision(5));
}
