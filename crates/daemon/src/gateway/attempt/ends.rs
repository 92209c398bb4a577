//! Ends of answers, and what becomes of their connections.

use std::{sync::Arc, time::Duration};

use eelgrasswell_core::{
    not_run::{Evidence, Named, NotRun},
    unit::Millis,
};
use eelgrasswell_platform::response::ResponseMeta;
use tokio::time::timeout;

use super::{Answer, AnswerBody, SendGuard};
use crate::{event, sync::lock};

/// Timeout for reading the rest of an unwanted answer, which is done to reuse its connection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Answer {
    /// Ends the answer after its last byte has been read and makes its connection available to other requests.
    pub fn finish(self) {
        if self.status.is_success() {
            self.guard.gateway.record_completion(&self.guard.shared_parts);
        }
        self.guard.return_connection(&self.meta);
    }

    /// Reads the rest of an unwanted answer, for at most `DRAIN_TIMEOUT`, so that its connection can be reused.
    pub async fn drain(self) {
        let Self { status, meta, body, guard, .. } = self;
        let (gateway, shared_parts) = (guard.gateway.clone(), Arc::clone(&guard.shared_parts));
        if drain(body, guard, meta).await && status.is_success() {
            gateway.record_completion(&shared_parts);
        }
    }
}

/// Reads the rest of a response, for at most `DRAIN_TIMEOUT`, so that its connection can be reused. Returns whether it was
/// complete.
pub(super) async fn drain(mut body: AnswerBody, guard: SendGuard, meta: ResponseMeta) -> bool {
    let read_rest = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                guard.record_crash();
                return false;
            }
        }
        true
    };
    let is_complete = timeout(DRAIN_TIMEOUT, read_rest).await.unwrap_or(false);
    if is_complete {
        guard.return_connection(&meta);
    } else {
        event!(Debug, "answer_dropped", request = guard.id);
    }
    is_complete
}

impl SendGuard {
    /// Records that the answer broke off.
    pub fn record_crash(&self) {
        let answering = self.answered_at.map_or(Millis::ZERO, |at| at.elapsed().into());
        self.gateway.record_crash(&self.backend, &self.id, &self.shared_parts, answering);
    }

    /// What shows that a response on the connection belongs to the request.
    pub(super) fn attribute(&self, named: Named) -> Option<Evidence> {
        self.conn.as_ref()?.received.attribute(&self.id, named)
    }

    /// Records a response on the connection that is no refusal.
    pub(super) fn record_response(&mut self) {
        if let Some(conn) = &mut self.conn {
            conn.received.record_response();
        }
    }

    /// Records a refusal on the connection. Returns the proof that the request did not run; if there is none, the connection
    /// is closed.
    pub(super) fn record_refusal(&mut self, named: Named) -> Option<NotRun> {
        let proof = self.conn.as_mut()?.received.record_refusal(&self.id, named);
        if proof.is_none() {
            self.conn = None;
        }
        proof
    }

    fn return_connection(mut self, meta: &ResponseMeta) {
        if let Some(conn) = self.conn.take().filter(|_| !meta.closes_connection) {
            self.gateway.connections.release(&self.backend, &self.id, conn, meta.idle_timeout);
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        lock(&self.gateway.pool).release(&self.backend, self.send, self.cost);
    }
}
