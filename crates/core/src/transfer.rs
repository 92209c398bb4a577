//! Limits on the transfer of copies of the store's objects to routers whose links may be narrow.
//!
//! This matters when the configuration grows to the largest object that the store takes. A limit on the total time of a
//! transfer cuts it on a narrow link, and the next transfer starts from the first byte, so that none ever completes.
//! Here a transfer may go on while it makes progress. Besides, a router that sends the object to each of its followers
//! fills its own link, so followers get large objects from the store instead.

use crate::unit::{Bytes, Millis};

/// Time without any bytes after which a transfer that has begun is given up.
const MAX_IDLE: Millis = Millis(900);
/// Bytes per second below which a transfer is given up. It bounds the time of a transfer.
const MIN_BYTES_PER_SECOND: u64 = 100_000;
/// Size above which a response is given up. The largest page of a list is far smaller.
const MAX_RESPONSE: Bytes = Bytes(16 << 20);
/// Size of a reply to a follower above which its objects may be left to the store.
const LARGE_REPLY: Bytes = Bytes(64 << 10);

/// Progress of one response from the store.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    started: Millis,
    limit: Millis,
    received: Bytes,
    last_progress: Option<Millis>,
}

impl Transfer {
    /// Starts a call at `now` whose response must begin within `limit`.
    pub fn start(now: Millis, limit: Millis) -> Self {
        Self { started: now, limit, received: Bytes(0), last_progress: None }
    }

    /// Records that `bytes` of the response have arrived.
    pub fn record(&mut self, now: Millis, bytes: Bytes) {
        self.received = Bytes(self.received.0 + bytes.0);
        self.last_progress = Some(now);
    }

    /// Number of bytes that have arrived.
    pub fn received(&self) -> Bytes {
        self.received
    }

    /// Whether more bytes have arrived than any response has, so that they may have no end.
    pub fn is_overlong(&self) -> bool {
        self.received > MAX_RESPONSE
    }

    /// Time at which the call is given up unless more of the response arrives.
    pub fn deadline(&self) -> Millis {
        let by_rate = self.started + self.limit + Millis(self.received.0 * 1_000 / MIN_BYTES_PER_SECOND);
        self.last_progress.map_or(by_rate, |last| by_rate.min(last + MAX_IDLE))
    }
}

/// Whether a reply to a follower leaves out its objects, which the follower then reads from the store. `size` is that of
/// the objects that the follower lacks, `lacking` their number and `total` the number of all objects. A reply with a
/// small part of a long list is always sent, because the follower would have to read the whole list.
pub fn is_left_to_store(size: Bytes, lacking: usize, total: usize) -> bool {
    size > LARGE_REPLY && lacking * 2 >= total
}
