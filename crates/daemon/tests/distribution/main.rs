//! Distribution of the configuration, membership and links, with routers in this process and
//! stand-ins for the platform and the agents.

mod agent;
mod commit;
mod fleet;
mod links;
mod platform;
mod push;
mod routers;
mod start;
mod watch;

use std::time::Duration;

/// Longest time that a test waits for an event. Far above what is needed, since machines are busy.
const GUARD: Duration = Duration::from_secs(40);

/// Waits for `event`, and fails when it does not come.
async fn within<T>(what: &str, event: impl Future<Output = T>) -> T {
    tokio::time::timeout(GUARD, event).await.unwrap_or_else(|_| panic!("timed out waiting for {what}"))
}

/// Waits until `holds`, checked at every change that `rx` sees.
async fn until(what: &str, mut rx: tokio::sync::watch::Receiver<u64>, mut holds: impl FnMut() -> bool) {
    within(what, async {
        while !holds() {
            rx.changed().await.expect("the sender lives as long as the test");
        }
    })
    .await;
}
