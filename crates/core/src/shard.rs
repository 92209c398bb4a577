//! State of a shard and entries of its log. The owner writes each entry under the next sequence
//! number with a "must not exist" condition. If two routers both consider themselves the owner, only
//! one of them can therefore continue the log.

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

/// Number of takeover entries that compaction keeps in the log. The sequence number that a deposed
/// owner writes next is always that of a takeover entry. If compaction deleted that entry, the deposed
/// owner's "must not exist" write would succeed. A shard changes its owner a few times a day, so this
/// number covers weeks.
pub const RETAINED_TAKEOVERS: usize = 256;

/// Log entry: a batch of changes written under one sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Fence of the owner that wrote the entry.
    pub fence: Fence,
    /// Random number by which an owner recognises its own entry when it reads the entry back.
    pub batch: u64,
    /// The changes, in order.
    pub ops: Vec<Op>,
}

/// A change of a shard's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// A new owner takes the shard over.
    Takeover {
        /// Host of the new owner.
        owner: HostId,
        /// Incarnation of the new owner.
        incarnation: Incarnation,
    },
    /// Grants or ends a claim.
    Claim(ClaimOp),
    /// Records a bill.
    Bill(BillOp),
    /// Changes a budget.
    Budget(BudgetOp),
}

/// State of a shard after all log entries before `next_seq`.
#[derive(Clone, Debug, Default)]
pub struct ShardState {
    /// Fence of the last log entry.
    pub fence: Fence,
    /// Sequence number of the next log entry.
    pub next_seq: u64,
    /// Sequence numbers of the last [`RETAINED_TAKEOVERS`] takeover entries, oldest first.
    pub takeovers: VecDeque<u64>,
    /// Object keys of the segments that hold sealed bills, oldest first.
    pub segments: Vec<CompactString>,
    /// Claims.
    pub claims: ClaimTable,
    /// Bills.
    pub ledger: Ledger,
    /// Budgets.
    pub budgets: Budgets,
}

/// State of a shard as stored in a snapshot.
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

/// Why a log entry cannot be applied to the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayError {
    /// Entries before it are missing.
    Gap {
        /// Sequence number that has to come next.
        expected: u64,
        /// Sequence number of the given entry.
        found: u64,
    },
    /// The fence of the entry is lower than that of an earlier entry.
    StaleFence {
        /// Fence of the state.
        state: Fence,
        /// Fence of the entry.
        entry: Fence,
    },
}

impl ShardState {
    /// Applies the log entry with sequence number `seq`. Entries that the state already contains are
    /// skipped.
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

    /// Applies one change. The owner calls this before the entry is durable, and discards the whole
    /// state if the entry cannot be written.
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

    /// Moves on to the next sequence number, after the entry with the applied changes is durable.
    pub fn advance(&mut self, fence: Fence) {
        self.fence = fence;
        self.next_seq += 1;
    }

    /// Drops claims and ids of sealed bills whose retention has passed.
    pub fn expire(&mut self, now: Millis) {
        self.claims.expire(now);
        self.ledger.expire(now);
    }

    /// The state for a snapshot, in which points in time become remaining retention.
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

    /// The state from a snapshot; `None` if the record is malformed.
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
