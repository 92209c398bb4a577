//! Watching and confirming the configuration head.

use eelgrasswell_core::id::Revision;
use eelgrasswell_daemon::controller::config::head::HEAD_KEY;

use crate::{platform::FakePlatform, routers, within};

/// Guards against a new configuration being delayed while watches lag: the reads that confirm the head
/// must deliver it.
#[tokio::test(flavor = "multi_thread")]
async fn watch_lags() {
    let platform = FakePlatform::open().await;
    let writer = routers::open("r1", "d1", platform.address, &[]).await;
    writer.add_domain("s1", "d1").await;
    platform.set_watches_lag();
    let router = routers::start("r2", "d2", platform.address, &[]).await;
    within("the first revision", router.router.config.wait_for_revision(Revision(1))).await;
    writer.add_domain("s2", "d2").await;
    within("the second revision", router.router.config.wait_for_revision(Revision(2))).await;
    platform.wait_for_reads(2).await;
    assert!(!router.router.config.is_stale(), "a read has confirmed the head");
}

/// Guards against the configuration being reverted when a watch returns an older head.
#[tokio::test(flavor = "multi_thread")]
async fn watch_of_older_head() {
    let platform = FakePlatform::open().await;
    let router = routers::start("r1", "d1", platform.address, &[]).await;
    router.add_domain("s1", "d1").await;
    let old = platform.object(HEAD_KEY);
    router.add_domain("s2", "d2").await;
    platform.overwrite(HEAD_KEY, old).await;
    platform.wait_for_reads(3).await;
    assert_eq!(router.router.config.revision(), Revision(2));
}

/// Guards against a router reporting its configuration as fresh when the platform has never confirmed it.
#[tokio::test(flavor = "multi_thread")]
async fn watch_without_platform() {
    let router = routers::start("r1", "d1", routers::closed_address().await, &[]).await;
    assert!(router.router.config.is_stale());
}
