//! Steps and stops rollouts by the evidence that this router holds as a shard owner.

use crate::router::Router;

/// Starts the controller.
pub fn spawn(_router: Router) {}
