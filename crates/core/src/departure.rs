//! Backend servers that have announced in their answers that they are shutting down.
//!
//! The pattern is a shutdown that the store does not show, or shows late: the store is down or far behind, or the server
//! reports nothing there. The announcement is a fact about one incarnation of a server. A list that still says that the
//! server is ready does not undo it, and it does not concern a server that starts anew under the same id or at the same
//! address. Routers pool their marks as a set, so a late, lost, repeated or reordered message changes nothing.

use crate::{backend::ServerId, hash::HashMap, unit::Millis};

/// Time since the announcement for which a router passes it on to the others.
const REPORT_TIME: Millis = Millis(60_000);
/// Time for which the mark of a server is kept that is not in use: it may be listed again.
const EXPIRY: Millis = Millis(300_000);
/// Maximum number of marks.
const MAX_MARKS: usize = 8_192;
/// Maximum number of marks in a report.
const MAX_REPORTED: usize = 256;

/// The announcement of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The server.
    pub server: ServerId,
    /// Time of the first announcement.
    pub since: Millis,
}

/// Marks of servers that are shutting down.
#[derive(Debug, Default)]
pub struct Departures {
    marks: HashMap<ServerId, Mark>,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    since: Millis,
    /// Last time at which the server was in use or announced that it leaves.
    last_seen: Millis,
}

impl Departures {
    /// Marks a server that announced at `since` that it leaves. Returns whether it was not marked before.
    pub fn record(&mut self, now: Millis, server: ServerId, since: Millis) -> bool {
        if now.saturating_sub(since) >= EXPIRY {
            return false;
        }
        let is_new = !self.marks.contains_key(&server);
        if is_new && self.marks.len() >= MAX_MARKS {
            self.drop_oldest();
        }
        let mark = self.marks.entry(server).or_insert(Mark { since, last_seen: now });
        mark.since = mark.since.min(since);
        mark.last_seen = now;
        is_new
    }

    /// Whether the server is shutting down.
    pub fn contains(&self, server: ServerId) -> bool {
        self.marks.contains_key(&server)
    }

    /// Removes the mark of `server`.
    pub fn remove(&mut self, server: ServerId) {
        self.marks.remove(&server);
    }

    /// Removes the marks of servers that were not among those in use for `EXPIRY`.
    pub fn expire(&mut self, now: Millis, in_use: impl IntoIterator<Item = ServerId>) {
        if self.marks.is_empty() {
            return;
        }
        for server in in_use {
            if let Some(mark) = self.marks.get_mut(&server) {
                mark.last_seen = now;
            }
        }
        self.marks.retain(|_, mark| now.saturating_sub(mark.last_seen) < EXPIRY);
    }

    /// The latest announcements, for the other routers.
    pub fn report(&self, now: Millis) -> Vec<Departure> {
        let recent = self.marks.iter().filter(|(_, mark)| now.saturating_sub(mark.since) < REPORT_TIME);
        let mut departures: Vec<Departure> =
            recent.map(|(&server, mark)| Departure { server, since: mark.since }).collect();
        departures.sort_unstable_by_key(|departure| (std::cmp::Reverse(departure.since), departure.server.0));
        departures.truncate(MAX_REPORTED);
        departures
    }

    /// Number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether no server is marked.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.marks.iter().min_by_key(|(_, mark)| mark.last_seen).map(|(&server, _)| server);
        if let Some(server) = oldest {
            self.marks.remove(&server);
        }
    }
}
