//! Budget of the bytes that a process holds for its clients: requests and buffered answers.
//!
//! The load that this addresses: many clients that each stay within the limits of one request, but together send more than the
//! memory holds, and mostly stop just short of the end. Bytes are counted as they come, since a client that announces much and
//! sends nothing costs nothing. When the budget is used up, the holders that have held the most for the longest without
//! progress give way. A part of the budget is open to small requests only, so that these pass beside large ones.

use crate::{
    hash::HashMap,
    unit::{Bytes, Millis},
};

/// Time without progress after which a holder may have to give way. Clients that send or read at all do so more often, also on
/// the narrowest links.
pub const MIN_STALL: Millis = Millis(250);
/// Size up to which a holder may use the whole budget.
pub const SMALL: Bytes = Bytes(128 << 10);
/// Part of the budget, as its divisor, that is only open to small holders.
const SMALL_RESERVE_DIVISOR: u64 = 8;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// The head and body of a request, and the buffers of its connections.
    Request,
    /// An answer that is buffered, or that the caller has not read.
    Answer,
}

impl Use {
    /// All uses.
    pub const ALL: [Self; 2] = [Self::Request, Self::Answer];

    /// Label of the use in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Answer => "answer",
        }
    }
}

/// Identifies a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderId(u64);

/// Decision about bytes that a holder asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The bytes are counted for the holder.
    Granted,
    /// The bytes fit once these holders, and those evicted before, have closed. The list may be empty.
    Evict(Vec<HolderId>),
    /// The bytes don't fit, and too few other holders are without progress.
    Denied,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    purpose: Use,
    bytes: u64,
    progress_at: Millis,
    /// Whether it may be evicted: the process waits for its client.
    waits_for_client: bool,
    evicted: bool,
}

/// The budget.
#[derive(Debug)]
pub struct ByteBudget {
    limit: u64,
    holders: HashMap<HolderId, Holder>,
    held: [u64; Use::ALL.len()],
    next: u64,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: Bytes) -> Self {
        Self { limit: limit.0, holders: HashMap::default(), held: Default::default(), next: 0 }
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, now: Millis, purpose: Use) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder { purpose, bytes: 0, progress_at: now, waits_for_client: true, evicted: false };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder and releases its bytes.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held[holder.purpose as usize] -= holder.bytes;
        }
    }

    /// Asks for `bytes` more for a holder. If they are granted, this counts as progress.
    pub fn grow(&mut self, now: Millis, id: HolderId, bytes: Bytes) -> Grant {
        let grant = self.check(now, Some(id), bytes);
        if let (Grant::Granted, Some(holder)) = (&grant, self.holders.get_mut(&id)) {
            holder.bytes += bytes.0;
            holder.progress_at = now;
            self.held[holder.purpose as usize] += bytes.0;
        }
        grant
    }

    /// Like `grow`, but counts nothing. Holders in the result are evicted.
    pub fn check(&mut self, now: Millis, id: Option<HolderId>, bytes: Bytes) -> Grant {
        let own = id.and_then(|id| self.holders.get(&id)).map_or(0, |holder| holder.bytes);
        let limit = if own + bytes.0 <= SMALL.0 { self.limit } else { self.limit - self.limit / SMALL_RESERVE_DIVISOR };
        let wanted = self.held().0 + bytes.0;
        if wanted <= limit {
            return Grant::Granted;
        }
        let leaving: u64 = self.holders.values().filter(|holder| holder.evicted).map(|holder| holder.bytes).sum();
        let mut missing = (wanted - limit).saturating_sub(leaving);
        let mut candidates: Vec<(u128, HolderId, u64)> = self
            .holders
            .iter()
            .filter(|&(&other, holder)| Some(other) != id && holder.may_give_way(now))
            .map(|(&other, holder)| (holder.weight(now), other, holder.bytes))
            .collect();
        candidates.sort_unstable_by_key(|&(weight, other, _)| (std::cmp::Reverse(weight), other));
        let mut evicted = Vec::new();
        for (_, other, bytes) in candidates {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(bytes);
            evicted.push(other);
        }
        if missing > 0 {
            return Grant::Denied;
        }
        for other in &evicted {
            if let Some(holder) = self.holders.get_mut(other) {
                holder.evicted = true;
            }
        }
        Grant::Evict(evicted)
    }

    /// Records that the client of a holder has sent or read something.
    pub fn record_progress(&mut self, now: Millis, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress_at = now;
        }
    }

    /// Sets whether the process waits for the client of a holder. Other holders never give way.
    pub fn set_waiting(&mut self, now: Millis, id: HolderId, waits_for_client: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.waits_for_client = waits_for_client;
            holder.progress_at = now;
        }
    }

    /// Bytes held for all uses.
    pub fn held(&self) -> Bytes {
        Bytes(self.held.iter().sum())
    }

    /// Bytes held for one use.
    pub fn held_for(&self, purpose: Use) -> Bytes {
        Bytes(self.held[purpose as usize])
    }

    /// Size of the budget.
    pub fn limit(&self) -> Bytes {
        Bytes(self.limit)
    }
}

impl Holder {
    fn may_give_way(&self, now: Millis) -> bool {
        self.waits_for_client && !self.evicted && self.bytes > 0 && now.saturating_sub(self.progress_at) >= MIN_STALL
    }

    /// The holder with the largest weight gives way first: bytes times the time without progress.
    fn weight(&self, now: Millis) -> u128 {
        u128::from(self.bytes) * u128::from(now.saturating_sub(self.progress_at).0)
    }
}
