//! Invariants that are checked at run time. Violations are counted and logged in production, and fatal in tests.

use std::{
    fmt, process,
    sync::atomic::{AtomicBool, Ordering},
};

use crate::{event, telemetry};

static FATAL: AtomicBool = AtomicBool::new(false);

/// The promises to users that the invariants protect, from `docs/design.md` section 1.1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// P1: customers only reach models and versions that they are allowed to use.
    Allowed,
    /// P2: no new work for a withdrawn version.
    Withdrawn,
    /// P3: a session keeps its version.
    Session,
    /// P4: each request is billed exactly once.
    Billed,
    /// P5: a cold backend server runs no more requests than its cold-start limit.
    Cold,
    /// P6: no new work for a failure domain out of service.
    DomainOut,
    /// P7: a caller gets the whole answer, and to its own request.
    Answer,
    /// P8: a request that is reported as "not run" has not run.
    NotRun,
    /// P9: a request that is not idempotent runs at most once.
    AtMostOnce,
    /// P10: no new work for a leaving backend server.
    Leaving,
    /// P11: a planned stop cuts off no request.
    Graceful,
    /// P12: the configuration never reverts to an older revision.
    Config,
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Sets whether a broken invariant ends the process, as in tests.
pub fn set_fatal(fatal: bool) {
    FATAL.store(fatal, Ordering::Relaxed);
}

/// Checks that the invariant `holds`. If it does not, counts and logs the violation with `detail`, and exits the process
/// if violations are fatal.
pub fn check(promise: Promise, holds: bool, detail: impl FnOnce() -> String) {
    if holds {
        return;
    }
    metrics::counter!(telemetry::BROKEN_INVARIANTS, "promise" => promise.to_string()).increment(1);
    event!(Error, "invariant_broken", promise = promise, detail = detail());
    if FATAL.load(Ordering::Relaxed) {
        process::exit(EXIT_INVARIANT);
    }
}

/// Exit code of a process that ends because of a broken invariant.
pub const EXIT_INVARIANT: i32 = 70;
