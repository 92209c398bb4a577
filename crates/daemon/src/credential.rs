//! The shared credential of the processes of the system, which is checked on every call of an inner endpoint.

use eelgrasswell_manifest::settings::Secret;
use tonic::{Request, Status, metadata::AsciiMetadataValue, service::Interceptor};

const METADATA_KEY: &str = "authorization";

/// Interceptor that adds the credential to outgoing calls.
#[derive(Clone, Debug)]
pub struct AttachCredential {
    value: AsciiMetadataValue,
}

impl AttachCredential {
    /// Creates an interceptor. Fails if the secret contains characters that are not allowed in metadata.
    pub fn new(secret: &Secret) -> eyre::Result<Self> {
        let value = format!("Bearer {}", secret.expose()).parse();
        let mut value: AsciiMetadataValue =
            value.map_err(|_| eyre::eyre!("could not use the inner credential: it contains unprintable characters"))?;
        value.set_sensitive(true);
        Ok(Self { value })
    }
}

impl Interceptor for AttachCredential {
    fn call(&mut self, mut req: Request<()>) -> Result<Request<()>, Status> {
        req.metadata_mut().insert(METADATA_KEY, self.value.clone());
        Ok(req)
    }
}

/// Interceptor that refuses incoming calls without the credential.
#[derive(Clone, Debug)]
pub struct RequireCredential {
    secret: Secret,
}

impl RequireCredential {
    /// Creates an interceptor that requires `secret`.
    pub fn new(secret: Secret) -> Self {
        Self { secret }
    }
}

impl Interceptor for RequireCredential {
    fn call(&mut self, req: Request<()>) -> Result<Request<()>, Status> {
        let header = req.metadata().get(METADATA_KEY).and_then(|value| value.to_str().ok());
        let credential = header.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        if equal_in_constant_time(credential.as_bytes(), self.secret.expose().as_bytes()) {
            Ok(req)
        } else {
            Err(Status::unauthenticated("the inner credential is missing or wrong"))
        }
    }
}

/// Compares two byte strings without an early exit, so that the timing reveals nothing about the secret but its length.
pub fn equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}
