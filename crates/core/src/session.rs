//! Session ids of the form `v1.<payload>.<HMAC-SHA256>`, with payload and HMAC in URL-safe base64
//! without padding. Any router that has the keys can verify an id; no router keeps a list of sessions.

use std::fmt;

use base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::{
    id::{CustomerId, ModelName, VersionName},
    unit::Millis,
};

const PREFIX: &str = "v1";
/// Maximum length of a session id in bytes. Longer ids are rejected without being parsed, because the
/// ids issued by routers are shorter.
const MAX_LENGTH: usize = 1_024;

/// Content of a session id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Customer that the session belongs to.
    #[serde(rename = "c")]
    pub customer: CustomerId,
    /// Model of the session.
    #[serde(rename = "m")]
    pub model: ModelName,
    /// Version that the session is pinned to.
    #[serde(rename = "v")]
    pub version: VersionName,
    /// Time of issue, in milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    pub issued_at: Millis,
    /// Random number that makes the id unique.
    #[serde(rename = "n")]
    pub nonce: u64,
}

/// Authenticated part of a session id, as JSON.
#[derive(Serialize, Deserialize)]
struct Payload {
    /// Id of the key that the session id was issued with.
    #[serde(rename = "k")]
    key: u32,
    #[serde(flatten)]
    session: Session,
}

/// Key that authenticates session ids.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "StoredKey", into = "StoredKey")]
pub struct Key {
    /// Number of the key, which every session id contains.
    pub id: u32,
    /// The secret.
    pub secret: [u8; 32],
}

/// Stored form of a [`Key`].
#[derive(Serialize, Deserialize)]
struct StoredKey {
    id: u32,
    /// The secret in URL-safe base64 without padding.
    secret: String,
}

/// The keys in use. Session ids are issued with the current key and verified with either key. For a
/// rotation, a new key is first stored as `previous` and becomes `current` once all routers have read
/// it. The key that it replaces then stays as `previous` for as long as its sessions last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// Key that new session ids are issued with.
    pub current: Key,
    /// Other key that session ids are verified with: the next one or the last one.
    #[serde(default)]
    pub previous: Option<Key>,
}

/// Why a session id is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionError {
    /// The session id, or a stored key, is malformed.
    Malformed,
    /// The session id was not issued with a key in use.
    Forged,
    /// The session belongs to another customer.
    OtherCustomer,
}

impl Keys {
    /// Issues the session id of `session` with the current key.
    pub fn issue(&self, session: &Session) -> String {
        let payload = Payload { key: self.current.id, session: session.clone() };
        let json = serde_json::to_vec(&payload).expect("a session serialises to JSON");
        let signed = format!("{PREFIX}.{}", BASE64_URL_SAFE_NO_PAD.encode(json));
        let mac = self.current.mac(&signed).finalize().into_bytes();
        format!("{signed}.{}", BASE64_URL_SAFE_NO_PAD.encode(mac))
    }

    /// Verifies a session id of `customer` and returns its session. The payload is authenticated before
    /// it is parsed.
    pub fn verify(&self, customer: &CustomerId, id: &str) -> Result<Session, SessionError> {
        if id.len() > MAX_LENGTH {
            return Err(SessionError::Malformed);
        }
        let (signed, mac) = id.rsplit_once('.').ok_or(SessionError::Malformed)?;
        let payload =
            signed.strip_prefix(PREFIX).and_then(|rest| rest.strip_prefix('.')).ok_or(SessionError::Malformed)?;
        let mac = BASE64_URL_SAFE_NO_PAD.decode(mac).map_err(|_| SessionError::Malformed)?;
        let mut keys = [Some(&self.current), self.previous.as_ref()].into_iter().flatten();
        // `verify_slice` compares in constant time.
        let key = keys.find(|key| key.mac(signed).verify_slice(&mac).is_ok()).ok_or(SessionError::Forged)?;
        let payload = BASE64_URL_SAFE_NO_PAD.decode(payload).map_err(|_| SessionError::Malformed)?;
        let payload: Payload = serde_json::from_slice(&payload).map_err(|_| SessionError::Malformed)?;
        if payload.key != key.id {
            return Err(SessionError::Forged);
        }
        if payload.session.customer != *customer {
            return Err(SessionError::OtherCustomer);
        }
        Ok(payload.session)
    }
}

impl Key {
    fn mac(&self, signed: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::new_from_slice(&self.secret).expect("HMAC takes keys of any length");
        mac.update(signed.as_bytes());
        mac
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key").field("id", &self.id).finish_non_exhaustive()
    }
}

impl From<Key> for StoredKey {
    fn from(key: Key) -> Self {
        Self { id: key.id, secret: BASE64_URL_SAFE_NO_PAD.encode(key.secret) }
    }
}

impl TryFrom<StoredKey> for Key {
    type Error = SessionError;

    fn try_from(stored: StoredKey) -> Result<Self, SessionError> {
        let secret = BASE64_URL_SAFE_NO_PAD.decode(&stored.secret).map_err(|_| SessionError::Malformed)?;
        let secret = secret.try_into().map_err(|_| SessionError::Malformed)?;
        Ok(Self { id: stored.id, secret })
    }
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed session id or key",
            Self::Forged => "the session id was not issued with a key in use",
            Self::OtherCustomer => "the session belongs to another customer",
        })
    }
}

impl std::error::Error for SessionError {}
