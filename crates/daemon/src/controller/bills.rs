//! Bills that this router holds until they are durable.

use eelgrasswell_core::{id::HostId, unit::Millis};
use eelgrasswell_proto::v1::BillRecord;

use super::shards::Shards;

/// Shared handle on the bills.
#[derive(Clone)]
pub struct Bills {
    _shards: Shards,
}

impl Bills {
    /// Starts without bills.
    pub fn open(shards: Shards) -> Self {
        Self { _shards: shards }
    }

    /// Starts sending bills to the shard owners, again and again until they are durable.
    pub fn spawn(&self) {}

    /// Takes in a bill of a request that ran at `agent`, from its answer or from a heartbeat.
    pub fn push(&self, _agent: &HostId, _bill: BillRecord) {}

    /// Request ids of `agent` whose bills have become durable since the last call.
    pub fn take_settled(&self, _agent: &HostId) -> Vec<String> {
        Vec::new()
    }

    /// Waits until all bills are durable, at most `limit`.
    pub async fn flush(&self, _limit: Millis) {}
}
