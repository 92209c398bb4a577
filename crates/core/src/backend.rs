//! Backend servers as they announce themselves.

use std::net::SocketAddr;

use crate::{
    id::{BackendId, DomainId, ServiceName, VersionName},
    unit::Millis,
};

/// One backend server, as last announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The start of the server.
    pub id: BackendId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Version of its software.
    pub version: VersionName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Time for which it stays cold, from the announcement on.
    pub cold_remaining: Millis,
    /// Unix time of its start in milliseconds; tells two starts under one id apart.
    pub started_at: u64,
}
