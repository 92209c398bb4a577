//! Snapshots of a shard's state, split into objects of less than one megabyte, and the segments
//! of sealed bills.

use bytes::Bytes;
use compact_str::CompactString;
use eelgrasswell_core::{
    id::{Fence, ShardId},
    ledger::Bill,
    shard::{ShardState, StateRecord},
    unit::Millis,
};
use eyre::{Result, WrapErr, bail, ensure, eyre};
use futures::{StreamExt, TryStreamExt, stream};
use serde::{Deserialize, Serialize};

use super::{keys, log::ShardLog};
use crate::platform::{Platform, Put};

/// Bytes of one part; the platform refuses values above 1 MB.
const PART_BYTES: usize = 900_000;
/// Objects read or deleted at the same time.
const PARALLEL: usize = 8;

/// Value of the object `shard/<n>/snapshot`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Index {
    /// Fence of the owner that wrote it.
    fence: Fence,
    /// Sequence number of the first log entry that the snapshot does not contain.
    next: u64,
    /// Keys of the parts; joined, they are the JSON of a [`StateRecord`].
    parts: Vec<CompactString>,
}

/// A snapshot that is ready to be written.
pub struct Draft {
    next: u64,
    /// Sequence numbers below `next` that stay in the log.
    keep: Vec<u64>,
    json: Vec<u8>,
}

/// Result of writing a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The index has this version, and the log is compacted.
    Done(u64),
    /// A former owner wrote the index last, as this version; try again over it.
    Behind(u64),
    /// Another router owns the shard.
    Deposed,
}

/// Reads the last snapshot with the version of its index; an empty state when there is none.
pub async fn read(platform: &Platform, shard: ShardId, now: Millis) -> Result<(u64, ShardState)> {
    let Some((version, index)) = read_index(platform, shard).await? else { return Ok((0, ShardState::default())) };
    let parts = stream::iter(index.parts).map(|key| async move { read_object(platform, &key).await });
    let json: Vec<Bytes> = parts.buffered(PARALLEL).try_collect().await?;
    let record: StateRecord = serde_json::from_slice(&json.concat())
        .wrap_err_with(|| format!("could not parse the snapshot of shard {shard}"))?;
    let state = ShardState::from_record(record, now)
        .ok_or_else(|| eyre!("could not restore the snapshot of shard {shard}: it is malformed"))?;
    ensure!(
        state.next_seq == index.next,
        "could not restore the snapshot of shard {shard}: it is not that of its index"
    );
    Ok((version, state))
}

impl Draft {
    /// Captures the durable state.
    pub fn new(state: &ShardState, now: Millis) -> Self {
        let json = serde_json::to_vec(&state.to_record(now)).expect("a state serialises to JSON");
        Self { next: state.next_seq, keep: state.takeovers.iter().copied().collect(), json }
    }

    /// Size in bytes.
    pub fn len(&self) -> usize {
        self.json.len()
    }

    /// Writes the snapshot over version `version` of the index, then deletes what it replaces.
    pub async fn write(self, log: &ShardLog, version: u64) -> Result<Written> {
        let ShardLog { platform, shard, fence, .. } = log;
        let nonce = rand::random();
        let mut parts = Vec::new();
        for (index, part) in self.json.chunks(PART_BYTES).enumerate() {
            let key = keys::part(*shard, self.next, *fence, nonce, index);
            put_new(platform, &key, Bytes::copy_from_slice(part)).await?;
            parts.push(CompactString::from(key));
        }
        let index = Index { fence: *fence, next: self.next, parts };
        let value = serde_json::to_vec(&index).expect("an index serialises to JSON");
        let put = platform.put(&keys::snapshot(*shard), version, value.into()).await;
        let version = match put {
            Ok(Put::Done(version)) => version,
            Ok(Put::Conflict) | Err(_) => match read_index(platform, *shard).await? {
                Some((version, found)) if found == index => version,
                Some((_, found)) if found.fence > *fence => return Ok(Written::Deposed),
                Some((version, _)) => return Ok(Written::Behind(version)),
                None => return Ok(Written::Behind(0)),
            },
        };
        // Only a router that reads this snapshot may miss the deleted entries. A router that raised
        // the fence earlier may have read the snapshot before, so its lease forbids the deletion.
        if !log.holds_lease().await {
            return Ok(Written::Deposed);
        }
        self.compact(log).await?;
        Ok(Written::Done(version))
    }

    /// Deletes log entries and snapshot parts that this snapshot replaces. What a successor writes
    /// has higher numbers and is left alone.
    async fn compact(&self, log: &ShardLog) -> Result<()> {
        let old = |key: &CompactString| keys::sequence(key).filter(|seq| *seq < self.next);
        let entries = log.platform.list(&keys::log_prefix(log.shard)).await?;
        let entries = entries.into_iter().filter(|key| old(key).is_some_and(|seq| !self.keep.contains(&seq)));
        let parts = log.platform.list(&keys::part_prefix(log.shard)).await?;
        let parts = parts.into_iter().filter(|key| old(key).is_some());
        let deletions = stream::iter(entries.chain(parts)).map(|key| async move {
            // Entries and parts are written once, so their version is 1.
            log.platform.delete(&key, 1).await
        });
        deletions.buffer_unordered(PARALLEL).try_collect().await
    }
}

/// Writes a segment of sealed bills and returns its key.
pub async fn write_segment(log: &ShardLog, next: u64, bills: &[Bill]) -> Result<CompactString> {
    let key = keys::segment(log.shard, next, log.fence, rand::random());
    let json = serde_json::to_vec(bills).expect("bills serialise to JSON");
    put_new(&log.platform, &key, json.into()).await?;
    Ok(key.into())
}

/// Reads a segment of sealed bills.
pub async fn read_segment(platform: &Platform, key: &str) -> Result<Vec<Bill>> {
    let json = read_object(platform, key).await?;
    serde_json::from_slice(&json).wrap_err_with(|| format!("could not parse bills {key}"))
}

async fn read_index(platform: &Platform, shard: ShardId) -> Result<Option<(u64, Index)>> {
    let key = keys::snapshot(shard);
    let Some(object) = platform.get(&key).await? else { return Ok(None) };
    let index = serde_json::from_slice(&object.value).wrap_err_with(|| format!("could not parse snapshot {key}"))?;
    Ok(Some((object.version, index)))
}

async fn read_object(platform: &Platform, key: &str) -> Result<Bytes> {
    let object = platform.get(key).await?;
    Ok(object.ok_or_else(|| eyre!("could not find object {key}"))?.value)
}

/// Writes an object under a key that no one else uses. An error leaves it unknown whether it exists.
async fn put_new(platform: &Platform, key: &str, value: Bytes) -> Result<()> {
    match platform.put(key, 0, value).await? {
        Put::Done(_) => Ok(()),
        Put::Conflict => bail!("could not write object {key}: it exists"),
    }
}
