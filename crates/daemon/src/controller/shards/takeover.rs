//! Takes a shard over: reads the snapshot and the log, then appends the takeover entry.

use std::time::Duration;

use eelgrasswell_core::{
    id::{HostId, ShardId},
    shard::{LogEntry, Op, ShardState},
};
use eyre::Result;
use futures::{StreamExt, TryStreamExt, stream};
use tokio::time::sleep;

use super::{
    log::{AppendOutcome, ShardLog},
    snapshot,
};
use crate::{clock::Clock, event};

/// Maximum number of concurrent reads of log entries.
const READ_AHEAD: usize = 8;
/// Delay before the state is read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Recovered state from which a new owner continues.
pub struct RecoveredShard {
    /// State after the takeover entry.
    pub state: ShardState,
    /// Version of the snapshot's index; 0 if there is no snapshot.
    pub snapshot_version: u64,
    /// Sequence number of the first log entry that the snapshot does not contain.
    pub snapshot_next: u64,
}

/// Takes the shard over for the holder of the lease. `None` if another router has taken it over, or if
/// the log is corrupt.
pub async fn run(log: &ShardLog, owner: &HostId, clock: Clock) -> Option<RecoveredShard> {
    let mut recovered = loop {
        match read_state(log, clock).await {
            Ok(recovered) => break recovered,
            Err(err) => {
                event!(Warn, "shard_read_failed", shard = log.shard, error = format!("{err:#}"));
                sleep(RETRY_DELAY).await;
            }
        }
    };
    // A later holder of the lease has written entries. An entry with this older fence after them would
    // make the log unreadable.
    if recovered.state.fence > log.fence {
        return None;
    }
    let takeover = Op::Takeover { owner: owner.clone(), incarnation: log.incarnation };
    let entry = LogEntry { fence: log.fence, batch: rand::random(), ops: vec![takeover] };
    loop {
        match log.append(recovered.state.next_seq, &entry).await {
            AppendOutcome::Durable => break,
            // The last write of a former owner took this sequence number after the log was read.
            AppendOutcome::Conflict(Some(existing)) if existing.fence <= log.fence => {
                if let Err(err) = recovered.state.replay(recovered.state.next_seq, &existing, clock.now()) {
                    log_corrupt_shard(log.shard, &err);
                    return None;
                }
            }
            AppendOutcome::Conflict(_) => return None,
        }
    }
    recovered.state.apply(&entry.ops[0], clock.now());
    recovered.state.advance(log.fence);
    // If entries were deleted after the log was read and before the takeover entry was written, this state
    // lacks changes of the log. Only a later holder of the lease can have deleted entries.
    log.holds_lease().await.then_some(recovered)
}

/// Reads the snapshot and replays the log entries after it.
async fn read_state(log: &ShardLog, clock: Clock) -> Result<RecoveredShard> {
    let (snapshot_version, mut state) = snapshot::read(&log.platform, log.shard, clock.now()).await?;
    let snapshot_next = state.next_seq;
    let entries = stream::iter(snapshot_next..).map(|seq| async move { Ok((seq, log.read(seq).await?)) });
    let mut entries = std::pin::pin!(entries.buffered(READ_AHEAD));
    while let Some((seq, Some(entry))) = TryStreamExt::try_next(&mut entries).await.map_err(|err: eyre::Report| err)? {
        state.replay(seq, &entry, clock.now())?;
    }
    Ok(RecoveredShard { state, snapshot_version, snapshot_next })
}

fn log_corrupt_shard(shard: ShardId, err: &dyn std::error::Error) {
    event!(Error, "shard_log_corrupt", shard = shard, error = err);
}
