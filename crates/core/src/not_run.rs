//! Decides whether a response that says that a request was not run can be believed.
//!
//! The pattern is a faulty server that writes an earlier refusal once more on a connection that is kept open. Whoever
//! takes it for the response to the next request tells a caller to repeat a request that is running. A refusal is
//! therefore believed only if it cannot be an earlier one: it names the request, which was never refused on that
//! connection before, or it names none and is the first refusal on the connection. Any other one says nothing, so the
//! request may have run.

use crate::{hash::stable_hash, id::RequestId};

/// Number of refusals after which a connection carries no further requests, which bounds its record.
const MAX_REFUSALS: usize = 32;

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

/// Record of the requests that were refused on one connection.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    /// Hashes of the requests' ids.
    refused: Vec<u64>,
}

impl Refusals {
    /// Whether the connection may carry the request `id`. A request is not sent where it was refused before, since its
    /// next refusal there could be the earlier one.
    pub fn allow(&self, id: &RequestId) -> bool {
        !self.is_full() && !self.refused.contains(&hash(id))
    }

    /// Whether the connection may carry no further requests.
    pub fn is_full(&self) -> bool {
        self.refused.len() >= MAX_REFUSALS
    }

    /// Records a refusal that came in response to the request `id`, and returns whether it can be believed.
    pub fn record(&mut self, id: &RequestId, named: Named) -> bool {
        let is_believable = match named {
            Named::ThisRequest => self.allow(id),
            Named::OtherRequest => false,
            Named::Nothing => self.refused.is_empty(),
        };
        self.refused.push(hash(id));
        is_believable
    }
}

fn hash(id: &RequestId) -> u64 {
    stable_hash(&[id.as_str()])
}
