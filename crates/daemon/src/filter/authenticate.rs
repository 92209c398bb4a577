//! Authenticates callers: finds the customer by the SHA-256 of the API key.

use std::sync::Arc;

use eelgrasswell_core::{hash::sha256, id::CustomerId, refusal::Reason};
use eelgrasswell_manifest::config::Config;
use hyper::{HeaderMap, header::AUTHORIZATION};

use super::Chain;
use crate::callers::failure::Failure;

/// An authenticated caller, with the configuration that applies to its request.
pub struct Caller {
    /// The customer.
    pub customer: CustomerId,
    /// Configuration in force when the request was received.
    pub config: Arc<Config>,
}

/// Authenticates a request by its header `authorization`.
pub fn authenticate(chain: &Chain, headers: &HeaderMap) -> Result<Caller, Failure> {
    let unauthenticated =
        || Failure::not_run(Reason::Unauthenticated, "the API key is missing or belongs to no customer");
    let authorization = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = authorization.and_then(|value| value.strip_prefix("Bearer ")).ok_or_else(unauthenticated)?;
    let digest = hex(&sha256(&[key.trim().as_bytes()]));
    let config = chain.router.config.current();
    let customers = &config.manifest.customers;
    let found = customers.iter().find(|(_, customer)| customer.api_key_sha256.eq_ignore_ascii_case(&digest));
    let customer = found.map(|(id, _)| id.clone()).ok_or_else(unauthenticated)?;
    Ok(Caller { customer, config })
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
