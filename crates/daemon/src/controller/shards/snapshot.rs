//! Snapshots of a shard's state, split into objects of less than one megabyte, and segments of sealed
//! bills.

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

/// Maximum size of one part of a snapshot, in bytes. The platform rejects values above 1 MB.
const MAX_PART_BYTES: usize = 900_000;
/// Maximum number of objects that are read or deleted concurrently.
const MAX_CONCURRENT_OBJECTS: usize = 8;

/// Index of a snapshot: the value of the object `shard/<n>/snapshot`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Index {
    /// Fence of the owner that wrote the snapshot.
    fence: Fence,
    /// Sequence number of the first log entry that the snapshot does not contain.
    next: u64,
    /// Keys of the parts. The concatenated parts are the JSON of a [`StateRecord`].
    parts: Vec<CompactString>,
}

/// A serialised snapshot that has not been written yet.
pub struct PreparedSnapshot {
    /// Sequence number of the first log entry that the snapshot does not contain.
    next: u64,
    /// Sequence numbers below `next` whose entries compaction keeps in the log.
    retained: Vec<u64>,
    json: Vec<u8>,
}

/// Result of writing a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The snapshot is written and the log is compacted. The index has this version.
    Done(u64),
    /// The index was not written, because it has this version instead of the expected one. It was written
    /// by a former owner, or does not exist if the version is 0. Retry with this version.
    Outdated(u64),
    /// Another router owns the shard.
    Deposed,
}

/// Reads the last snapshot. Returns the version of its index and the state; 0 and an empty state if there
/// is no snapshot.
pub async fn read(platform: &Platform, shard: ShardId, now: Millis) -> Result<(u64, ShardState)> {
    let Some((version, index)) = read_index(platform, shard).await? else { return Ok((0, ShardState::default())) };
    let parts = stream::iter(index.parts).map(|key| async move { read_object(platform, &key).await });
    let json: Vec<Bytes> = parts.buffered(MAX_CONCURRENT_OBJECTS).try_collect().await?;
    let record: StateRecord = serde_json::from_slice(&json.concat())
        .wrap_err_with(|| format!("could not parse the snapshot of shard {shard}"))?;
    let state = ShardState::from_record(record, now)
        .ok_or_else(|| eyre!("could not restore the snapshot of shard {shard}: it is malformed"))?;
    ensure!(
        state.next_seq == index.next,
        "could not restore the snapshot of shard {shard}: its sequence number differs from that in its index"
    );
    Ok((version, state))
}

impl PreparedSnapshot {
    /// Serialises the durable state.
    pub fn new(state: &ShardState, now: Millis) -> Self {
        let json = serde_json::to_vec(&state.to_record(now)).expect("a state serialises to JSON");
        Self { next: state.next_seq, retained: state.takeovers.iter().copied().collect(), json }
    }

    /// Size of the serialised state, in bytes.
    pub fn len(&self) -> usize {
        self.json.len()
    }

    /// Writes the snapshot if the index still has `version`, then deletes the log entries and parts that
    /// it replaces. After an error, the snapshot may have been written.
    pub async fn write(self, log: &ShardLog, version: u64) -> Result<WriteOutcome> {
        let ShardLog { platform, shard, fence, .. } = log;
        let nonce = rand::random();
        let mut parts = Vec::new();
        for (index, part) in self.json.chunks(MAX_PART_BYTES).enumerate() {
            let key = keys::part(*shard, self.next, *fence, nonce, index);
            create_object(platform, &key, Bytes::copy_from_slice(part)).await?;
            parts.push(CompactString::from(key));
        }
        let index = Index { fence: *fence, next: self.next, parts };
        let value = serde_json::to_vec(&index).expect("an index serialises to JSON");
        let put = platform.put(&keys::snapshot(*shard), version, value.into()).await;
        let version = match put {
            Ok(Put::Done(version)) => version,
            Ok(Put::Conflict) | Err(_) => match read_index(platform, *shard).await? {
                Some((version, stored)) if stored == index => version,
                Some((_, stored)) if stored.fence > *fence => return Ok(WriteOutcome::Deposed),
                Some((version, _)) => return Ok(WriteOutcome::Outdated(version)),
                None => return Ok(WriteOutcome::Outdated(0)),
            },
        };
        // The entries may be deleted only if each new owner reads this snapshot. A router that has acquired
        // the lease since may have read the previous snapshot, so it still needs the entries.
        if !log.holds_lease().await {
            return Ok(WriteOutcome::Deposed);
        }
        self.compact(log).await?;
        Ok(WriteOutcome::Done(version))
    }

    /// Deletes the log entries and snapshot parts that this snapshot replaces. Objects written by a
    /// successor have higher numbers and are not deleted.
    async fn compact(&self, log: &ShardLog) -> Result<()> {
        let replaced_seq = |key: &CompactString| keys::sequence(key).filter(|seq| *seq < self.next);
        let entries = log.platform.list(&keys::log_prefix(log.shard)).await?;
        let entries =
            entries.into_iter().filter(|key| replaced_seq(key).is_some_and(|seq| !self.retained.contains(&seq)));
        let parts = log.platform.list(&keys::part_prefix(log.shard)).await?;
        let parts = parts.into_iter().filter(|key| replaced_seq(key).is_some());
        let deletions = stream::iter(entries.chain(parts)).map(|key| async move {
            // Entries and parts are written only once, so their version is 1.
            log.platform.delete(&key, 1).await
        });
        deletions.buffer_unordered(MAX_CONCURRENT_OBJECTS).try_collect().await
    }
}

/// Writes a segment of sealed bills and returns its key. `next` is the sequence number of the next log
/// entry.
pub async fn write_segment(log: &ShardLog, next: u64, bills: &[Bill]) -> Result<CompactString> {
    let key = keys::segment(log.shard, next, log.fence, rand::random());
    let json = serde_json::to_vec(bills).expect("bills serialise to JSON");
    create_object(&log.platform, &key, json.into()).await?;
    Ok(key.into())
}

/// Reads a segment of sealed bills.
pub async fn read_segment(platform: &Platform, key: &str) -> Result<Vec<Bill>> {
    let json = read_object(platform, key).await?;
    serde_json::from_slice(&json).wrap_err_with(|| format!("could not parse bills {key}"))
}

/// Reads the index of the snapshot with the version of its object; `None` if there is no snapshot.
async fn read_index(platform: &Platform, shard: ShardId) -> Result<Option<(u64, Index)>> {
    let key = keys::snapshot(shard);
    let Some(object) = platform.get(&key).await? else { return Ok(None) };
    let index = serde_json::from_slice(&object.value).wrap_err_with(|| format!("could not parse snapshot {key}"))?;
    Ok(Some((object.version, index)))
}

async fn read_object(platform: &Platform, key: &str) -> Result<Bytes> {
    let object = platform.get(key).await?;
    Ok(object.ok_or_else(|| eyre!("could not read object {key}: it does not exist"))?.value)
}

/// Creates an object under a unique key. After an error, the object may exist nonetheless.
async fn create_object(platform: &Platform, key: &str, value: Bytes) -> Result<()> {
    match platform.put(key, 0, value).await? {
        Put::Done(_) => Ok(()),
        Put::Conflict => bail!("could not create object {key}: it already exists"),
    }
}
