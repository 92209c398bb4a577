//! Watches the configuration head at the platform and commits changes to it.

pub mod head;
mod watcher;

use std::{sync::Arc, time::Duration};

use eelgrasswell_core::id::Revision;
use eelgrasswell_manifest::{config::Config, delta::Delta};
use eyre::{Result, WrapErr, bail};
use tokio::time::{Instant, sleep};

use self::head::{HEAD_KEY, Head};
use crate::{
    event,
    platform::{Platform, Put},
    router::Router,
    telemetry,
};

/// Time after which a commit that has written nothing gives up.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a commit whose write has an unknown outcome gives up.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest pause before another attempt after a lost race and after an error. The pause is drawn at
/// random, so that racing committers do not collide again.
const MAX_PAUSE_AFTER_RACE: Duration = Duration::from_millis(20);
const MAX_PAUSE_AFTER_ERROR: Duration = Duration::from_millis(100);

/// Starts the controller.
pub fn spawn(router: Router) {
    router.config.hold();
    watcher::spawn(router);
}

/// Result of a change to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The change is in force from this revision on.
    Done {
        /// Revision of the configuration.
        revision: Revision,
        /// Revision of the manifest.
        manifest_revision: Revision,
    },
    /// The manifest has another revision than expected; nothing was changed.
    Conflict {
        /// Revision of the manifest.
        manifest_revision: Revision,
    },
}

/// Commits a change: reads the head, lets `edit` change the configuration, and replaces the head by
/// a conditional write; repeats when another change came first. `submission` identifies the change,
/// so that a repeated call or a lost answer does not apply it twice. `expected` is the manifest
/// revision that the caller saw; with another one in force the result is a conflict. `edit` must
/// not touch the revisions; it may fail, and then nothing is changed. The manifest revision rises
/// when `edit` changed the manifest. After an error that names an unknown outcome, repeat the call
/// with the same submission.
pub async fn commit(
    router: &Router,
    submission: &str,
    expected: Option<Revision>,
    edit: &(dyn Fn(&mut Config) -> Result<()> + Sync),
) -> Result<Commit> {
    let result = settle(router, submission, expected, edit).await;
    let label = match &result {
        Ok(Commit::Done { .. }) => "done",
        Ok(Commit::Conflict { .. }) => "conflict",
        Err(_) => "error",
    };
    metrics::counter!(telemetry::COMMITS, "result" => label).increment(1);
    result
}

/// Attempts the change until it has ended one way or the other, or the time is up.
async fn settle(
    router: &Router,
    submission: &str,
    expected: Option<Revision>,
    edit: &(dyn Fn(&mut Config) -> Result<()> + Sync),
) -> Result<Commit> {
    let start = Instant::now();
    let mut in_doubt = false;
    loop {
        let err = match attempt(router, submission, expected, edit).await {
            Ok(Attempt::Ended(commit)) => return Ok(commit),
            Ok(Attempt::Lost) => None,
            Err(Failure::NotWritten(err)) => Some(err),
            Err(Failure::InDoubt(err)) => {
                event!(Warn, "commit_in_doubt", submission = submission, error = format!("{err:#}"));
                in_doubt = true;
                Some(err)
            }
            Err(Failure::Final(err)) => return Err(err),
        };
        let max_pause = if err.is_some() { MAX_PAUSE_AFTER_ERROR } else { MAX_PAUSE_AFTER_RACE };
        let limit = if in_doubt { SETTLE_TIMEOUT } else { COMMIT_TIMEOUT };
        if start.elapsed() >= limit {
            let err = err.unwrap_or_else(|| eyre::eyre!("other changes came first"));
            let outcome = if in_doubt { "its outcome is unknown" } else { "nothing was changed" };
            return Err(err.wrap_err(format!("could not commit submission {submission}: {outcome}")));
        }
        sleep(max_pause.mul_f64(rand::random())).await;
    }
}

enum Attempt {
    Ended(Commit),
    /// Another change came first.
    Lost,
}

enum Failure {
    /// The head was not written; another attempt may succeed.
    NotWritten(eyre::Report),
    /// The head may have been written.
    InDoubt(eyre::Report),
    /// Another attempt would fail as well.
    Final(eyre::Report),
}

async fn attempt(
    router: &Router,
    submission: &str,
    expected: Option<Revision>,
    edit: &(dyn Fn(&mut Config) -> Result<()> + Sync),
) -> Result<Attempt, Failure> {
    let platform = &router.platform;
    let (version, head) = read(platform).await.map_err(Failure::NotWritten)?;
    if let Some(done) = head.submission(submission) {
        return Ok(Attempt::Ended(Commit::Done { revision: done.1, manifest_revision: done.2 }));
    }
    let local = router.config.current();
    if head.revision < local.revision {
        let err = eyre::eyre!("the platform holds revision {}, {} is in force", head.revision, local.revision);
        return Err(Failure::NotWritten(err));
    }
    if let Some(expected) = expected.filter(|expected| *expected != head.manifest_revision) {
        event!(Info, "commit_conflict", submission = submission, expected = expected, found = head.manifest_revision);
        return Ok(Attempt::Ended(Commit::Conflict { manifest_revision: head.manifest_revision }));
    }
    let (old, deltas) = head.resolve(platform, &local).await.map_err(Failure::NotWritten)?;
    let mut new = Config::clone(&old);
    edit(&mut new).map_err(Failure::Final)?;
    let touched = new.revision != old.revision || new.manifest_revision != old.manifest_revision;
    if touched {
        return Err(Failure::Final(eyre::eyre!("could not commit submission {submission}: it sets revisions")));
    }
    if new == *old {
        let done = Commit::Done { revision: old.revision, manifest_revision: old.manifest_revision };
        return Ok(Attempt::Ended(done));
    }
    new.revision.0 += 1;
    new.manifest_revision.0 += u64::from(new.manifest != old.manifest);
    let delta = Delta::between(&old, &new);
    let next = head.next(platform, submission, &new, delta.clone()).await.map_err(Failure::NotWritten)?;
    match platform.put(HEAD_KEY, version, next.to_bytes()).await {
        Ok(Put::Conflict) => return Ok(Attempt::Lost),
        Ok(Put::Done(_)) => {}
        Err(err) => return Err(Failure::InDoubt(err)),
    }
    if next.snapshot != head.snapshot {
        tokio::spawn(delete_old(platform.clone(), new.revision));
    }
    let done = Commit::Done { revision: new.revision, manifest_revision: new.manifest_revision };
    let deltas = deltas.into_iter().chain([delta]).collect();
    router.config.adopt_with(new, deltas);
    Ok(Attempt::Ended(done))
}

/// The head with the version of its object; the empty head with version 0 when there is none.
async fn read(platform: &Platform) -> Result<(u64, Head)> {
    let Some(object) = platform.get(HEAD_KEY).await? else { return Ok((0, Head::default())) };
    Ok((object.version, Head::parse(&object)?))
}

async fn delete_old(platform: Platform, current: Revision) {
    if let Err(err) = head::delete_old_snapshots(&platform, current).await {
        event!(Warn, "snapshots_not_deleted", error = format!("{err:#}"));
    }
}

/// Puts the configuration of `head` in force when it is newer than the one in force.
async fn take(router: &Router, head: &Head) -> Result<()> {
    let local = router.config.current();
    if head.revision < local.revision {
        bail!("the platform holds revision {}, {} is in force", head.revision, local.revision);
    }
    if head.revision == local.revision {
        return Ok(());
    }
    let (config, deltas) = head
        .resolve(&router.platform, &local)
        .await
        .wrap_err_with(|| format!("could not read configuration {}", head.revision))?;
    router.config.adopt_with(Arc::unwrap_or_clone(config), deltas);
    Ok(())
}
