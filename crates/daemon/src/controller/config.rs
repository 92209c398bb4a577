//! Watches the configuration head at the platform and commits changes to it.

use crate::router::Router;

/// Starts the controller.
pub fn spawn(_router: Router) {}
