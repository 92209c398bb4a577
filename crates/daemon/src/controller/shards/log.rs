//! Writes and reads the entries of a shard's log on the platform.

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

/// Delay between attempts while the platform is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The log of a shard, as written by the holder of the lease.
#[derive(Clone, Debug)]
pub struct ShardLog {
    /// Client of the platform that stores the log.
    pub platform: Platform,
    /// The shard.
    pub shard: ShardId,
    /// Fence of the holder's lease.
    pub fence: Fence,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
}

/// Result of appending an entry.
#[derive(Debug)]
pub enum AppendOutcome {
    /// The entry is durable.
    Durable,
    /// Another entry was written under this sequence number; `None` if it has been deleted since.
    Conflict(Option<LogEntry>),
}

impl ShardLog {
    /// Writes `entry` under `seq`. Retries without a time limit until the outcome is known.
    pub async fn append(&self, seq: u64, entry: &LogEntry) -> AppendOutcome {
        let key = keys::log(self.shard, seq);
        let value = Bytes::from(serde_json::to_vec(entry).expect("a log entry serialises to JSON"));
        loop {
            let put = self.platform.put(&key, 0, value.clone()).await;
            match put {
                Ok(Put::Done(_)) => return AppendOutcome::Durable,
                Ok(Put::Conflict) => {}
                Err(ref err) => {
                    event!(Warn, "log_write_unsettled", shard = self.shard, seq = seq, error = format!("{err:#}"));
                }
            }
            match self.read(seq).await {
                Ok(Some(existing)) if existing.fence == entry.fence && existing.batch == entry.batch => {
                    return AppendOutcome::Durable;
                }
                Ok(Some(existing)) => return AppendOutcome::Conflict(Some(existing)),
                Ok(None) if matches!(put, Ok(Put::Conflict)) => return AppendOutcome::Conflict(None),
                Ok(None) => {}
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reads the entry under `seq`; `None` if it does not exist.
    pub async fn read(&self, seq: u64) -> Result<Option<LogEntry>> {
        let key = keys::log(self.shard, seq);
        let Some(object) = self.platform.get(&key).await? else { return Ok(None) };
        serde_json::from_slice(&object.value).map(Some).wrap_err_with(|| format!("could not parse log entry {key}"))
    }

    /// Whether the lease still belongs to this holder. Retries until the lease was read.
    pub async fn holds_lease(&self) -> bool {
        loop {
            match read_lease(&self.platform, self.shard).await {
                Ok(Some((_, lease))) => return lease.fence == self.fence && lease.incarnation == self.incarnation,
                Ok(None) => return false,
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }
}

/// Reads the lease of a shard with the version of its object; `None` if the lease was never held.
pub async fn read_lease(platform: &Platform, shard: ShardId) -> Result<Option<(u64, Lease)>> {
    let key = keys::lease(shard);
    let Some(object) = platform.get(&key).await? else { return Ok(None) };
    let lease = serde_json::from_slice(&object.value).wrap_err_with(|| format!("could not parse lease {key}"))?;
    Ok(Some((object.version, lease)))
}
