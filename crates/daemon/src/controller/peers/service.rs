//! The `Peer` service, which other routers call.

use eelgrasswell_core::{id::Revision, unit::Millis};
use eelgrasswell_proto::v1::{ReportReply, ReportRequest, SyncReply, SyncRequest, peer_server::Peer};
use tonic::{Request, Response, Status};

use super::exchange::{self, Incoming, MAX_TRANSIT, owners_digest};
use crate::{controller::membership::Gossip, router::Router};

/// Implementation of `Peer.Sync` and `Peer.Report`.
pub struct PeerService {
    router: Router,
}

impl PeerService {
    /// Creates a service that uses the state of `router`.
    pub fn new(router: Router) -> Self {
        Self { router }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn sync(&self, req: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        let router = &self.router;
        let req = req.into_inner();
        let peer_gossip = Gossip {
            routers_digest: req.routers_digest,
            heartbeat_ages: req.heard,
            routers: Vec::new(),
            hosts_digest: req.hosts_digest,
            hosts: req.hosts,
        };
        let message = Incoming {
            from: req.from.as_ref(),
            gossip: &peer_gossip,
            update: req.update.as_ref(),
            revision: Revision(req.revision),
            confirmed_ago: Millis(req.confirmed_ms_ago),
            owners: &req.owners,
            delay: MAX_TRANSIT,
        };
        exchange::apply_message(router, &message);
        let gossip = router.members.reply_to(&peer_gossip);
        let owners = router.shards.owners();
        let owners_digest = owners_digest(&owners);
        Ok(Response::new(SyncReply {
            from: Some(router.members.own_info()),
            revision: router.config.revision().0,
            confirmed_ms_ago: router.config.confirmation_age().0,
            update: router.config.update_since(Revision(req.revision)),
            owners: if owners_digest == req.owners_digest { Vec::new() } else { owners },
            routers_digest: gossip.routers_digest,
            heard: gossip.heartbeat_ages,
            routers: gossip.routers,
            hosts: gossip.hosts,
            hosts_digest: gossip.hosts_digest,
            owners_digest,
        }))
    }

    async fn report(&self, req: Request<ReportRequest>) -> Result<Response<ReportReply>, Status> {
        Ok(Response::new(self.router.answer_counters.receive(req.get_ref())))
    }
}
