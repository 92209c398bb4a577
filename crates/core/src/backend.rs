//! Backend servers with the properties that they announce.

use std::net::SocketAddr;

use crate::{
    hash::stable_hash,
    id::{BackendId, DomainId, ServiceName, VersionName},
    unit::Millis,
};

/// A backend server as last announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Id of the server.
    pub id: BackendId,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Failure domain that the server runs in.
    pub domain: DomainId,
    /// Version of the server's software.
    pub version: VersionName,
    /// Number of requests that the server works on at once.
    pub slots: u32,
    /// Whether the server accepts no new requests.
    pub draining: bool,
    /// Time from the announcement for which the server stays cold.
    pub cold_remaining: Millis,
    /// Unix time of the server's start, in milliseconds; distinguishes starts under the same id.
    pub started_at: u64,
}

/// One incarnation of a backend server: a hash of its id and the time of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerId(pub u64);

impl ServerId {
    /// The incarnation of the server `id` that started at `started_at`.
    pub fn of(id: &BackendId, started_at: u64) -> Self {
        Self(stable_hash(&[id.as_str(), &started_at.to_string()]))
    }
}

impl Backend {
    /// The incarnation of the server.
    pub fn server(&self) -> ServerId {
        ServerId::of(&self.id, self.started_at)
    }
}
