//! Watches the configuration head at the platform and commits changes to it.

use eelgrasswell_core::id::Revision;
use eelgrasswell_manifest::config::Config;
use eyre::{Result, bail};

use crate::router::Router;

/// Starts the controller.
pub fn spawn(_router: Router) {}

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
/// when `edit` changed the manifest.
pub async fn commit(
    _router: &Router,
    _submission: &str,
    _expected: Option<Revision>,
    _edit: &(dyn Fn(&mut Config) -> Result<()> + Sync),
) -> Result<Commit> {
    bail!("could not commit a configuration: not built yet")
}
