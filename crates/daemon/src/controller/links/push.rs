//! Decides when a link sends the configuration to its agent.

use std::time::Duration;

use eelgrasswell_core::id::Revision;
use tokio::time::Instant;

/// Routers that push a new configuration at once; the others give them time to do so.
const FIRST_ROUTERS: usize = 2;
/// Time for which the other routers wait for the agent's heartbeat to show the new revision. Longer
/// than the 2 s between heartbeats: with 1 s most of them pushed what the agent had, and a restarted
/// agent got the configuration from seven routers.
const WAIT: Duration = Duration::from_millis(2_200);
/// Time after a push without effect after which the whole configuration is sent. Agents answer every
/// heartbeat at once, so an older revision by then means that the deltas were of no use.
const RESEND_AFTER: Duration = Duration::from_secs(2);

/// What one stream knows of its agent's revision.
#[derive(Debug, Default)]
pub struct Push {
    /// Revision in the agent's last heartbeat; none before the first.
    reported: Option<Revision>,
    /// Last push on this stream.
    pushed: Option<(Revision, Instant)>,
    behind_since: Option<Instant>,
}

/// What to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Send {
    /// What the agent lacks since this revision.
    Since(Revision),
    /// The whole configuration: deltas had no effect.
    Whole,
}

impl Push {
    /// Takes in the revision of a heartbeat.
    pub fn note_reported(&mut self, reported: Revision) {
        self.reported = Some(reported);
    }

    /// Notes that `revision` was sent.
    pub fn note_pushed(&mut self, revision: Revision, now: Instant) {
        self.pushed = Some((revision, now));
    }

    /// When to send `current` and what, as far as is known now; none when the agent needs nothing.
    pub fn due(&mut self, current: Revision, rank: usize, now: Instant) -> Option<(Instant, Send)> {
        let reported = self.reported?;
        if reported >= current {
            self.behind_since = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        match self.pushed {
            Some((pushed, at)) if pushed >= current => Some((at + RESEND_AFTER, Send::Whole)),
            // What was sent earlier on this stream arrives before what is sent now.
            Some((pushed, _)) if pushed > reported => Some((wait(since, rank), Send::Since(pushed))),
            _ => Some((wait(since, rank), Send::Since(reported))),
        }
    }
}

fn wait(since: Instant, rank: usize) -> Instant {
    if rank < FIRST_ROUTERS { since } else { since + WAIT }
}
