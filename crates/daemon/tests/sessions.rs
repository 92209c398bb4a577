//! Session keys at the platform.

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

/// Guards against routers that make keys of their own, also when the answer to the write is lost.
#[tokio::test]
async fn keys_are_shared() {
    let platform = FakePlatform::default();
    platform.lose_answer.store(true, Ordering::SeqCst);
    let (first, second) = (open(&platform).await, open(&platform).await);
    first.ready().await;
    second.ready().await;
    let id = first.issue(&"alma".into(), &"small".into(), &"v1".into()).unwrap();
    assert_eq!(second.verify(&"alma".into(), &id).unwrap(), ("small".into(), "v1".into()));
}

/// Guards against a valid id that is called invalid during an outage, and against a router that
/// stays without keys after it.
#[tokio::test]
async fn keys_come_after_outage() {
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
