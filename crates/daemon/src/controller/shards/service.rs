//! gRPC service `Shard`, for calls from other routers.

use std::sync::Arc;

use eelgrasswell_proto::v1::{self, shard_server::Shard};
use tonic::{Request, Response, Status};

use super::Inner;

/// Implementation of the gRPC service `Shard`.
pub struct ShardService {
    inner: Arc<Inner>,
}

impl ShardService {
    pub(super) fn new(inner: Arc<Inner>) -> Self {
        Self { inner }
    }
}

#[tonic::async_trait]
impl Shard for ShardService {
    async fn claim(&self, req: Request<v1::ClaimRequest>) -> Result<Response<v1::ClaimReply>, Status> {
        Ok(Response::new(self.inner.serve_claim(req.into_inner()).await))
    }

    async fn complete(&self, req: Request<v1::CompleteRequest>) -> Result<Response<v1::CompleteReply>, Status> {
        Ok(Response::new(self.inner.serve_complete(req.into_inner()).await))
    }

    async fn record_bills(
        &self,
        req: Request<v1::RecordBillsRequest>,
    ) -> Result<Response<v1::RecordBillsReply>, Status> {
        Ok(Response::new(self.inner.serve_record_bills(req.into_inner()).await))
    }

    async fn draw(&self, req: Request<v1::DrawRequest>) -> Result<Response<v1::DrawReply>, Status> {
        Ok(Response::new(self.inner.serve_draw(req.into_inner()).await))
    }

    async fn read_bills(&self, req: Request<v1::ReadBillsRequest>) -> Result<Response<v1::ReadBillsReply>, Status> {
        let reply = self.inner.serve_read_bills(req.into_inner()).await;
        reply.map(Response::new).ok_or_else(|| Status::unavailable("could not read the bills of the shard"))
    }
}
