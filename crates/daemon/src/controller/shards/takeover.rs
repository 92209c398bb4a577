//! Takes a shard over: reads snapshot and log, then writes the takeover entry.

use std::time::Duration;

use eelgrasswell_core::{
    id::{HostId, ShardId},
    shard::{LogEntry, Op, ShardState},
};
use eyre::Result;
use futures::{StreamExt, TryStreamExt, stream};
use tokio::time::sleep;

use super::{
    log::{Append, ShardLog},
    snapshot,
};
use crate::{clock::Clock, event};

/// Log entries read at the same time.
const READ_AHEAD: usize = 8;
/// Time between attempts while the platform does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// State that a new owner continues from.
pub struct TakenOver {
    /// State after the takeover entry.
    pub state: ShardState,
    /// Version of the snapshot's index; 0 when there is none.
    pub snapshot_version: u64,
    /// Sequence number of the first entry that is not in the snapshot.
    pub snapshot_next: u64,
}

/// Takes the shard over for the holder of the lease; none when another router was faster.
pub async fn run(log: &ShardLog, owner: &HostId, clock: Clock) -> Option<TakenOver> {
    let mut taken = loop {
        match read(log, clock).await {
            Ok(taken) => break taken,
            Err(err) => {
                event!(Warn, "shard_read_failed", shard = log.shard, error = format!("{err:#}"));
                sleep(RETRY_PAUSE).await;
            }
        }
    };
    // A later holder of the lease has begun. An entry after its entries would make the log unreadable.
    if taken.state.fence > log.fence {
        return None;
    }
    let takeover = Op::Takeover { owner: owner.clone(), incarnation: log.incarnation };
    let entry = LogEntry { fence: log.fence, batch: rand::random(), ops: vec![takeover] };
    loop {
        match log.append(taken.state.next_seq, &entry).await {
            Append::Durable => break,
            // The last write of a former owner came first.
            Append::Taken(Some(found)) if found.fence <= log.fence => {
                if let Err(err) = taken.state.replay(taken.state.next_seq, &found, clock.now()) {
                    report_corrupt(log.shard, &err);
                    return None;
                }
            }
            Append::Taken(_) => return None,
        }
    }
    taken.state.apply(&entry.ops[0], clock.now());
    taken.state.advance(log.fence);
    // Entries that were deleted between the reading and the takeover entry would leave this state
    // behind that of the log. Only a later holder of the lease can have deleted any.
    log.holds_lease().await.then_some(taken)
}

async fn read(log: &ShardLog, clock: Clock) -> Result<TakenOver> {
    let (snapshot_version, mut state) = snapshot::read(&log.platform, log.shard, clock.now()).await?;
    let snapshot_next = state.next_seq;
    let entries = stream::iter(snapshot_next..).map(|seq| async move { Ok((seq, log.read(seq).await?)) });
    let mut entries = std::pin::pin!(entries.buffered(READ_AHEAD));
    while let Some((seq, Some(entry))) = TryStreamExt::try_next(&mut entries).await.map_err(|err: eyre::Report| err)? {
        state.replay(seq, &entry, clock.now())?;
    }
    Ok(TakenOver { state, snapshot_version, snapshot_next })
}

fn report_corrupt(shard: ShardId, err: &dyn std::error::Error) {
    event!(Error, "shard_log_corrupt", shard = shard, error = err);
}
