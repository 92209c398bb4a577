//! Session keys that routers share through the platform.

#[path = "fake/platform.rs"]
mod platform;

use std::sync::atomic::Ordering;

use eelgrasswell_core::refusal::Reason;
use eelgrasswell_daemon::{clock::Clock, controller::sessions::Sessions, platform::Platform};

use platform::FakePlatform;

async fn open(platform: &FakePlatform) -> Sessions {
    let sessions = Sessions::open(Platform::open(platform.spawn().await), Clock::start());
    sessions.spawn();
    sessions
}

/// Guards against routers that use different session keys, also when the response to the write of the keys is lost.
#[tokio::test]
async fn keys_shared_by_routers() {
    let platform = FakePlatform::default();
    platform.lose_answer.store(true, Ordering::SeqCst);
    let (first, second) = (open(&platform).await, open(&platform).await);
    first.ready().await;
    second.ready().await;
    let id = first.issue(&"alma".into(), &"small".into(), &"v1".into()).unwrap();
    assert_eq!(second.verify(&"alma".into(), &id).unwrap(), ("small".into(), "v1".into()));
}

/// Guards against rejecting a valid session id as invalid while the platform is down, and against a router that still
/// lacks the keys once the platform is up again.
#[tokio::test]
async fn keys_read_after_outage() {
    let platform = FakePlatform::default();
    let first = open(&platform).await;
    first.ready().await;
    let id = first.issue(&"alma".into(), &"small".into(), &"v1".into()).unwrap();
    platform.down.store(true, Ordering::SeqCst);
    let second = open(&platform).await;
    assert_eq!(second.verify(&"alma".into(), &id).unwrap_err().reason, Reason::StaleConfig);
    assert!(second.issue(&"alma".into(), &"small".into(), &"v1".into()).is_none());
    assert!(first.verify(&"alma".into(), &id).is_ok());
    platform.down.store(false, Ordering::SeqCst);
    second.ready().await;
    assert!(second.verify(&"alma".into(), &id).is_ok());
}
