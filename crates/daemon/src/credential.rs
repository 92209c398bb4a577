//! The credential that the processes of the system share, checked on every inner call.

use eelgrasswell_manifest::settings::Secret;
use tonic::{Request, Status, metadata::AsciiMetadataValue, service::Interceptor};

const KEY: &str = "authorization";

/// Adds the credential to outgoing calls.
#[derive(Clone, Debug)]
pub struct AttachCredential {
    value: AsciiMetadataValue,
}

impl AttachCredential {
    /// Fails when the secret holds characters that metadata cannot carry.
    pub fn new(secret: &Secret) -> eyre::Result<Self> {
        let value = format!("Bearer {}", secret.expose()).parse();
        let mut value: AsciiMetadataValue =
            value.map_err(|_| eyre::eyre!("could not use the inner credential: it holds unprintable characters"))?;
        value.set_sensitive(true);
        Ok(Self { value })
    }
}

impl Interceptor for AttachCredential {
    fn call(&mut self, mut req: Request<()>) -> Result<Request<()>, Status> {
        req.metadata_mut().insert(KEY, self.value.clone());
        Ok(req)
    }
}

/// Refuses incoming calls without the credential.
#[derive(Clone, Debug)]
pub struct RequireCredential {
    secret: Secret,
}

impl RequireCredential {
    /// Requires `secret` of each caller.
    pub fn new(secret: Secret) -> Self {
        Self { secret }
    }
}

impl Interceptor for RequireCredential {
    fn call(&mut self, req: Request<()>) -> Result<Request<()>, Status> {
        let given = req.metadata().get(KEY).and_then(|value| value.to_str().ok());
        let given = given.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        if equal_in_constant_time(given.as_bytes(), self.secret.expose().as_bytes()) {
            Ok(req)
        } else {
            Err(Status::unauthenticated("the inner credential is missing or wrong"))
        }
    }
}

/// Compares without an early exit, so that timing tells nothing of the secret.
pub fn equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}
