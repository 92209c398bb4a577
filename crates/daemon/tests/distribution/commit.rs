//! Commits to the configuration head: lost replies, races and repeated calls.

use std::time::Duration;

use eelgrasswell_core::id::Revision;
use eelgrasswell_daemon::controller::config::{
    self, Commit,
    head::{HEAD_KEY, Head, KEPT_SNAPSHOTS, SNAPSHOT_PREFIX},
};
use eelgrasswell_manifest::config::Config;

use crate::{
    platform::FakePlatform,
    routers::{self, TestRouter, domain},
};

fn read_head(platform: &FakePlatform) -> Head {
    serde_json::from_slice(&platform.object(HEAD_KEY)).unwrap()
}

fn done(revision: u64) -> Commit {
    Commit::Done { revision: Revision(revision), manifest_revision: Revision(revision) }
}

/// Guards against a first commit failing because the platform has no head yet.
#[tokio::test]
async fn commit_without_head() {
    let platform = FakePlatform::open().await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    assert_eq!(router.add_domain("s1", "d1").await, done(1));
    assert_eq!(router.router.config.revision(), Revision(1));
    assert_eq!(read_head(&platform).revision, Revision(1));
}

/// Guards against a change that is applied twice, or reported as failed, because the platform wrote
/// the head but its reply was lost.
#[tokio::test]
async fn commit_lost_answer() {
    let platform = FakePlatform::open().await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    router.add_domain("s1", "d1").await;
    platform.lose_answer(HEAD_KEY);
    assert_eq!(router.add_domain("s2", "d2").await, done(2));
    assert!(platform.has_lost_answer());
    let head = read_head(&platform);
    assert_eq!((head.revision, head.submissions.len()), (Revision(2), 2));
}

/// Guards against a change that is applied twice because its first write takes effect only after the
/// call of the router has timed out.
#[tokio::test(flavor = "multi_thread")]
async fn commit_late_effect() {
    let platform = FakePlatform::open().await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    let edit = |config: &mut Config| {
        // At this point the head has been read but not written. The timeout of a call is 2 s.
        platform.set_slow(Duration::from_millis(2_500));
        config.manifest.domains.insert("d1".into(), domain());
        Ok(())
    };
    let commit = config::commit(&router.router, "s1", None, &edit);
    let (commit, ()) = tokio::join!(commit, async {
        platform.wait_for_keys(HEAD_KEY, |keys| !keys.is_empty()).await;
        platform.set_slow(Duration::ZERO);
    });
    assert_eq!(commit.unwrap(), done(1));
    assert_eq!(read_head(&platform).submissions.len(), 1);
}

/// Guards against a commit whose reply was lost being counted as successful because of another
/// router's change that was written next.
#[tokio::test]
async fn commit_lost_answer_then_other_change() {
    let platform = FakePlatform::open().await;
    let first = routers::open("r1", "d1", platform.address, &[]).await;
    let second = routers::open("r2", "d1", platform.address, &[]).await;
    platform.lose_answer(HEAD_KEY);
    let (a, b) = tokio::join!(first.add_domain("s1", "d1"), second.add_domain("s2", "d2"));
    let mut revisions = [a, b];
    revisions.sort_by_key(|commit| format!("{commit:?}"));
    assert_eq!(revisions, [done(1), done(2)]);
    assert_eq!(read_head(&platform).submissions.len(), 2);
}

/// Guards against a repeated call applying its change again.
#[tokio::test]
async fn commit_repeated() {
    let platform = FakePlatform::open().await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    router.add_domain("s1", "d1").await;
    router.add_domain("s2", "d2").await;
    assert_eq!(router.add_domain("s1", "d1").await, done(1), "the result of the first call");
    assert_eq!(read_head(&platform).revision, Revision(2));
}

/// Guards against the loser of a race overwriting the winner's change: of two committers that expect
/// the same manifest revision exactly one succeeds, and the other gets a conflict. Runs 200 races.
#[tokio::test(flavor = "multi_thread")]
async fn commit_races() {
    const RACES: u64 = 200;
    let platform = FakePlatform::open().await;
    let first = routers::open("r1", "d1", platform.address, &[]).await;
    let second = routers::open("r2", "d2", platform.address, &[]).await;
    let race = async |router: &TestRouter, name: &str, round: u64| {
        let edit = |config: &mut Config| {
            config.manifest.domains.insert(format!("{name}-{round}").as_str().into(), domain());
            Ok(())
        };
        let submission = format!("{name}-{round}");
        config::commit(&router.router, &submission, Some(Revision(round)), &edit).await.unwrap()
    };
    let mut wins = [0, 0];
    for round in 0..RACES {
        let (a, b) = tokio::join!(race(&first, "a", round), race(&second, "b", round));
        let lost = Commit::Conflict { manifest_revision: Revision(round + 1) };
        let winner = if a == lost { 1 } else { 0 };
        assert_eq!([a, b][winner], done(round + 1), "race {round}");
        assert_eq!([a, b][1 - winner], lost, "race {round}");
        wins[winner] += 1;
    }
    println!("wins of two committers in {RACES} races: {wins:?}");
    let head = read_head(&platform);
    assert_eq!((head.revision, head.manifest_revision), (Revision(RACES), Revision(RACES)));
    let third = routers::open("r3", "d3", platform.address, &[]).await;
    third.add_domain("last", "d3").await;
    assert_eq!(third.router.config.current().manifest.domains.len() as u64, RACES + 1, "every winner's change is kept");
}

/// Guards against racing changes without an expected revision failing or being lost.
#[tokio::test(flavor = "multi_thread")]
async fn commit_races_without_expectation() {
    const ROUNDS: u64 = 20;
    let platform = FakePlatform::open().await;
    let first = routers::open("r1", "d1", platform.address, &[]).await;
    let second = routers::open("r2", "d2", platform.address, &[]).await;
    for round in 0..ROUNDS {
        let (a, b) = (format!("a{round}"), format!("b{round}"));
        tokio::join!(first.add_domain(&a, &a), second.add_domain(&b, &b));
    }
    first.add_domain("last", "last").await;
    assert_eq!(first.router.config.current().manifest.domains.len() as u64, 2 * ROUNDS + 1);
}

/// Guards against a new revision being written for an edit that fails or changes nothing.
#[tokio::test]
async fn commit_without_effect() {
    let platform = FakePlatform::open().await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    router.add_domain("s1", "d1").await;
    assert_eq!(router.add_domain("s2", "d1").await, done(1));
    let failing_edit = |_: &mut Config| eyre::bail!("the edit fails");
    assert!(config::commit(&router.router, "s3", None, &failing_edit).await.is_err());
    assert_eq!(read_head(&platform).revision, Revision(1));
}

/// Guards against the system's own changes incrementing the manifest revision, which would turn every
/// operator's change into a conflict.
#[tokio::test]
async fn commit_of_rollout() {
    let platform = FakePlatform::open().await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    router.add_domain("s1", "d1").await;
    let edit = |config: &mut Config| {
        let status = serde_json::json!({ "baseline": "v1", "step": 0, "permille": 10, "phase": "running" });
        config.rollouts.insert("m/v2".parse().unwrap(), serde_json::from_value(status).unwrap());
        Ok(())
    };
    let commit = config::commit(&router.router, "s2", None, &edit).await.unwrap();
    assert_eq!(commit, Commit::Done { revision: Revision(2), manifest_revision: Revision(1) });
}

/// Guards against old snapshots accumulating, and against the deletion of a snapshot that is still needed.
#[tokio::test]
async fn commit_deletes_old_snapshots() {
    const COMMITS: u64 = 60;
    let platform = FakePlatform::open().await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    let region = "x".repeat(3_000);
    for i in 1..=COMMITS {
        let edit = |config: &mut Config| {
            let domain = eelgrasswell_manifest::manifest::Domain {
                region: format!("{i}-{region}").as_str().into(),
                in_service: true,
            };
            config.manifest.domains.insert("d1".into(), domain);
            Ok(())
        };
        config::commit(&router.router, &format!("s{i}"), None, &edit).await.unwrap();
    }
    platform.wait_for_keys(SNAPSHOT_PREFIX, |keys| keys.len() <= KEPT_SNAPSHOTS).await;
    let fresh = routers::start("r2", "d1", platform.address, &[]).await;
    crate::within("the configuration", fresh.router.config.wait_for_revision(Revision(COMMITS))).await;
    assert_eq!(fresh.router.config.current(), router.router.config.current());
}

/// Guards against a commit on top of an older head, which a platform that lost its newest writes returns;
/// it would revert the configuration.
#[tokio::test]
async fn commit_on_older_head() {
    let platform = FakePlatform::open().await;
    let router = routers::open("r1", "d1", platform.address, &[]).await;
    router.add_domain("s1", "d1").await;
    let old = platform.object(HEAD_KEY);
    router.add_domain("s2", "d2").await;
    platform.overwrite(HEAD_KEY, old).await;
    let edit = |config: &mut Config| {
        config.manifest.domains.clear();
        Ok(())
    };
    assert!(config::commit(&router.router, "s3", None, &edit).await.is_err());
    assert_eq!(router.router.config.revision(), Revision(2));
    assert_eq!(read_head(&platform).revision, Revision(1), "nothing was written");
}
