//! Decides when a link sends the configuration to its agent, and whether as deltas or as a whole.

use std::time::Duration;

use eelgrasswell_core::id::Revision;
use tokio::time::Instant;

/// Number of routers, by rank, that push a new configuration to an agent at once. The other routers
/// of the agent delay their push.
const FIRST_ROUTERS: usize = 2;
/// Delay of a push by the other routers, in which the agent's heartbeat may report the new revision.
/// Longer than the 2 s between heartbeats: with 1 s most of these routers pushed what the agent already
/// had, and a restarted agent got the configuration from seven routers.
const PUSH_DELAY: Duration = Duration::from_millis(2_200);
/// Time after a push without effect after which the whole configuration is sent. Agents reply to every
/// heartbeat at once, so an agent that still reports an older revision by then could not use the deltas.
const RESEND_AFTER: Duration = Duration::from_secs(2);

/// State of the configuration pushes on one stream.
#[derive(Debug, Default)]
pub struct PushState {
    /// Revision in the agent's last heartbeat; none before the first heartbeat.
    reported: Option<Revision>,
    /// Revision and time of the last push on this stream.
    pushed: Option<(Revision, Instant)>,
    /// Time since which the agent has reported an older revision than the current one.
    behind_since: Option<Instant>,
}

/// What a push contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushContent {
    /// The changes after this revision.
    Since(Revision),
    /// The whole configuration, because deltas had no effect.
    Whole,
}

impl PushState {
    /// Records the revision in a heartbeat of the agent.
    pub fn record_reported(&mut self, reported: Revision) {
        self.reported = Some(reported);
    }

    /// Records that `revision` was pushed.
    pub fn record_pushed(&mut self, revision: Revision, now: Instant) {
        self.pushed = Some((revision, now));
    }

    /// Time and content of the next push, by which the agent gets revision `current`. None if the agent
    /// is up to date or has not sent a heartbeat yet.
    pub fn next_push(&mut self, current: Revision, rank: usize, now: Instant) -> Option<(Instant, PushContent)> {
        let reported = self.reported?;
        if reported >= current {
            self.behind_since = None;
            return None;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        match self.pushed {
            Some((pushed, at)) if pushed >= current => Some((at + RESEND_AFTER, PushContent::Whole)),
            // The stream is ordered, so the earlier push arrives before this one.
            Some((pushed, _)) if pushed > reported => Some((push_time(behind_since, rank), PushContent::Since(pushed))),
            _ => Some((push_time(behind_since, rank), PushContent::Since(reported))),
        }
    }
}

fn push_time(behind_since: Instant, rank: usize) -> Instant {
    if rank < FIRST_ROUTERS { behind_since } else { behind_since + PUSH_DELAY }
}
