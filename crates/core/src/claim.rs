//! Claims of non-idempotent requests: one grant per idempotency key at a time.

use std::fmt;

use base64::{Engine, prelude::BASE64_STANDARD_NO_PAD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest, Sha256};

use crate::{
    hash::HashMap,
    id::{CustomerId, Fence, HostId, Incarnation, RequestId},
    unit::Millis,
};

/// Time for which a claim is kept after its last change.
pub const CLAIM_RETENTION: Millis = Millis(24 * 3_600_000);
/// Largest answer kept with a claim, in bytes.
pub const MAX_ANSWER_BODY_BYTES: usize = 4 << 10;
/// Most claims of one shard. More are refused, since forgetting one early could let it run twice.
/// At 100 requests/s with 5% claims, a shard of 16 holds 27,000.
pub const MAX_CLAIMS: usize = 50_000;
/// Most bytes of answers kept by one shard; the oldest answers are dropped first.
pub const MAX_SHARD_ANSWER_BYTES: usize = 1 << 20;

/// Names a claim: the first half of SHA-256 over customer and idempotency key. The full texts are
/// not kept, to bound the memory of a claim.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey([u8; 16]);

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Id of the attempt.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// Agent that shall run it.
    #[serde(rename = "a")]
    pub agent: HostId,
    /// Incarnation of that agent.
    #[serde(rename = "i")]
    pub agent_incarnation: Incarnation,
}

/// Request for a claim.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The claim.
    pub key: ClaimKey,
    /// Digest of the request.
    pub digest: Fingerprint,
    /// The attempt that asks.
    pub attempt: Attempt,
    /// Earlier attempt that its agent has barred from running.
    pub barred: Option<RequestId>,
}

/// First half of the SHA-256 of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Fingerprint([u8; 16]);

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Granted; the outcome is not known yet.
    Pending,
    /// The request ran.
    Done(Answer),
    /// The attempt did not run and never will; another one may be granted.
    Released,
}

/// Answer kept with a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body; none when it was too large to keep.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Body>,
}

/// Bytes of a kept answer; base64 in JSON.
#[derive(Clone, PartialEq, Eq)]
pub struct Body(pub Vec<u8>);

/// What to answer to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim may be granted by this change, once it is durable.
    Grant(ClaimOp),
    /// The same attempt holds the claim already, with this fence.
    Repeat(Fence),
    /// This attempt holds the claim, or is the one that was released.
    Pending(Attempt),
    /// The request ran in this attempt.
    Done(RequestId, Answer),
    /// The key was used for a request with another digest.
    KeyReused,
    /// No more claims can be kept.
    Full,
}

/// A change of a claim, as logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOp {
    /// Grants the claim to an attempt.
    Grant {
        /// The claim.
        key: ClaimKey,
        /// Digest of the request.
        digest: Fingerprint,
        /// The attempt.
        attempt: Attempt,
        /// Fence of the grant.
        fence: Fence,
    },
    /// Ends the claim of an attempt.
    End {
        /// The claim.
        key: ClaimKey,
        /// Id of the attempt.
        request: RequestId,
        /// [`ClaimState::Done`] or [`ClaimState::Released`].
        state: ClaimState,
    },
}

/// The claims of one shard.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<ClaimKey, Claim>,
    answer_bytes: usize,
}

#[derive(Clone, Debug)]
struct Claim {
    digest: Fingerprint,
    attempt: Attempt,
    fence: Fence,
    state: ClaimState,
    expires: Millis,
}

/// A claim as kept in a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimRecord {
    #[serde(rename = "k")]
    key: ClaimKey,
    #[serde(rename = "d")]
    digest: Fingerprint,
    #[serde(rename = "a")]
    attempt: Attempt,
    #[serde(rename = "f")]
    fence: Fence,
    #[serde(rename = "s")]
    state: ClaimState,
    /// Rest of the retention when the snapshot was taken. A restored claim is kept for at least
    /// that long, whatever the clocks of the two owners show.
    #[serde(rename = "t")]
    rest: Millis,
}

impl ClaimTable {
    /// Decides on `ask` without changing anything; `fence` is that of the owner.
    pub fn decide(&self, ask: &ClaimRequest, fence: Fence) -> ClaimDecision {
        let grant = || ClaimOp::Grant { key: ask.key, digest: ask.digest, attempt: ask.attempt.clone(), fence };
        let Some(claim) = self.claims.get(&ask.key) else {
            return if self.claims.len() < MAX_CLAIMS { ClaimDecision::Grant(grant()) } else { ClaimDecision::Full };
        };
        if claim.digest != ask.digest {
            return ClaimDecision::KeyReused;
        }
        let same_request = claim.attempt.request == ask.attempt.request;
        match &claim.state {
            ClaimState::Done(answer) => ClaimDecision::Done(claim.attempt.request.clone(), answer.clone()),
            // A late duplicate of the released attempt must not bring its claim back.
            ClaimState::Released if same_request => ClaimDecision::Pending(claim.attempt.clone()),
            ClaimState::Released => ClaimDecision::Grant(grant()),
            // The agent is part of the comparison: a grant for a second agent could run twice.
            ClaimState::Pending if claim.attempt == ask.attempt => ClaimDecision::Repeat(claim.fence),
            ClaimState::Pending if !same_request && ask.barred.as_ref() == Some(&claim.attempt.request) => {
                ClaimDecision::Grant(grant())
            }
            ClaimState::Pending => ClaimDecision::Pending(claim.attempt.clone()),
        }
    }

    /// The attempt whose outcome is not known yet, if the claim is held by one.
    pub fn pending_attempt(&self, key: ClaimKey) -> Option<&Attempt> {
        let claim = self.claims.get(&key).filter(|claim| claim.state == ClaimState::Pending)?;
        Some(&claim.attempt)
    }

    /// The change that ends the claim of an attempt; none when it has been made already, or when
    /// another attempt holds the claim.
    pub fn end_op(&self, key: ClaimKey, request: &RequestId, state: ClaimState) -> Option<ClaimOp> {
        let claim = self.claims.get(&key)?;
        let open = claim.attempt.request == *request && claim.state == ClaimState::Pending;
        open.then(|| ClaimOp::End { key, request: request.clone(), state })
    }

    /// Makes a change that has been decided or read from the log.
    pub fn apply(&mut self, op: &ClaimOp, now: Millis) {
        match op {
            ClaimOp::Grant { key, digest, attempt, fence } => {
                let claim = Claim {
                    digest: *digest,
                    attempt: attempt.clone(),
                    fence: *fence,
                    state: ClaimState::Pending,
                    expires: now + CLAIM_RETENTION,
                };
                self.insert(*key, claim);
            }
            ClaimOp::End { key, request, state } => {
                let Some(claim) = self.claims.get(key).filter(|claim| claim.attempt.request == *request) else {
                    return;
                };
                let claim = Claim { state: state.clone(), expires: now + CLAIM_RETENTION, ..claim.clone() };
                self.insert(*key, claim);
                self.drop_old_answers();
            }
        }
    }

    /// Drops claims that were last changed more than the retention ago.
    pub fn expire(&mut self, now: Millis) {
        self.claims.retain(|_, claim| now < claim.expires);
        self.answer_bytes = self.claims.values().map(Claim::answer_len).sum();
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Bytes of the answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// All claims with the rest of their retention.
    pub fn to_records(&self, now: Millis) -> Vec<ClaimRecord> {
        let record = |(key, claim): (&ClaimKey, &Claim)| ClaimRecord {
            key: *key,
            digest: claim.digest,
            attempt: claim.attempt.clone(),
            fence: claim.fence,
            state: claim.state.clone(),
            rest: claim.expires.saturating_sub(now),
        };
        self.claims.iter().map(record).collect()
    }

    /// Takes in a claim from a snapshot.
    pub fn restore(&mut self, record: ClaimRecord, now: Millis) {
        let ClaimRecord { key, digest, attempt, fence, state, rest } = record;
        self.insert(key, Claim { digest, attempt, fence, state, expires: now + rest });
    }

    fn insert(&mut self, key: ClaimKey, claim: Claim) {
        self.answer_bytes += claim.answer_len();
        if let Some(old) = self.claims.insert(key, claim) {
            self.answer_bytes -= old.answer_len();
        }
    }

    /// Drops the older half of the answers when they take too much memory. The claims stay.
    fn drop_old_answers(&mut self) {
        if self.answer_bytes <= MAX_SHARD_ANSWER_BYTES {
            return;
        }
        let mut kept: Vec<_> = self.claims.values_mut().filter(|claim| claim.answer_len() > 0).collect();
        kept.sort_by_key(|claim| claim.expires);
        for claim in kept {
            if self.answer_bytes <= MAX_SHARD_ANSWER_BYTES / 2 {
                break;
            }
            self.answer_bytes -= claim.answer_len();
            if let ClaimState::Done(answer) = &mut claim.state {
                answer.body = None;
            }
        }
    }
}

impl Claim {
    fn answer_len(&self) -> usize {
        let ClaimState::Done(Answer { body: Some(body), .. }) = &self.state else { return 0 };
        body.0.len()
    }
}

impl Answer {
    /// An answer; its body is kept when it is small enough.
    pub fn new(status: u16, body: Option<Vec<u8>>) -> Self {
        let body = body.filter(|body| body.len() <= MAX_ANSWER_BODY_BYTES).map(Body);
        Self { status, body }
    }
}

impl ClaimKey {
    /// The claim of `customer` with idempotency key `key`.
    pub fn new(customer: &CustomerId, key: &str) -> Self {
        let hash = Sha256::new().chain_update(customer.as_str()).chain_update([0]).chain_update(key).finalize();
        Self(first_half(&hash.into()))
    }
}

impl Fingerprint {
    /// From the SHA-256 of a request.
    pub fn new(sha256: &[u8; 32]) -> Self {
        Self(first_half(sha256))
    }
}

fn first_half(hash: &[u8; 32]) -> [u8; 16] {
    let mut half = [0; 16];
    half.copy_from_slice(&hash[..16]);
    half
}

macro_rules! base64_text {
    ($name:ident) => {
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "({})"), BASE64_STANDARD_NO_PAD.encode(&self.0))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&BASE64_STANDARD_NO_PAD.encode(&self.0))
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
                let bytes = BASE64_STANDARD_NO_PAD.decode(&*text).map_err(D::Error::custom)?;
                bytes.try_into().map(Self).map_err(|_| D::Error::custom("wrong length"))
            }
        }
    };
}

base64_text!(ClaimKey);
base64_text!(Fingerprint);
base64_text!(Body);
