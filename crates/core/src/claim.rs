//! Claims on idempotency keys: each key of a non-idempotent request is granted to at most one attempt
//! at a time.

use std::fmt;

use base64::{Engine, prelude::BASE64_STANDARD_NO_PAD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest, Sha256};

use crate::{
    hash::HashMap,
    id::{CustomerId, Fence, HostId, Incarnation, RequestId},
    unit::Millis,
};

/// Retention of a claim after its last change.
pub const CLAIM_RETENTION: Millis = Millis(24 * 3_600_000);
/// Maximum size of an answer body stored with a claim, in bytes.
pub const MAX_ANSWER_BODY_BYTES: usize = 4 << 10;
/// Maximum number of claims in one shard. Further claims are refused, because dropping an existing
/// claim early could let its request run twice. At 100 requests/s of which 5% need a claim, each of 16
/// shards holds 27,000.
pub const MAX_CLAIMS: usize = 50_000;
/// Maximum total size of the answer bodies stored in one shard, in bytes. The oldest bodies are
/// dropped first.
pub const MAX_SHARD_ANSWER_BYTES: usize = 1 << 20;

/// Identifies a claim: the first half of the SHA-256 of customer and idempotency key. The full texts
/// are not stored, to bound the memory of a claim.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey([u8; 16]);

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Request id of the attempt.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// Agent chosen to run the request.
    #[serde(rename = "a")]
    pub agent: HostId,
    /// Incarnation of that agent.
    #[serde(rename = "i")]
    pub agent_incarnation: Incarnation,
}

/// Request for a claim.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Digest of the request.
    pub digest: Fingerprint,
    /// The attempt that the claim is requested for.
    pub attempt: Attempt,
    /// Request id of an earlier attempt that its agent has barred from running. If that attempt holds
    /// the claim, the claim passes to the new one.
    pub barred: Option<RequestId>,
}

/// First half of the SHA-256 of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Fingerprint([u8; 16]);

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claim is granted; the outcome of its attempt is not known yet.
    Pending,
    /// The request ran.
    Done(Answer),
    /// The attempt did not run and never will; another one may be granted.
    Released,
}

/// Answer stored with a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body; `None` if it was not stored or has been dropped to save memory.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Body>,
}

/// Bytes of a stored answer body; base64 in JSON.
#[derive(Clone, PartialEq, Eq)]
pub struct Body(pub Vec<u8>);

/// Decision on a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is granted once this change is durable.
    Grant(ClaimOp),
    /// The same attempt already holds the claim, with this fence.
    Repeat(Fence),
    /// The claim is not granted: this attempt holds it, or the request repeats this attempt after it
    /// has released the claim.
    Pending(Attempt),
    /// The request ran as the attempt with this request id.
    Done(RequestId, Answer),
    /// The key was used for a request with a different digest.
    KeyReused,
    /// The shard holds [`MAX_CLAIMS`] claims already.
    Full,
}

/// A change of a claim, as logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOp {
    /// Grants the claim to an attempt.
    Grant {
        /// Key of the claim.
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
        /// Key of the claim.
        key: ClaimKey,
        /// Request id of the attempt.
        request: RequestId,
        /// [`ClaimState::Done`] or [`ClaimState::Released`].
        state: ClaimState,
    },
}

/// The claims of one shard.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<ClaimKey, Claim>,
    /// Total size of the stored answer bodies.
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

/// A claim as stored in a snapshot.
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
    /// Remaining retention when the snapshot was taken. A restored claim is kept for at least this
    /// time, regardless of the clocks of the two owners.
    #[serde(rename = "t")]
    remaining: Millis,
}

impl ClaimTable {
    /// Decides on `request` without changing the table. `fence` is the fence of the shard's owner.
    pub fn decide(&self, request: &ClaimRequest, fence: Fence) -> ClaimDecision {
        let grant =
            || ClaimOp::Grant { key: request.key, digest: request.digest, attempt: request.attempt.clone(), fence };
        let Some(claim) = self.claims.get(&request.key) else {
            return if self.claims.len() < MAX_CLAIMS { ClaimDecision::Grant(grant()) } else { ClaimDecision::Full };
        };
        if claim.digest != request.digest {
            return ClaimDecision::KeyReused;
        }
        let same_attempt_id = claim.attempt.request == request.attempt.request;
        match &claim.state {
            ClaimState::Done(answer) => ClaimDecision::Done(claim.attempt.request.clone(), answer.clone()),
            // A late duplicate from the attempt that released the claim must not regain it.
            ClaimState::Released if same_attempt_id => ClaimDecision::Pending(claim.attempt.clone()),
            ClaimState::Released => ClaimDecision::Grant(grant()),
            // The comparison includes the agent: with a grant for a second agent, the request could run
            // twice.
            ClaimState::Pending if claim.attempt == request.attempt => ClaimDecision::Repeat(claim.fence),
            ClaimState::Pending if !same_attempt_id && request.barred.as_ref() == Some(&claim.attempt.request) => {
                ClaimDecision::Grant(grant())
            }
            ClaimState::Pending => ClaimDecision::Pending(claim.attempt.clone()),
        }
    }

    /// The attempt that holds the claim and whose outcome is not known yet, if any.
    pub fn pending_attempt(&self, key: ClaimKey) -> Option<&Attempt> {
        let claim = self.claims.get(&key).filter(|claim| claim.state == ClaimState::Pending)?;
        Some(&claim.attempt)
    }

    /// The change that ends the claim of the attempt with id `request`; `None` if the claim has ended
    /// already, if another attempt holds it, or if it does not exist.
    pub fn end_op(&self, key: ClaimKey, request: &RequestId, state: ClaimState) -> Option<ClaimOp> {
        let claim = self.claims.get(&key)?;
        let is_pending = claim.attempt.request == *request && claim.state == ClaimState::Pending;
        is_pending.then(|| ClaimOp::End { key, request: request.clone(), state })
    }

    /// Applies a change that was decided by the owner or read from the log.
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

    /// Drops claims whose last change is at least [`CLAIM_RETENTION`] ago.
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

    /// Total size of the stored answer bodies, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// All claims with their remaining retention, for a snapshot.
    pub fn to_records(&self, now: Millis) -> Vec<ClaimRecord> {
        let record = |(key, claim): (&ClaimKey, &Claim)| ClaimRecord {
            key: *key,
            digest: claim.digest,
            attempt: claim.attempt.clone(),
            fence: claim.fence,
            state: claim.state.clone(),
            remaining: claim.expires.saturating_sub(now),
        };
        self.claims.iter().map(record).collect()
    }

    /// Adds a claim from a snapshot.
    pub fn restore(&mut self, record: ClaimRecord, now: Millis) {
        let ClaimRecord { key, digest, attempt, fence, state, remaining } = record;
        self.insert(key, Claim { digest, attempt, fence, state, expires: now + remaining });
    }

    fn insert(&mut self, key: ClaimKey, claim: Claim) {
        self.answer_bytes += claim.answer_len();
        if let Some(old) = self.claims.insert(key, claim) {
            self.answer_bytes -= old.answer_len();
        }
    }

    /// If the answer bodies exceed [`MAX_SHARD_ANSWER_BYTES`], drops the oldest ones until at most half
    /// of that size is left. The claims stay.
    fn drop_old_answers(&mut self) {
        if self.answer_bytes <= MAX_SHARD_ANSWER_BYTES {
            return;
        }
        let mut with_answer: Vec<_> = self.claims.values_mut().filter(|claim| claim.answer_len() > 0).collect();
        with_answer.sort_by_key(|claim| claim.expires);
        for claim in with_answer {
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
    /// An answer whose body is stored only if it has at most [`MAX_ANSWER_BODY_BYTES`].
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
    /// The fingerprint of the request with this SHA-256.
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
