//! Proof that an attempt of a request did not run.
//!
//! The pattern is a faulty server that writes an earlier refusal once more, or a refusal late, on a connection that is kept
//! open. Whoever takes it for the response to the request that waits there sends a request that is running to a second
//! server, or tells a caller to repeat it. `NotRun` is therefore made only from evidence: the request was never written to
//! a connection, or a refusal came that can't belong to another request. Any other refusal says nothing, so the request
//! may have run.
//!
//! Servers that never name the request in their refusals cost bookings, since only the first response on a connection can
//! be attributed then. `UnnamedRefusals` records them.

use crate::{
    backend::ServerId,
    hash::{HashMap, stable_hash},
    id::RequestId,
    unit::Millis,
};

/// Number of refusals after which a connection carries no further requests, which bounds its record.
const MAX_REFUSALS: usize = 32;
/// Time after its last refusal without a name for which a server is known not to name requests.
const UNNAMED_EXPIRY: Millis = Millis(600_000);
/// Maximum number of servers that are known not to name requests.
const MAX_UNNAMED: usize = 8_192;

/// Proof that one attempt of a request did not run and never will. It can't be copied.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun(Evidence);

/// What shows that an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The request was never written to a connection.
    Unsent,
    /// A refusal names the request, which was not refused on the connection before.
    Named,
    /// A refusal that names no request is the first response on its connection.
    FirstResponse,
}

impl NotRun {
    /// What the proof is based on.
    pub fn evidence(&self) -> Evidence {
        self.0
    }
}

/// An attempt whose request has not been written to a connection. It is made when the attempt begins and consumed when the
/// request is handed to a connection, so an attempt that still has it did not run.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Begins an attempt.
    pub fn begin() -> Self {
        Self(())
    }

    /// Ends the attempt without sending the request.
    pub fn give_up(self) -> NotRun {
        NotRun(Evidence::Unsent)
    }
}

/// The request that a response says it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    /// The request that waits for it.
    ThisRequest,
    /// Another one.
    OtherRequest,
    /// None.
    Nothing,
}

impl Named {
    /// What the id `named` in a response says about the request `id`.
    pub fn by_id(named: Option<&str>, id: &RequestId) -> Self {
        match named {
            Some(named) if named == id.as_str() => Self::ThisRequest,
            Some(_) => Self::OtherRequest,
            None => Self::Nothing,
        }
    }
}

/// Record of the responses that were received on one connection.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Whether a response or a refusal has been received.
    any: bool,
    /// Hashes of the ids of the requests that were refused.
    refused: Vec<u64>,
}

impl Received {
    /// Whether the connection may carry the request `id`. A request is not sent where it was refused before, since its
    /// next refusal there could be the earlier one.
    pub fn allow(&self, id: &RequestId) -> bool {
        !self.is_full() && !self.refused.contains(&hash(id))
    }

    /// Whether the connection may carry no further requests.
    pub fn is_full(&self) -> bool {
        self.refused.len() >= MAX_REFUSALS
    }

    /// What shows that a response which comes while the request `id` waits belongs to it; none if it may be an earlier one
    /// or one to another request.
    pub fn attribute(&self, id: &RequestId, named: Named) -> Option<Evidence> {
        match named {
            Named::ThisRequest => self.allow(id).then_some(Evidence::Named),
            Named::OtherRequest => None,
            Named::Nothing => (!self.any).then_some(Evidence::FirstResponse),
        }
    }

    /// Records a response that is no refusal.
    pub fn record_response(&mut self) {
        self.any = true;
    }

    /// Records a refusal that came while the request `id` waited. Returns the proof that the request did not run if the
    /// refusal belongs to it.
    pub fn record_refusal(&mut self, id: &RequestId, named: Named) -> Option<NotRun> {
        let evidence = self.attribute(id, named);
        self.any = true;
        self.refused.push(hash(id));
        evidence.map(NotRun)
    }
}

fn hash(id: &RequestId) -> u64 {
    stable_hash(&[id.as_str()])
}

/// Servers whose refusals do not name the requests that they belong to.
#[derive(Debug, Default)]
pub struct UnnamedRefusals {
    /// Times of the last such refusals.
    last: HashMap<ServerId, Millis>,
}

impl UnnamedRefusals {
    /// Records a refusal of `server` that names no request. Returns whether the server was not known for them.
    pub fn record(&mut self, now: Millis, server: ServerId) -> bool {
        let is_new = !self.contains(now, server);
        if self.last.len() >= MAX_UNNAMED && !self.last.contains_key(&server) {
            self.last.retain(|_, last| now.saturating_sub(*last) < UNNAMED_EXPIRY);
            if self.last.len() >= MAX_UNNAMED {
                return false;
            }
        }
        self.last.insert(server, now);
        is_new
    }

    /// Whether `server` is known not to name requests in refusals.
    pub fn contains(&self, now: Millis, server: ServerId) -> bool {
        self.last.get(&server).is_some_and(|last| now.saturating_sub(*last) < UNNAMED_EXPIRY)
    }

    /// Number of records, including those that have expired and were not removed yet.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }
}
