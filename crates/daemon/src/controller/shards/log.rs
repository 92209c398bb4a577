//! Writes and reads entries of a shard's log at the platform.

use std::time::Duration;

use bytes::Bytes;
use eelgrasswell_core::{
    id::{Fence, Incarnation, ShardId},
    lease::Lease,
    shard::LogEntry,
};
use eyre::{Result, WrapErr};
use tokio::time::sleep;

use super::keys;
use crate::{
    event,
    platform::{Platform, Put},
};

/// Time between attempts while the platform does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The log of a shard, as its holder writes it.
#[derive(Clone, Debug)]
pub struct ShardLog {
    /// The platform.
    pub platform: Platform,
    /// The shard.
    pub shard: ShardId,
    /// Fence of the holder.
    pub fence: Fence,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
}

/// Result of an attempt to write an entry.
#[derive(Debug)]
pub enum Append {
    /// The entry is durable.
    Durable,
    /// Another entry has this sequence number; none when it was deleted since.
    Taken(Option<LogEntry>),
}

impl ShardLog {
    /// Writes `entry` under `seq` and tries until the outcome is known, for as long as that takes.
    pub async fn append(&self, seq: u64, entry: &LogEntry) -> Append {
        let key = keys::log(self.shard, seq);
        let value = Bytes::from(serde_json::to_vec(entry).expect("a log entry serialises to JSON"));
        loop {
            let put = self.platform.put(&key, 0, value.clone()).await;
            match put {
                Ok(Put::Done(_)) => return Append::Durable,
                Ok(Put::Conflict) => {}
                Err(ref err) => {
                    event!(Warn, "log_write_unsettled", shard = self.shard, seq = seq, error = format!("{err:#}"));
                }
            }
            match self.read(seq).await {
                Ok(Some(found)) if found.fence == entry.fence && found.batch == entry.batch => return Append::Durable,
                Ok(Some(found)) => return Append::Taken(Some(found)),
                Ok(None) if matches!(put, Ok(Put::Conflict)) => return Append::Taken(None),
                Ok(None) => {}
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Reads the entry under `seq`; none when there is none.
    pub async fn read(&self, seq: u64) -> Result<Option<LogEntry>> {
        let key = keys::log(self.shard, seq);
        let Some(object) = self.platform.get(&key).await? else { return Ok(None) };
        serde_json::from_slice(&object.value).map(Some).wrap_err_with(|| format!("could not parse log entry {key}"))
    }

    /// Whether the lease names this holder; tries until the platform answers.
    pub async fn holds_lease(&self) -> bool {
        loop {
            match read_lease(&self.platform, self.shard).await {
                Ok(Some((_, lease))) => return lease.fence == self.fence && lease.incarnation == self.incarnation,
                Ok(None) => return false,
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }
}

/// Reads the lease of a shard with its version; none when it was never held.
pub async fn read_lease(platform: &Platform, shard: ShardId) -> Result<Option<(u64, Lease)>> {
    let key = keys::lease(shard);
    let Some(object) = platform.get(&key).await? else { return Ok(None) };
    let lease = serde_json::from_slice(&object.value).wrap_err_with(|| format!("could not parse lease {key}"))?;
    Ok(Some((object.version, lease)))
}
