//! State of a shard and its log. The owner writes each entry under the next sequence number with
//! "must not exist", so that of two routers that believe to be owners only one can go on.

use std::{collections::VecDeque, fmt};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    budget::{BudgetOp, Budgets},
    claim::{ClaimOp, ClaimRecord, ClaimTable},
    id::{Fence, HostId, Incarnation},
    ledger::{BillOp, Ledger, LedgerRecord},
    unit::Millis,
};

/// Takeover entries that compaction leaves in the log. The entry that a deposed owner would write
/// next is always a takeover entry; were it deleted, that owner's "must not exist" write would
/// succeed. A shard changes hands a few times a day, so these cover weeks.
pub const RETAINED_TAKEOVERS: usize = 256;

/// One batch of changes, written under one sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Fence of the owner that wrote it.
    pub fence: Fence,
    /// Random number; tells an owner whether the entry that it reads back is its own.
    pub batch: u64,
    /// The changes in order.
    pub ops: Vec<Op>,
}

/// A change of the state of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// A new owner begins.
    Takeover {
        /// Host of the new owner.
        owner: HostId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Change of a claim.
    Claim(ClaimOp),
    /// A bill.
    Bill(BillOp),
    /// Change of a budget.
    Budget(BudgetOp),
}

/// State of a shard after the log entries before `next`.
#[derive(Clone, Debug, Default)]
pub struct ShardState {
    /// Fence of the last entry.
    pub fence: Fence,
    /// Sequence number of the next entry.
    pub next_seq: u64,
    /// Sequence numbers of the last takeover entries, oldest first.
    pub takeovers: VecDeque<u64>,
    /// Keys of the segments with sealed bills, oldest first.
    pub segments: Vec<CompactString>,
    /// Claims.
    pub claims: ClaimTable,
    /// Bills.
    pub ledger: Ledger,
    /// Budgets.
    pub budgets: Budgets,
}

/// State of a shard as kept in a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateRecord {
    fence: Fence,
    next: u64,
    takeovers: VecDeque<u64>,
    segments: Vec<CompactString>,
    claims: Vec<ClaimRecord>,
    ledger: LedgerRecord,
    budgets: Budgets,
}

/// A log entry that cannot follow the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayError {
    /// Entries are missing in between.
    Gap {
        /// Sequence number that should come next.
        expected: u64,
        /// Sequence number of the entry.
        found: u64,
    },
    /// The fence is lower than that of an earlier entry.
    StaleFence {
        /// Fence of the state.
        state: Fence,
        /// Fence of the entry.
        entry: Fence,
    },
}

impl ShardState {
    /// Takes in the log entry with sequence number `seq`. Entries that the state contains are
    /// passed over.
    pub fn replay(&mut self, seq: u64, entry: &LogEntry, now: Millis) -> Result<(), ReplayError> {
        if seq < self.next_seq {
            return Ok(());
        }
        if seq > self.next_seq {
            return Err(ReplayError::Gap { expected: self.next_seq, found: seq });
        }
        if entry.fence < self.fence {
            return Err(ReplayError::StaleFence { state: self.fence, entry: entry.fence });
        }
        for op in &entry.ops {
            self.apply(op, now);
        }
        self.advance(entry.fence);
        Ok(())
    }

    /// Makes one change. An owner does so before the entry is durable, and drops the whole state
    /// when the entry cannot be written.
    pub fn apply(&mut self, op: &Op, now: Millis) {
        match op {
            Op::Takeover { .. } => {
                self.takeovers.push_back(self.next_seq);
                if self.takeovers.len() > RETAINED_TAKEOVERS {
                    self.takeovers.pop_front();
                }
            }
            Op::Claim(op) => self.claims.apply(op, now),
            Op::Bill(op) => {
                self.ledger.apply(op);
            }
            Op::Budget(op) => self.budgets.apply(op),
        }
    }

    /// Notes that the entry with the applied changes is durable.
    pub fn advance(&mut self, fence: Fence) {
        self.fence = fence;
        self.next_seq += 1;
    }

    /// Drops what is older than its retention.
    pub fn expire(&mut self, now: Millis) {
        self.claims.expire(now);
        self.ledger.expire(now);
    }

    /// The state with rests of retention in place of points in time.
    pub fn to_record(&self, now: Millis) -> StateRecord {
        StateRecord {
            fence: self.fence,
            next: self.next_seq,
            takeovers: self.takeovers.clone(),
            segments: self.segments.clone(),
            claims: self.claims.to_records(now),
            ledger: self.ledger.to_record(now),
            budgets: self.budgets.clone(),
        }
    }

    /// The state of a snapshot; none when it is malformed.
    pub fn from_record(record: StateRecord, now: Millis) -> Option<Self> {
        let mut claims = ClaimTable::default();
        for claim in record.claims {
            claims.restore(claim, now);
        }
        Some(Self {
            fence: record.fence,
            next_seq: record.next,
            takeovers: record.takeovers,
            segments: record.segments,
            claims,
            ledger: Ledger::from_record(record.ledger, now)?,
            budgets: record.budgets,
        })
    }
}

impl fmt::Display for ReplayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => write!(f, "could not replay entry {found}: entry {expected} is missing"),
            Self::StaleFence { state, entry } => {
                write!(f, "could not replay an entry: its fence {entry} is below {state}")
            }
        }
    }
}

impl std::error::Error for ReplayError {}
