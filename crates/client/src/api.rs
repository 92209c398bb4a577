//! Calls to the operators' endpoint of a router.

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

/// Time for one call. A router needs up to a few seconds for a change while its platform is slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Attempts of a change whose response was lost. The submission id keeps a repeated change from
/// taking effect twice.
const ATTEMPTS: u32 = 3;

/// Largest response; the bills of a busy customer are the largest.
const MAX_RESPONSE: usize = 256 << 20;

/// Handle on a router's operators' endpoint.
#[derive(Debug)]
pub struct Api {
    router: SocketAddr,
    credential: Secret,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Answer to a change.
#[derive(Clone, Debug, Deserialize)]
pub struct Changed {
    /// Revision of the configuration from which on the change is in force.
    pub revision: u64,
    /// Revision of the manifest.
    pub manifest_revision: u64,
}

/// The manifest in force.
#[derive(Debug, Deserialize)]
pub struct Current {
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
    /// Opens a client with the given settings, or those of the environment in their place.
    pub fn open(router: Option<SocketAddr>, credential: Option<PathBuf>) -> Result<Self, Error> {
        let router = router.map_or_else(router_of_environment, Ok)?;
        let credential = credential.or_else(|| env::var_os("EELGRASSWELL_CREDENTIAL").map(PathBuf::from));
        let Some(credential) = credential else {
            let message = "could not find the credential: give --credential or set EELGRASSWELL_CREDENTIAL";
            return Err(Error::Usage(message.into()));
        };
        let credential = settings::read_secret(&credential)?;
        Ok(Self { router, credential, client: Client::builder(TokioExecutor::new()).build_http() })
    }

    /// Reads `path`.
    pub async fn get(&self, path: &str) -> Result<Value, Error> {
        match self.exchange(&Method::GET, path, Bytes::new()).await {
            Ok((status, body)) => self.parse(&Method::GET, path, status, &body),
            Err(report) => Err(report.wrap_err(self.step(&Method::GET, path)).into()),
        }
    }

    /// Reads the manifest in force.
    pub async fn manifest(&self) -> Result<Current, Error> {
        self.typed("/v1/manifest", self.get("/v1/manifest").await?)
    }

    /// Changes the configuration; repeats the call when its response is lost.
    pub async fn change(&self, method: Method, path: &str, change: &Change, body: Bytes) -> Result<Changed, Error> {
        let mut target = format!("{path}?submission={}", change.submission);
        if let Some(expected) = change.expected {
            target.push_str(&format!("&expected={expected}"));
        }
        let mut attempt = 1;
        let (status, body) = loop {
            match self.exchange(&method, &target, body.clone()).await {
                Ok(response) => break response,
                Err(_) if attempt < ATTEMPTS => attempt += 1,
                Err(report) => {
                    let hint =
                        format!("the change may have taken effect; repeat it with --submission {}", change.submission);
                    return Err(report.wrap_err(self.step(&method, path)).wrap_err(hint).into());
                }
            }
        };
        let reply = self.parse(&method, path, status, &body)?;
        self.typed(path, reply)
    }

    async fn exchange(&self, method: &Method, path: &str, body: Bytes) -> eyre::Result<(StatusCode, Bytes)> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.router))
            .header(AUTHORIZATION, format!("Bearer {}", self.credential.expose()))
            .body(Full::new(body))
            .wrap_err_with(|| format!("could not build a request for {path}"))?;
        let call = async {
            let response = self.client.request(req).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE).collect().await;
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
            return Err(eyre!("{}: status {status}", self.step(method, path)).into());
        };
        if status == StatusCode::CONFLICT {
            return Err(Error::Conflict { manifest_revision: error.manifest_revision });
        }
        if !error.problems.is_empty() {
            return Err(Error::Invalid { origin: format!("at router {}", self.router), problems: error.problems });
        }
        Err(eyre!("{} (router {}, status {})", error.message, self.router, status.as_u16()).into())
    }

    fn typed<T: DeserializeOwned>(&self, path: &str, value: Value) -> Result<T, Error> {
        let parsed = serde_json::from_value(value);
        Ok(parsed.wrap_err_with(|| format!("could not understand the response of {} to {path}", self.router))?)
    }

    fn step(&self, method: &Method, path: &str) -> String {
        format!("could not {method} {path} at router {}", self.router)
    }
}

/// Identity and condition of a change.
#[derive(Clone, Debug)]
pub struct Change {
    /// Id of the change; a repeated call with the same id takes effect once.
    pub submission: String,
    /// Revision of the manifest that the change is based on.
    pub expected: Option<u64>,
}

impl Change {
    /// Draws a submission id unless one is given.
    pub fn new(submission: Option<String>, expected: Option<u64>) -> Self {
        Self { submission: submission.unwrap_or_else(|| uuid::Uuid::new_v4().to_string()), expected }
    }
}

fn router_of_environment() -> Result<SocketAddr, Error> {
    let Ok(text) = env::var("EELGRASSWELL_ROUTER") else {
        return Err(Error::Usage("could not find the router: give --router or set EELGRASSWELL_ROUTER".into()));
    };
    text.parse().map_err(|_| Error::Usage(format!("could not parse EELGRASSWELL_ROUTER={text:?}: expected ip:port")))
}
