//! Watches the head. Only the routers that their failure domain elects do so: a watch from every
//! process would exceed the platform's read rate.

use std::time::Duration;

use eelgrasswell_core::unit::Millis;
use eyre::Result;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::{
    head::{HEAD_KEY, Head},
    take,
};
use crate::{event, platform::Object, router::Router};

/// Time between two reads that confirm the head. Watches may lag, so they confirm nothing.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Time that one watch waits at the platform.
const WATCH_WAIT: Millis = Millis(10_000);
/// Pause before the next watch after an error, and between checks of the election.
const PAUSE: Duration = Duration::from_millis(500);

/// Starts confirming and watching, each while this router is elected.
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
        let result = read_head(&router).await;
        if let Err(err) = &result
            && reachable
        {
            event!(Warn, "head_not_confirmed", error = format!("{err:#}"));
        }
        reachable = result.is_ok();
    }
}

/// A router that is still without a configuration reads as well, elected or not.
fn should_read(router: &Router) -> bool {
    router.members.is_watcher() || router.config.is_holding()
}

async fn read_head(router: &Router) -> Result<()> {
    let start = Instant::now();
    let object = router.platform.get(HEAD_KEY).await?;
    if let Some(object) = &object {
        let head = Head::parse(object)?;
        take(router, &head).await?;
        router.config.confirm(head.revision, start.elapsed().into());
    }
    router.config.release();
    Ok(())
}

async fn watch_head(router: Router) {
    let mut version = 0;
    loop {
        if !router.members.is_watcher() || router.config.is_holding() {
            sleep(PAUSE).await;
            continue;
        }
        let result = match router.platform.watch(HEAD_KEY, version, WATCH_WAIT).await {
            Ok(Some(object)) if object.version > version => {
                version = object.version;
                take_object(&router, &object).await
            }
            Ok(_) => Ok(()),
            Err(err) => Err(err),
        };
        if let Err(err) = result {
            event!(Debug, "watch_failed", error = format!("{err:#}"));
            sleep(PAUSE).await;
        }
    }
}

async fn take_object(router: &Router, object: &Object) -> Result<()> {
    take(router, &Head::parse(object)?).await
}
