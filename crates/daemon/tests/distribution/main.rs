//! Tests of the distribution of the configuration, the membership and the links. Routers run in this
//! process; the platform and the agents are fakes.

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

/// Maximum time that a test waits for an event. Far above what is needed, since machines may be busy.
const EVENT_TIMEOUT: Duration = Duration::from_secs(40);

/// Waits for `event`, and panics with `what` if it does not happen within `EVENT_TIMEOUT`.
async fn within<T>(what: &str, event: impl Future<Output = T>) -> T {
    tokio::time::timeout(EVENT_TIMEOUT, event).await.unwrap_or_else(|_| panic!("timed out waiting for {what}"))
}

/// Waits until `condition` holds. It is checked first and after every change that `rx` receives.
async fn wait_until(what: &str, mut rx: tokio::sync::watch::Receiver<u64>, mut condition: impl FnMut() -> bool) {
    within(what, async {
        while !condition() {
            rx.changed().await.expect("the sender lives as long as the test");
        }
    })
    .await;
}
