//! Counters of the answers of versions in rollout, reported to the owner of the verdict.

use eelgrasswell_core::{
    id::{HostId, Incarnation, ModelName, VersionName},
    unit::Millis,
};
use eelgrasswell_proto::v1::{ReportReply, ReportRequest};

use super::shards::Shards;
use crate::config::ConfigHandle;

/// Shared handle on the evidence.
#[derive(Clone)]
pub struct Evidence {
    _config: ConfigHandle,
    _shards: Shards,
}

/// What came of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSample {
    /// Whether the backend server failed it.
    pub error: bool,
    /// Time to the first token, if there was one.
    pub first_token: Option<Millis>,
}

impl Evidence {
    /// Starts with counters of zero.
    pub fn open(_id: HostId, _incarnation: Incarnation, config: ConfigHandle, shards: Shards) -> Self {
        Self { _config: config, _shards: shards }
    }

    /// Starts reporting.
    pub fn spawn(&self) {}

    /// Counts an answer.
    pub fn record(&self, _model: &ModelName, _version: &VersionName, _sample: AnswerSample) {}

    /// Takes in another router's report; names the owner when this router does not own the shard.
    pub fn receive(&self, _report: &ReportRequest) -> ReportReply {
        ReportReply::default()
    }

    /// Counts a rating of an answer.
    pub fn record_rating(&self, _model: &ModelName, _version: &VersionName, _good: bool) {}
}
