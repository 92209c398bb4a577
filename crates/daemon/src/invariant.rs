//! Invariants that the program asserts at run time: counted and logged in production, fatal in tests.

use std::{
    fmt, process,
    sync::atomic::{AtomicBool, Ordering},
};

use crate::{event, telemetry};

static FATAL: AtomicBool = AtomicBool::new(false);

/// The promises of `docs/design.md` section 1.1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// P1: only allowed models and versions.
    Allowed,
    /// P2: no new work for a withdrawn version.
    Withdrawn,
    /// P3: a session keeps its version.
    Session,
    /// P4: billed exactly once.
    Billed,
    /// P5: cold-start limit.
    Cold,
    /// P6: no new work for a failure domain out of service.
    DomainOut,
    /// P7: the whole answer to its own request.
    Answer,
    /// P8: "not run" is true.
    NotRun,
    /// P9: at most once.
    AtMostOnce,
    /// P10: no new work for a leaving backend server.
    Leaving,
    /// P11: a planned stop cuts no request.
    Graceful,
    /// P12: configuration never reverts.
    Config,
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Makes a broken invariant end the process, as tests want it.
pub fn set_fatal(fatal: bool) {
    FATAL.store(fatal, Ordering::Relaxed);
}

/// Asserts `holds`; `detail` says what was found when it does not hold.
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

/// Exit code of a process that ended because of a broken invariant.
pub const EXIT_INVARIANT: i32 = 70;
