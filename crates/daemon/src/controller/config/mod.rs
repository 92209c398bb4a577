//! Watches the configuration head on the platform and commits changes to it.

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

/// Time after which a commit gives up if it has written nothing.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a commit gives up if the outcome of one of its writes is unknown.
const IN_DOUBT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum delay before the next attempt, after a lost race and after an error. The delay is random, so
/// that racing committers do not collide again.
const MAX_DELAY_AFTER_RACE: Duration = Duration::from_millis(20);
const MAX_DELAY_AFTER_ERROR: Duration = Duration::from_millis(100);

/// Starts watching the head. Updates from peers are held back until the head has been read from the
/// platform or the bootstrap from peers has finished.
pub fn spawn(router: Router) {
    router.config.hold_updates();
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
    /// The manifest revision differs from the expected one; nothing was changed.
    Conflict {
        /// Revision of the manifest.
        manifest_revision: Revision,
    },
}

/// Commits a change: reads the head, lets `edit` change the configuration, and replaces the head with
/// a conditional write. Retries if another change was written in between. `submission` identifies the
/// change, so that it is not applied twice if the call is repeated or the platform's reply is lost.
/// `expected` is the manifest revision that the caller saw; if another one is in force, the result is
/// a conflict. `edit` must not change the revisions. If `edit` fails, nothing is changed. The manifest
/// revision is incremented if `edit` changed the manifest. After an error that reports an unknown
/// outcome, the caller should repeat the call with the same submission.
pub async fn commit(
    router: &Router,
    submission: &str,
    expected: Option<Revision>,
    edit: &(dyn Fn(&mut Config) -> Result<()> + Sync),
) -> Result<Commit> {
    let result = commit_with_retries(router, submission, expected, edit).await;
    let label = match &result {
        Ok(Commit::Done { .. }) => "done",
        Ok(Commit::Conflict { .. }) => "conflict",
        Err(_) => "error",
    };
    metrics::counter!(telemetry::COMMITS, "result" => label).increment(1);
    result
}

/// Attempts the change until an attempt succeeds or fails for good, or the timeout has passed.
async fn commit_with_retries(
    router: &Router,
    submission: &str,
    expected: Option<Revision>,
    edit: &(dyn Fn(&mut Config) -> Result<()> + Sync),
) -> Result<Commit> {
    let start = Instant::now();
    let mut in_doubt = false;
    loop {
        let err = match attempt(router, submission, expected, edit).await {
            Ok(Attempt::Finished(commit)) => return Ok(commit),
            Ok(Attempt::LostRace) => None,
            Err(Failure::NotWritten(err)) => Some(err),
            Err(Failure::InDoubt(err)) => {
                event!(Warn, "commit_in_doubt", submission = submission, error = format!("{err:#}"));
                in_doubt = true;
                Some(err)
            }
            Err(Failure::Final(err)) => return Err(err),
        };
        let max_delay = if err.is_some() { MAX_DELAY_AFTER_ERROR } else { MAX_DELAY_AFTER_RACE };
        let timeout = if in_doubt { IN_DOUBT_TIMEOUT } else { COMMIT_TIMEOUT };
        if start.elapsed() >= timeout {
            let err = err.unwrap_or_else(|| eyre::eyre!("other changes came first"));
            let outcome = if in_doubt { "its outcome is unknown" } else { "nothing was changed" };
            return Err(err.wrap_err(format!("could not commit submission {submission}: {outcome}")));
        }
        sleep(max_delay.mul_f64(rand::random())).await;
    }
}

/// Result of one attempt that did not fail.
enum Attempt {
    Finished(Commit),
    /// Another change was written between the read and the write of the head.
    LostRace,
}

/// Why an attempt failed.
enum Failure {
    /// The head was not written; another attempt may succeed.
    NotWritten(eyre::Report),
    /// The head may have been written; another attempt finds out.
    InDoubt(eyre::Report),
    /// A retry would fail as well.
    Final(eyre::Report),
}

async fn attempt(
    router: &Router,
    submission: &str,
    expected: Option<Revision>,
    edit: &(dyn Fn(&mut Config) -> Result<()> + Sync),
) -> Result<Attempt, Failure> {
    let platform = &router.platform;
    let (version, head) = read_head(platform).await.map_err(Failure::NotWritten)?;
    if let Some(done) = head.submission(submission) {
        return Ok(Attempt::Finished(Commit::Done { revision: done.1, manifest_revision: done.2 }));
    }
    let local = router.config.current();
    if head.revision < local.revision {
        let err = eyre::eyre!("the platform holds revision {}, {} is in force", head.revision, local.revision);
        return Err(Failure::NotWritten(err));
    }
    if let Some(expected) = expected.filter(|expected| *expected != head.manifest_revision) {
        event!(Info, "commit_conflict", submission = submission, expected = expected, found = head.manifest_revision);
        return Ok(Attempt::Finished(Commit::Conflict { manifest_revision: head.manifest_revision }));
    }
    let (old, deltas) = head.resolve(platform, &local).await.map_err(Failure::NotWritten)?;
    let mut new = Config::clone(&old);
    edit(&mut new).map_err(Failure::Final)?;
    let revisions_changed = new.revision != old.revision || new.manifest_revision != old.manifest_revision;
    if revisions_changed {
        return Err(Failure::Final(eyre::eyre!("could not commit submission {submission}: it sets revisions")));
    }
    if new == *old {
        let done = Commit::Done { revision: old.revision, manifest_revision: old.manifest_revision };
        return Ok(Attempt::Finished(done));
    }
    new.revision.0 += 1;
    new.manifest_revision.0 += u64::from(new.manifest != old.manifest);
    let delta = Delta::between(&old, &new);
    let next = head.with_change(platform, submission, &new, delta.clone()).await.map_err(Failure::NotWritten)?;
    match platform.put(HEAD_KEY, version, next.to_bytes()).await {
        Ok(Put::Conflict) => return Ok(Attempt::LostRace),
        Ok(Put::Done(_)) => {}
        Err(err) => return Err(Failure::InDoubt(err)),
    }
    if next.snapshot != head.snapshot {
        tokio::spawn(delete_old_snapshots(platform.clone(), new.revision));
    }
    let done = Commit::Done { revision: new.revision, manifest_revision: new.manifest_revision };
    let deltas = deltas.into_iter().chain([delta]).collect();
    router.config.adopt_with_deltas(new, deltas);
    Ok(Attempt::Finished(done))
}

/// Reads the version of the head object and the head. Without a head object, returns version 0 and the
/// empty head.
async fn read_head(platform: &Platform) -> Result<(u64, Head)> {
    let Some(object) = platform.get(HEAD_KEY).await? else { return Ok((0, Head::default())) };
    Ok((object.version, Head::parse(&object)?))
}

async fn delete_old_snapshots(platform: Platform, current: Revision) {
    if let Err(err) = head::delete_old_snapshots(&platform, current).await {
        event!(Warn, "snapshots_not_deleted", error = format!("{err:#}"));
    }
}

/// Puts the configuration of `head` in force if it is newer than the one in force. Fails if it is older.
async fn adopt_head(router: &Router, head: &Head) -> Result<()> {
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
    router.config.adopt_with_deltas(Arc::unwrap_or_clone(config), deltas);
    Ok(())
}
