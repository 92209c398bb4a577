//! Writer of an owned shard: executes commands one after another on the state in memory and appends the
//! changes to the log in batches.

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
    log::{AppendOutcome, ShardLog},
    snapshot::{self, PreparedSnapshot, WriteOutcome},
    takeover::RecoveredShard,
};
use crate::{clock::Clock, config::ConfigHandle, event, telemetry};

/// Minimum interval between the starts of two batch writes: at most ten per second and shard.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which commands that are not urgent, such as bills, wait for others to share their batch.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(300);
/// Size from which a batch accepts no further command, in bytes. The last command may exceed it; the
/// platform's limit is 1 MB.
const MAX_BATCH_BYTES: usize = 400_000;
/// Maximum number of commands that wait for a batch. Further commands are rejected.
const COMMAND_QUEUE_CAPACITY: usize = 4_096;
/// Age of a write with unknown outcome from which waiting commands are rejected.
const STALLED_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum number of log entries since the last snapshot for a snapshot that is due by size: when the
/// log has grown by at least the size of the last snapshot. This avoids frequent writes of a large state.
const MIN_ENTRIES_SINCE_SNAPSHOT: u64 = 128;
/// Number of log entries since the last snapshot after which a snapshot is due regardless of size. A
/// successor reads at most about this number of entries.
const MAX_ENTRIES_SINCE_SNAPSHOT: u64 = 1_024;
/// Time after which a snapshot is due if there is any new log entry.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(600);
/// Delay before a snapshot or segment is written again after a failure.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Number of bills in memory from which they are sealed, and maximum number of bills in one segment.
const BILLS_PER_SEGMENT: usize = 2_000;
/// Interval between checks for due snapshots and segments.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which expired state is dropped. Each run iterates over all claims.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// Why this router stopped serving a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The writer was told to stop; all accepted changes are durable.
    Released,
    /// Another router owns the shard.
    Deposed,
}

/// Event for which the writer waits between batches.
enum WriterEvent {
    Command(Option<Command>),
    Stop,
    Maintenance,
}

/// Handle that submits commands to the writer of an owned shard.
#[derive(Clone)]
pub struct WriterHandle {
    /// Fence of the lease under which the shard is owned.
    pub fence: Fence,
    tx: mpsc::Sender<Command>,
}

struct Command {
    /// Whether the command must not wait for others to share its batch.
    urgent: bool,
    /// Computes the changes and the result from the state.
    decide: Box<dyn FnOnce(&ShardState) -> Decision + Send>,
}

/// Result of executing a command.
struct Decision {
    ops: Vec<Op>,
    /// Sends the result to the submitter once the changes are durable.
    reply: Box<dyn FnOnce() + Send>,
}

impl WriterHandle {
    /// Calls `decide` with the current state; it returns the changes to make and a result. Returns the
    /// result once the changes are durable, or `None` if they are not durable or if that is unknown. An
    /// urgent command does not wait for others to share its batch.
    pub async fn submit<T: Send + 'static>(
        &self,
        urgent: bool,
        decide: impl FnOnce(&ShardState) -> (Vec<Op>, T) + Send + 'static,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        let decide = Box::new(move |state: &ShardState| {
            let (ops, result) = decide(state);
            Decision { ops, reply: Box::new(move || drop(tx.send(result))) }
        });
        self.tx.try_send(Command { urgent, decide }).ok()?;
        rx.await.ok()
    }
}

/// Writer of an owned shard.
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

/// State of the snapshots and segments that this writer writes.
struct SnapshotState {
    /// Version of the snapshot's index.
    version: u64,
    /// Sequence number of the first log entry that the last snapshot does not contain.
    next: u64,
    /// Earliest time of the next snapshot or segment, after a failure.
    not_before: Instant,
    /// Size of the last snapshot that this writer serialised, in bytes.
    snapshot_bytes: usize,
    /// Size of the log entries since then, in bytes.
    log_bytes: usize,
    /// Time at which a snapshot is due if there is any new log entry.
    due_at: Instant,
    /// Task that writes a snapshot or a segment, if one is running.
    job: Option<JoinHandle<Result<JobResult>>>,
}

/// Result of a task that writes a snapshot or a segment.
enum JobResult {
    /// Key of the segment, and the bills in it.
    Sealed(String, Vec<Bill>),
    Snapshot {
        next: u64,
        written: WriteOutcome,
    },
}

#[derive(Default)]
struct Batch {
    ops: Vec<Op>,
    bytes: usize,
    urgent: bool,
    replies: Vec<Box<dyn FnOnce() + Send>>,
}

impl Writer {
    /// Creates a writer that continues from the recovered state. It stops once `stop` is true.
    pub fn new(
        log: ShardLog,
        clock: Clock,
        config: ConfigHandle,
        recovered: RecoveredShard,
        stop: watch::Receiver<bool>,
    ) -> (Self, WriterHandle) {
        let RecoveredShard { state, snapshot_version, snapshot_next } = recovered;
        let (tx, rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let handle = WriterHandle { fence: log.fence, tx };
        let now = Instant::now();
        let snapshot = SnapshotState {
            version: snapshot_version,
            next: snapshot_next,
            not_before: now,
            snapshot_bytes: 0,
            log_bytes: 0,
            due_at: now + SNAPSHOT_INTERVAL,
            job: None,
        };
        (
            Self { log, clock, config, state, rx, stop, last_write: now - BATCH_INTERVAL, last_expiry: now, snapshot },
            handle,
        )
    }

    /// Serves commands until the shard is released or another router owns it.
    pub async fn run(mut self) -> StopReason {
        let mut maintenance = interval(MAINTENANCE_INTERVAL);
        loop {
            let event = tokio::select! {
                command = self.rx.recv() => WriterEvent::Command(command),
                _ = self.stop.wait_for(|stop| *stop), if !self.rx.is_closed() => WriterEvent::Stop,
                _ = maintenance.tick() => WriterEvent::Maintenance,
            };
            let command = match event {
                WriterEvent::Command(Some(command)) => command,
                WriterEvent::Command(None) => return StopReason::Released,
                WriterEvent::Stop => {
                    self.rx.close();
                    continue;
                }
                WriterEvent::Maintenance => match self.maintain().await {
                    Some(end) => return end,
                    None => continue,
                },
            };
            let batch = self.collect_batch(command).await;
            if !batch.ops.is_empty() && !self.write(&batch.ops).await {
                return StopReason::Deposed;
            }
            self.snapshot.log_bytes += batch.bytes;
            for reply in batch.replies {
                reply();
            }
        }
    }

    /// Executes commands until the batch is due or full.
    async fn collect_batch(&mut self, first: Command) -> Batch {
        let batch_due = Instant::now() + MAX_BATCH_DELAY;
        let mut batch = Batch::default();
        self.execute(first, &mut batch);
        while batch.bytes < MAX_BATCH_BYTES {
            let earliest = self.last_write + BATCH_INTERVAL;
            let due = match () {
                () if batch.ops.is_empty() => Instant::now(),
                () if batch.urgent => earliest,
                () => earliest.max(batch_due),
            };
            tokio::select! {
                biased;
                command = self.rx.recv() => match command {
                    Some(command) => self.execute(command, &mut batch),
                    None => break,
                },
                () = sleep_until(due) => break,
            }
        }
        batch
    }

    /// Executes a command, applies its changes to the state and adds them to `batch`.
    fn execute(&mut self, command: Command, batch: &mut Batch) {
        let Decision { ops, reply } = (command.decide)(&self.state);
        let now = self.clock.now();
        for op in &ops {
            batch.bytes += serde_json::to_vec(op).map_or(0, |json| json.len());
            self.state.apply(op, now);
        }
        batch.urgent |= command.urgent;
        batch.ops.extend(ops);
        batch.replies.push(reply);
    }

    /// Appends the changes as one log entry. Returns false if another router owns the shard. If the
    /// outcome of the write stays unknown for [`STALLED_WRITE_TIMEOUT`], new commands are rejected, so that
    /// their callers need not wait.
    async fn write(&mut self, ops: &[Op]) -> bool {
        self.last_write = Instant::now();
        let entry = LogEntry { fence: self.log.fence, batch: rand::random(), ops: ops.to_vec() };
        let outcome = {
            let append = self.log.append(self.state.next_seq, &entry);
            tokio::pin!(append);
            let mut stalled = false;
            loop {
                tokio::select! {
                    outcome = &mut append => break outcome,
                    () = sleep_until(self.last_write + STALLED_WRITE_TIMEOUT), if !stalled => stalled = true,
                    Some(rejected) = self.rx.recv(), if stalled => drop(rejected),
                }
            }
        };
        match outcome {
            AppendOutcome::Durable => {
                self.state.advance(self.log.fence);
                self.emit_budget_warnings(ops);
                true
            }
            AppendOutcome::Conflict(existing) => {
                let other_fence = existing.map_or(Fence(0), |entry| entry.fence);
                event!(
                    Warn,
                    "shard_deposed",
                    shard = self.log.shard,
                    fence = self.log.fence,
                    by_fence = other_fence,
                    seq = self.state.next_seq
                );
                false
            }
        }
    }

    /// Reports the warning levels that the budgets have newly reached by the draws in `ops`.
    fn emit_budget_warnings(&mut self, ops: &[Op]) {
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

    /// Drops expired state, handles the result of a finished snapshot or segment task, and starts the next
    /// one if it is due. Returns the reason to stop if another router owns the shard.
    async fn maintain(&mut self) -> Option<StopReason> {
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
                Ok(Ok(JobResult::Snapshot { written: WriteOutcome::Deposed, .. })) => return Some(StopReason::Deposed),
                Ok(Ok(JobResult::Snapshot { written: WriteOutcome::Outdated(version), .. })) => {
                    self.snapshot.version = version;
                }
                Ok(Ok(JobResult::Snapshot { next, written: WriteOutcome::Done(version) })) => {
                    self.snapshot.version = version;
                    self.snapshot.next = next;
                    self.snapshot.due_at = Instant::now() + SNAPSHOT_INTERVAL;
                }
                Ok(Err(err)) => self.record_snapshot_failure(&format!("{err:#}")),
                Err(err) => self.record_snapshot_failure(&err.to_string()),
            }
        }
        let now = Instant::now();
        if self.snapshot.job.is_some() || now < self.snapshot.not_before {
            return None;
        }
        let entries = self.state.next_seq.saturating_sub(self.snapshot.next);
        let has_grown =
            entries >= MIN_ENTRIES_SINCE_SNAPSHOT && self.snapshot.log_bytes >= self.snapshot.snapshot_bytes;
        if self.state.ledger.unsealed_len() >= BILLS_PER_SEGMENT {
            self.start_sealing();
        } else if has_grown || entries >= MAX_ENTRIES_SINCE_SNAPSHOT || (entries > 0 && now >= self.snapshot.due_at) {
            self.start_snapshot();
        }
        None
    }

    /// Starts to write bills to a segment.
    fn start_sealing(&mut self) {
        let bills: Vec<Bill> = self.state.ledger.unsealed().take(BILLS_PER_SEGMENT).cloned().collect();
        let (log, next) = (self.log.clone(), self.state.next_seq);
        self.snapshot.job = Some(tokio::spawn(async move {
            let key = snapshot::write_segment(&log, next, &bills).await?;
            Ok(JobResult::Sealed(key.into(), bills))
        }));
    }

    /// Starts to write a snapshot of the current state.
    fn start_snapshot(&mut self) {
        let snapshot = PreparedSnapshot::new(&self.state, self.clock.now());
        self.snapshot.snapshot_bytes = snapshot.len();
        self.snapshot.log_bytes = 0;
        let (log, next, version) = (self.log.clone(), self.state.next_seq, self.snapshot.version);
        self.snapshot.job = Some(tokio::spawn(async move {
            let written = snapshot.write(&log, version).await?;
            Ok(JobResult::Snapshot { next, written })
        }));
    }

    /// Logs the failure of a snapshot or segment and delays the next one.
    fn record_snapshot_failure(&mut self, error: &str) {
        self.snapshot.not_before = Instant::now() + SNAPSHOT_RETRY_DELAY;
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
