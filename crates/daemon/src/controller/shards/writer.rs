//! The owner's side of a shard: serialises changes in memory and writes them in batches.

use std::time::Duration;

use eelgrasswell_core::{
    budget::BudgetOp,
    id::Fence,
    ledger::Bill,
    shard::{LogEntry, Op, ShardState},
};
use eyre::Result;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::{Instant, interval, sleep_until},
};

use super::{
    log::{Append, ShardLog},
    snapshot::{self, Draft, Written},
    takeover::TakenOver,
};
use crate::{clock::Clock, config::ConfigHandle, event, telemetry};

/// Least time between the starts of two batches: ten a second for each shard.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which changes without a waiting caller (bills) wait for others to share their batch.
const BILL_DELAY: Duration = Duration::from_millis(300);
/// Size at which a batch is full, in bytes. One more command may follow; the platform's limit is 1 MB.
const BATCH_BYTES: usize = 400_000;
/// Commands that wait for a batch; more are refused.
const QUEUE: usize = 4_096;
/// Age of an unsettled write from which waiting commands are refused.
const STUCK_AFTER: Duration = Duration::from_secs(1);
/// Log entries after which a snapshot may be due: once the log has grown by the size of the last
/// snapshot, so that a large state is not written again and again.
const LEAST_ENTRIES: u64 = 128;
/// Log entries after which a snapshot is due at any size. A successor reads at most about so many.
const MOST_ENTRIES: u64 = 1_024;
/// Time after which a snapshot is due when there is any new entry.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(600);
/// Time after a failed snapshot before the next attempt.
const SNAPSHOT_PAUSE: Duration = Duration::from_secs(10);
/// Bills in memory from which they are sealed into a segment.
const SEAL_BILLS: usize = 2_000;
/// Interval of checks for due snapshots.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which expired state is dropped, which looks at all claims.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// Why an owner stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was asked to; all accepted changes are durable.
    Released,
    /// Another router owns the shard.
    Deposed,
}

enum Wake {
    Command(Option<Command>),
    Stop,
    Upkeep,
}

/// Submits commands to the owner of a shard in this process.
#[derive(Clone)]
pub struct Handle {
    /// Fence of the ownership.
    pub fence: Fence,
    tx: mpsc::Sender<Command>,
}

struct Command {
    urgent: bool,
    decide: Box<dyn FnOnce(&ShardState) -> Decided + Send>,
}

struct Decided {
    ops: Vec<Op>,
    reply: Box<dyn FnOnce() + Send>,
}

impl Handle {
    /// Lets `decide` see the state and make changes. Its second value is returned once the changes
    /// are durable; none when they are not, or when that is not known. An urgent command does not
    /// wait for others to share its batch.
    pub async fn submit<T: Send + 'static>(
        &self,
        urgent: bool,
        decide: impl FnOnce(&ShardState) -> (Vec<Op>, T) + Send + 'static,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        let decide = Box::new(move |state: &ShardState| {
            let (ops, result) = decide(state);
            Decided { ops, reply: Box::new(move || drop(tx.send(result))) }
        });
        self.tx.try_send(Command { urgent, decide }).ok()?;
        rx.await.ok()
    }
}

/// Owner of a shard.
pub struct Writer {
    log: ShardLog,
    clock: Clock,
    config: ConfigHandle,
    state: ShardState,
    rx: mpsc::Receiver<Command>,
    stop: watch::Receiver<bool>,
    last_write: Instant,
    last_expiry: Instant,
    snapshot: SnapshotState,
}

struct SnapshotState {
    version: u64,
    next: u64,
    not_before: Instant,
    /// Size of the last snapshot written here, and of the log entries since, in bytes.
    size: usize,
    log_size: usize,
    due: Instant,
    job: Option<JoinHandle<Result<JobResult>>>,
}

enum JobResult {
    Sealed(String, Vec<Bill>),
    Snapshot { next: u64, written: Written },
}

#[derive(Default)]
struct Batch {
    ops: Vec<Op>,
    bytes: usize,
    urgent: bool,
    replies: Vec<Box<dyn FnOnce() + Send>>,
}

impl Writer {
    /// Makes an owner that continues from the state taken over. It stops after `stop` turns true.
    pub fn new(
        log: ShardLog,
        clock: Clock,
        config: ConfigHandle,
        taken: TakenOver,
        stop: watch::Receiver<bool>,
    ) -> (Self, Handle) {
        let TakenOver { state, snapshot_version, snapshot_next } = taken;
        let (tx, rx) = mpsc::channel(QUEUE);
        let handle = Handle { fence: log.fence, tx };
        let now = Instant::now();
        let snapshot = SnapshotState {
            version: snapshot_version,
            next: snapshot_next,
            not_before: now,
            size: 0,
            log_size: 0,
            due: now + SNAPSHOT_INTERVAL,
            job: None,
        };
        (
            Self { log, clock, config, state, rx, stop, last_write: now - BATCH_INTERVAL, last_expiry: now, snapshot },
            handle,
        )
    }

    /// Serves commands until the end of the ownership.
    pub async fn run(mut self) -> End {
        let mut upkeep = interval(UPKEEP_INTERVAL);
        loop {
            let wake = tokio::select! {
                command = self.rx.recv() => Wake::Command(command),
                _ = self.stop.wait_for(|stop| *stop), if !self.rx.is_closed() => Wake::Stop,
                _ = upkeep.tick() => Wake::Upkeep,
            };
            let command = match wake {
                Wake::Command(Some(command)) => command,
                Wake::Command(None) => return End::Released,
                Wake::Stop => {
                    self.rx.close();
                    continue;
                }
                Wake::Upkeep => match self.upkeep().await {
                    Some(end) => return end,
                    None => continue,
                },
            };
            let batch = self.gather(command).await;
            if !batch.ops.is_empty() && !self.write(&batch.ops).await {
                return End::Deposed;
            }
            self.snapshot.log_size += batch.bytes;
            for reply in batch.replies {
                reply();
            }
        }
    }

    /// Decides on commands until the batch is due or full.
    async fn gather(&mut self, first: Command) -> Batch {
        let bills_due = Instant::now() + BILL_DELAY;
        let mut batch = Batch::default();
        self.decide(first, &mut batch);
        while batch.bytes < BATCH_BYTES {
            let earliest = self.last_write + BATCH_INTERVAL;
            let due = match () {
                () if batch.ops.is_empty() => Instant::now(),
                () if batch.urgent => earliest,
                () => earliest.max(bills_due),
            };
            tokio::select! {
                biased;
                command = self.rx.recv() => match command {
                    Some(command) => self.decide(command, &mut batch),
                    None => break,
                },
                () = sleep_until(due) => break,
            }
        }
        batch
    }

    fn decide(&mut self, command: Command, batch: &mut Batch) {
        let Decided { ops, reply } = (command.decide)(&self.state);
        let now = self.clock.now();
        for op in &ops {
            batch.bytes += serde_json::to_vec(op).map_or(0, |json| json.len());
            self.state.apply(op, now);
        }
        batch.urgent |= command.urgent;
        batch.ops.extend(ops);
        batch.replies.push(reply);
    }

    /// Writes one entry; false when another router owns the shard. While the platform does not
    /// settle the write, new commands are refused, so that their callers need not wait.
    async fn write(&mut self, ops: &[Op]) -> bool {
        self.last_write = Instant::now();
        let entry = LogEntry { fence: self.log.fence, batch: rand::random(), ops: ops.to_vec() };
        let append = {
            let append = self.log.append(self.state.next_seq, &entry);
            tokio::pin!(append);
            let mut stuck = false;
            loop {
                tokio::select! {
                    append = &mut append => break append,
                    () = sleep_until(self.last_write + STUCK_AFTER), if !stuck => stuck = true,
                    Some(refused) = self.rx.recv(), if stuck => drop(refused),
                }
            }
        };
        match append {
            Append::Durable => {
                self.state.advance(self.log.fence);
                self.warn_of_spending(ops);
                true
            }
            Append::Taken(found) => {
                let by = found.map_or(Fence(0), |entry| entry.fence);
                event!(
                    Warn,
                    "shard_deposed",
                    shard = self.log.shard,
                    fence = self.log.fence,
                    by_fence = by,
                    seq = self.state.next_seq
                );
                false
            }
        }
    }

    fn warn_of_spending(&mut self, ops: &[Op]) {
        let config = self.config.current();
        for op in ops {
            let Op::Budget(BudgetOp::Draw { customer, period, .. }) = op else { continue };
            let budget = config.manifest.customers.get(customer).and_then(|customer| customer.budget.as_ref());
            let Some(budget) = budget.filter(|budget| budget.period == *period) else { continue };
            if let Some(percent) = self.state.budgets.take_warning(customer, period, budget.cap) {
                metrics::counter!(
                    telemetry::BUDGET_WARNINGS,
                    "customer" => customer.to_string(),
                    "percent" => percent.to_string()
                )
                .increment(1);
                event!(Warn, "budget_warning", customer = customer, period = period, percent = percent);
            }
        }
    }

    /// Drops expired state and moves the snapshot on.
    async fn upkeep(&mut self) -> Option<End> {
        if self.last_expiry.elapsed() >= EXPIRY_INTERVAL {
            self.last_expiry = Instant::now();
            self.state.expire(self.clock.now());
        }
        if let Some(job) = self.snapshot.job.take_if(|job| job.is_finished()) {
            match job.await {
                Ok(Ok(JobResult::Sealed(key, bills))) => {
                    self.state.ledger.seal(&bills, self.clock.now());
                    self.state.segments.push(key.into());
                }
                Ok(Ok(JobResult::Snapshot { written: Written::Deposed, .. })) => return Some(End::Deposed),
                Ok(Ok(JobResult::Snapshot { written: Written::Behind(version), .. })) => {
                    self.snapshot.version = version;
                }
                Ok(Ok(JobResult::Snapshot { next, written: Written::Done(version) })) => {
                    self.snapshot.version = version;
                    self.snapshot.next = next;
                    self.snapshot.due = Instant::now() + SNAPSHOT_INTERVAL;
                }
                Ok(Err(err)) => self.snapshot_failed(&format!("{err:#}")),
                Err(err) => self.snapshot_failed(&err.to_string()),
            }
        }
        let now = Instant::now();
        if self.snapshot.job.is_some() || now < self.snapshot.not_before {
            return None;
        }
        let entries = self.state.next_seq.saturating_sub(self.snapshot.next);
        let grown = entries >= LEAST_ENTRIES && self.snapshot.log_size >= self.snapshot.size;
        if self.state.ledger.unsealed_len() >= SEAL_BILLS {
            self.seal();
        } else if grown || entries >= MOST_ENTRIES || (entries > 0 && now >= self.snapshot.due) {
            self.write_snapshot();
        }
        None
    }

    fn seal(&mut self) {
        let bills: Vec<Bill> = self.state.ledger.unsealed().take(SEAL_BILLS).cloned().collect();
        let (log, next) = (self.log.clone(), self.state.next_seq);
        self.snapshot.job = Some(tokio::spawn(async move {
            let key = snapshot::write_segment(&log, next, &bills).await?;
            Ok(JobResult::Sealed(key.into(), bills))
        }));
    }

    fn write_snapshot(&mut self) {
        let draft = Draft::new(&self.state, self.clock.now());
        self.snapshot.size = draft.len();
        self.snapshot.log_size = 0;
        let (log, next, version) = (self.log.clone(), self.state.next_seq, self.snapshot.version);
        self.snapshot.job = Some(tokio::spawn(async move {
            let written = draft.write(&log, version).await?;
            Ok(JobResult::Snapshot { next, written })
        }));
    }

    fn snapshot_failed(&mut self, error: &str) {
        self.snapshot.not_before = Instant::now() + SNAPSHOT_PAUSE;
        event!(Warn, "snapshot_failed", shard = self.log.shard, error = error);
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        if let Some(job) = &self.snapshot.job {
            job.abort();
        }
    }
}
