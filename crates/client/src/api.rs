//! HTTP client of a router's operator endpoint.

use std::{env, net::SocketAddr, path::PathBuf, time::Duration};

use bytes::Bytes;
use eelgrasswell_manifest::{
    check::Problem,
    manifest::Manifest,
    settings::{self, Secret},
};
use eyre::{WrapErr, eyre};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, header::AUTHORIZATION};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;
use tokio::time::timeout;

use crate::error::Error;

/// Timeout of one call. A router needs up to a few seconds for a change if the platform is slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Limit on the attempts of a change whose response is lost. The submission id prevents a repeated
/// change from taking effect twice.
const MAX_ATTEMPTS: u32 = 3;

/// Size limit of a response. The bills of a busy customer make the largest responses.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// Client of a router's operator endpoint.
#[derive(Debug)]
pub struct Api {
    router: SocketAddr,
    credential: Secret,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Response to a change of the configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct ChangeReply {
    /// First revision of the configuration that contains the change.
    pub revision: u64,
    /// Revision of the manifest.
    pub manifest_revision: u64,
}

/// The manifest in force.
#[derive(Debug, Deserialize)]
pub struct ManifestReply {
    /// Revision of the configuration.
    pub revision: u64,
    /// Revision of the manifest.
    pub manifest_revision: u64,
    /// The manifest.
    pub manifest: Manifest,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
    #[serde(default)]
    manifest_revision: u64,
    #[serde(default)]
    problems: Vec<Problem>,
}

impl Api {
    /// Creates a client with the given router and credential file. Each defaults to its environment
    /// variable.
    pub fn from_args(router: Option<SocketAddr>, credential: Option<PathBuf>) -> Result<Self, Error> {
        let router = router.map_or_else(router_from_env, Ok)?;
        let credential = credential.or_else(|| env::var_os("EELGRASSWELL_CREDENTIAL").map(PathBuf::from));
        let Some(credential) = credential else {
            let message = "could not find the credential: give --credential or set EELGRASSWELL_CREDENTIAL";
            return Err(Error::Usage(message.into()));
        };
        let credential = settings::read_secret(&credential)?;
        Ok(Self { router, credential, client: Client::builder(TokioExecutor::new()).build_http() })
    }

    /// Requests `path` and returns the JSON of the response.
    pub async fn get(&self, path: &str) -> Result<Value, Error> {
        match self.send(&Method::GET, path, Bytes::new()).await {
            Ok((status, body)) => self.parse(&Method::GET, path, status, &body),
            Err(report) => Err(report.wrap_err(self.describe_call(&Method::GET, path)).into()),
        }
    }

    /// Requests the manifest in force.
    pub async fn manifest(&self) -> Result<ManifestReply, Error> {
        self.decode("/v1/manifest", self.get("/v1/manifest").await?)
    }

    /// Changes the configuration. Retries the call if its response is lost.
    pub async fn change(
        &self,
        method: Method,
        path: &str,
        change: &ChangeParams,
        body: Bytes,
    ) -> Result<ChangeReply, Error> {
        let mut target = format!("{path}?submission={}", change.submission);
        if let Some(expected) = change.expected {
            target.push_str(&format!("&expected={expected}"));
        }
        let mut attempt = 1;
        let (status, body) = loop {
            match self.send(&method, &target, body.clone()).await {
                Ok(response) => break response,
                Err(_) if attempt < MAX_ATTEMPTS => attempt += 1,
                Err(report) => {
                    let hint =
                        format!("the change may have taken effect; repeat it with --submission {}", change.submission);
                    return Err(report.wrap_err(self.describe_call(&method, path)).wrap_err(hint).into());
                }
            }
        };
        let reply = self.parse(&method, path, status, &body)?;
        self.decode(path, reply)
    }

    async fn send(&self, method: &Method, path: &str, body: Bytes) -> eyre::Result<(StatusCode, Bytes)> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.router))
            .header(AUTHORIZATION, format!("Bearer {}", self.credential.expose()))
            .body(Full::new(body))
            .wrap_err_with(|| format!("could not build a request for {path}"))?;
        let call = async {
            let response = self.client.request(req).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|err| eyre!("could not read the response: {err}"))?;
            Ok((status, body.to_bytes()))
        };
        let limit = CALL_TIMEOUT.as_secs();
        timeout(CALL_TIMEOUT, call).await.unwrap_or_else(|_| Err(eyre!("no response within {limit} s")))
    }

    fn parse(&self, method: &Method, path: &str, status: StatusCode, body: &Bytes) -> Result<Value, Error> {
        if status.is_success() {
            let value = serde_json::from_slice(body);
            return Ok(value.wrap_err_with(|| format!("could not parse the response to {method} {path}"))?);
        }
        let Ok(ErrorBody { error }) = serde_json::from_slice(body) else {
            return Err(eyre!("{}: status {status}", self.describe_call(method, path)).into());
        };
        if status == StatusCode::CONFLICT {
            return Err(Error::Conflict { manifest_revision: error.manifest_revision });
        }
        if !error.problems.is_empty() {
            return Err(Error::Invalid { origin: format!("at router {}", self.router), problems: error.problems });
        }
        Err(eyre!("{} (router {}, status {})", error.message, self.router, status.as_u16()).into())
    }

    fn decode<T: DeserializeOwned>(&self, path: &str, value: Value) -> Result<T, Error> {
        let parsed = serde_json::from_value(value);
        Ok(parsed.wrap_err_with(|| format!("could not parse the response of {} to {path}", self.router))?)
    }

    fn describe_call(&self, method: &Method, path: &str) -> String {
        format!("could not {method} {path} at router {}", self.router)
    }
}

/// Parameters that identify a change and make it conditional.
#[derive(Clone, Debug)]
pub struct ChangeParams {
    /// Id of the change. Calls with the same id take effect once.
    pub submission: String,
    /// Revision of the manifest that the change is based on. The router rejects the change if the
    /// manifest has another revision.
    pub expected: Option<u64>,
}

impl ChangeParams {
    /// Generates a random submission id unless one is given.
    pub fn new(submission: Option<String>, expected: Option<u64>) -> Self {
        Self { submission: submission.unwrap_or_else(|| uuid::Uuid::new_v4().to_string()), expected }
    }
}

fn router_from_env() -> Result<SocketAddr, Error> {
    let Ok(text) = env::var("EELGRASSWELL_ROUTER") else {
        return Err(Error::Usage("could not find the router: give --router or set EELGRASSWELL_ROUTER".into()));
    };
    text.parse().map_err(|_| Error::Usage(format!("could not parse EELGRASSWELL_ROUTER={text:?}: expected ip:port")))
}
