//! Anti-entropy between routers: configuration, shard owners and live routers.

use eelgrasswell_proto::v1::{ReportReply, ReportRequest, SyncReply, SyncRequest, peer_server::Peer};
use tonic::{Request, Response, Status};

use crate::router::Router;

/// Starts the periodic exchange with random peers.
pub fn spawn(_router: Router) {}

/// Serves `Peer.Sync`.
pub struct PeerService {
    router: Router,
}

impl PeerService {
    /// Serves from the state of `router`.
    pub fn new(router: Router) -> Self {
        Self { router }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn sync(&self, _req: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        Ok(Response::new(SyncReply::default()))
    }

    async fn report(&self, req: Request<ReportRequest>) -> Result<Response<ReportReply>, Status> {
        Ok(Response::new(self.router.evidence.receive(req.get_ref())))
    }
}
