//! Watches the configuration head. Only the routers that are elected as watchers of their failure
//! domain do so: a watch by every process would exceed the platform's read rate.

use std::time::Duration;

use eelgrasswell_core::unit::Millis;
use eyre::Result;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::{
    adopt_head,
    head::{HEAD_KEY, Head},
};
use crate::{event, platform::Object, router::Router};

/// Interval between two reads that confirm the head. A watch cannot confirm it, since watches may lag.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time that the platform waits for a change before it replies to a watch.
const WATCH_WAIT: Millis = Millis(10_000);
/// Delay before the next watch after an error, and between two checks of whether this router is a watcher.
const WATCH_DELAY: Duration = Duration::from_millis(500);

/// Starts the tasks that confirm and watch the head. Each is active while this router is a watcher.
pub fn spawn(router: Router) {
    tokio::spawn(confirm_head(router.clone()));
    tokio::spawn(watch_head(router));
}

async fn confirm_head(router: Router) {
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reachable = true;
    loop {
        ticks.tick().await;
        if !should_read(&router) {
            continue;
        }
        let result = read_and_confirm(&router).await;
        if let Err(err) = &result
            && reachable
        {
            event!(Warn, "head_not_confirmed", error = format!("{err:#}"));
        }
        reachable = result.is_ok();
    }
}

/// Whether this router reads the head. Watchers do, and so does any router that starts and still holds
/// updates back.
fn should_read(router: &Router) -> bool {
    router.members.is_watcher() || router.config.is_holding_updates()
}

/// Reads the head, puts its configuration in force if that is newer, and records the confirmation. Then
/// updates from peers are no longer held back, even if the platform has no head.
async fn read_and_confirm(router: &Router) -> Result<()> {
    let start = Instant::now();
    let object = router.platform.get(HEAD_KEY).await?;
    if let Some(object) = &object {
        let head = Head::parse(object)?;
        adopt_head(router, &head).await?;
        router.config.record_confirmation(head.revision, start.elapsed().into());
    }
    router.config.release_updates();
    Ok(())
}

async fn watch_head(router: Router) {
    let mut version = 0;
    loop {
        if !router.members.is_watcher() || router.config.is_holding_updates() {
            sleep(WATCH_DELAY).await;
            continue;
        }
        let result = match router.platform.watch(HEAD_KEY, version, WATCH_WAIT).await {
            Ok(Some(object)) if object.version > version => {
                version = object.version;
                adopt_object(&router, &object).await
            }
            Ok(_) => Ok(()),
            Err(err) => Err(err),
        };
        if let Err(err) = result {
            event!(Debug, "watch_failed", error = format!("{err:#}"));
            sleep(WATCH_DELAY).await;
        }
    }
}

async fn adopt_object(router: &Router, object: &Object) -> Result<()> {
    adopt_head(router, &Head::parse(object)?).await
}
