//! Session ids: `v1.<payload>.<HMAC-SHA256>`, both parts in URL-safe base64 without padding. Any
//! router that has the keys can verify an id; no router keeps a list of sessions.

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
/// Longest id that is looked at; longer ones are forged, since ours are shorter.
const MAX_LENGTH: usize = 1_024;

/// What a session id states.
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
    /// Milliseconds from the Unix epoch to the issue.
    #[serde(rename = "t")]
    pub issued_at: Millis,
    /// Random number, so that two sessions never have the same id.
    #[serde(rename = "n")]
    pub nonce: u64,
}

#[derive(Serialize, Deserialize)]
struct Payload {
    #[serde(rename = "k")]
    key: u32,
    #[serde(flatten)]
    session: Session,
}

/// Key that authenticates session ids.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "StoredKey", into = "StoredKey")]
pub struct Key {
    /// Number of the key; ids name it.
    pub id: u32,
    /// The secret.
    pub secret: [u8; 32],
}

#[derive(Serialize, Deserialize)]
struct StoredKey {
    id: u32,
    secret: String,
}

/// The keys in use. Ids are issued with the current key and verified with both. A new key is first
/// stored as `previous`, and becomes `current` once all routers have read it; the key that it
/// replaces stays as `previous` as long as its sessions last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// Key for new ids.
    pub current: Key,
    /// Another key that ids may have.
    #[serde(default)]
    pub previous: Option<Key>,
}

/// Why a session id is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionError {
    /// The text is not a session id.
    Malformed,
    /// No key in use has made the id.
    Forged,
    /// The session belongs to another customer.
    OtherCustomer,
}

impl Keys {
    /// The id of `session`.
    pub fn issue(&self, session: &Session) -> String {
        let payload = Payload { key: self.current.id, session: session.clone() };
        let json = serde_json::to_vec(&payload).expect("a session serialises to JSON");
        let signed = format!("{PREFIX}.{}", BASE64_URL_SAFE_NO_PAD.encode(json));
        let code = self.current.mac(&signed).finalize().into_bytes();
        format!("{signed}.{}", BASE64_URL_SAFE_NO_PAD.encode(code))
    }

    /// The session with this id, if it belongs to `customer`. Nothing of the payload is parsed
    /// before it is authenticated.
    pub fn verify(&self, customer: &CustomerId, id: &str) -> Result<Session, SessionError> {
        if id.len() > MAX_LENGTH {
            return Err(SessionError::Malformed);
        }
        let (signed, code) = id.rsplit_once('.').ok_or(SessionError::Malformed)?;
        let payload =
            signed.strip_prefix(PREFIX).and_then(|rest| rest.strip_prefix('.')).ok_or(SessionError::Malformed)?;
        let code = BASE64_URL_SAFE_NO_PAD.decode(code).map_err(|_| SessionError::Malformed)?;
        let mut keys = [Some(&self.current), self.previous.as_ref()].into_iter().flatten();
        // `verify_slice` compares in constant time.
        let key = keys.find(|key| key.mac(signed).verify_slice(&code).is_ok()).ok_or(SessionError::Forged)?;
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
            Self::Malformed => "the text is not a session id",
            Self::Forged => "no session key in use has made the id",
            Self::OtherCustomer => "the session belongs to another customer",
        })
    }
}

impl std::error::Error for SessionError {}
