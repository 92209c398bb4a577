//! Quality estimates of models, and the sampling of answers for the rating service.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use eelgrasswell_core::{
    cascade::{self, Candidate},
    evidence::Counters,
    hash::{HashMap, stable_hash},
    id::{ClassName, CustomerId, HostId, ModelName, RequestId, VersionName},
    quality::Estimate,
};
use eelgrasswell_manifest::{config::Config, manifest::Model};
use eelgrasswell_proto::v1::{ResumeRequest, execute_event::Event};
use eyre::{Result, WrapErr, bail};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Semaphore, TryAcquireError},
    time::{interval, timeout},
};

use super::{evidence::Evidence, links::Links};
use crate::{config::ConfigHandle, event};

/// Share of a well known model's answers that are sent to be rated.
const RATED_SHARE: f64 = 0.05;
/// Most answers that wait for their rating; more are not rated.
const MAX_RATINGS: usize = 64;
/// Longest time that a rating may take.
const RATING_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer that is sent to be rated, in bytes.
const MAX_RATED_BYTES: usize = 64 << 10;
/// Time between two updates of the estimates.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Token counts of a typical request, by which the costs of models are compared.
const TYPICAL_INPUT_TOKENS: u64 = 400;
/// See `TYPICAL_INPUT_TOKENS`; 2.6 million tokens/s over 8,500 requests/s.
const TYPICAL_OUTPUT_TOKENS: u64 = 300;

/// Shared handle on the quality estimates.
#[derive(Clone)]
pub struct Quality {
    config: ConfigHandle,
    evidence: Evidence,
    links: Links,
    ratings: Option<Ratings>,
    slots: Arc<Semaphore>,
    state: Arc<Mutex<HashMap<(ModelName, VersionName), Known>>>,
}

/// Estimate of one version, with the totals that it has taken in.
struct Known {
    estimate: Estimate,
    seen: Counters,
}

/// An answer that may be rated.
#[derive(Clone, Debug)]
struct Answered {
    request: RequestId,
    customer: CustomerId,
    model: ModelName,
    version: VersionName,
}

impl Quality {
    /// Starts from the priors of the manifest.
    pub fn open(ratings: Option<SocketAddr>, config: ConfigHandle, evidence: Evidence, links: Links) -> Self {
        Self {
            config,
            evidence,
            links,
            ratings: ratings.map(Ratings::open),
            slots: Arc::new(Semaphore::new(MAX_RATINGS)),
            state: Arc::default(),
        }
    }

    /// Starts to keep the estimates current.
    pub fn spawn(&self) {
        let quality = self.clone();
        tokio::spawn(async move {
            let mut ticks = interval(REFRESH_INTERVAL);
            loop {
                ticks.tick().await;
                quality.refresh();
            }
        });
    }

    /// Candidate models of the class for this request, the preferred one first and stronger ones,
    /// to escalate to, after it. Only models that the customer may use.
    pub fn rank_models(&self, customer: &CustomerId, class: &ClassName, request: &RequestId) -> Vec<ModelName> {
        let config = self.config.current();
        let manifest = &config.manifest;
        let (Some(customer), Some(declared)) = (manifest.customers.get(customer), manifest.classes.get(class)) else {
            return Vec::new();
        };
        let Some(target) = customer.quality_targets.get(class) else { return Vec::new() };
        let allowed = declared.candidates.iter().filter(|model| customer.models.contains_key(*model));
        let models: Vec<&ModelName> = allowed.filter(|model| !config.weights(model).is_empty()).collect();
        let candidates: Vec<Candidate> = models.iter().filter_map(|model| self.candidate(&config, model)).collect();
        let draw = stable_hash(&["cascade", request.as_str()]) as f64 / u64::MAX as f64;
        let order = cascade::order(&candidates, *target, draw);
        order.into_iter().map(|index| models[index].clone()).collect()
    }

    /// Has an answer rated, for a sample of the answers. The answer is read from the agent that
    /// holds it, so that the request itself is not delayed.
    pub fn sample_answer(&self, request: &RequestId, customer: &CustomerId, model: &ModelName, version: &VersionName) {
        let Some(ratings) = self.ratings.clone() else { return };
        let share = self.estimate(&self.config.current(), model, version).rating_share(RATED_SHARE);
        if rand::random::<f64>() >= share {
            return;
        }
        let answered = Answered {
            request: request.clone(),
            customer: customer.clone(),
            model: model.clone(),
            version: version.clone(),
        };
        let permit = match Arc::clone(&self.slots).try_acquire_owned() {
            Ok(permit) => permit,
            Err(TryAcquireError::NoPermits | TryAcquireError::Closed) => return,
        };
        let quality = self.clone();
        tokio::spawn(async move {
            let rated = timeout(RATING_TIMEOUT, quality.rate(&ratings, &answered)).await;
            match rated {
                Ok(Ok(Some(good))) => quality.evidence.record_rating(&answered.model, &answered.version, good),
                Ok(Ok(None)) | Err(_) => {}
                Ok(Err(err)) => event!(Debug, "rating_failed", request = answered.request, error = format!("{err:#}")),
            }
            drop(permit);
        });
    }

    async fn rate(&self, ratings: &Ratings, answered: &Answered) -> Result<Option<bool>> {
        let answer = self.fetch(answered).await?;
        ratings.rate(answered, &answer).await
    }

    /// Reads a finished answer from the agent that holds it.
    async fn fetch(&self, answered: &Answered) -> Result<Vec<u8>> {
        let request = &answered.request;
        let (_, agent) = request.as_str().split_once('.').unwrap_or_default();
        let agent = HostId::from(agent);
        let Some(mut client) = self.links.client(&agent) else { bail!("could not find agent {agent}") };
        let req = ResumeRequest { request_id: request.to_string(), customer: answered.customer.to_string(), offset: 0 };
        let mut events =
            client.resume(req).await.wrap_err_with(|| format!("could not resume at {agent}"))?.into_inner();
        let mut answer = Vec::new();
        while let Some(event) = events.message().await? {
            match event.event {
                Some(Event::Data(data)) => answer.extend_from_slice(&data.chunk),
                Some(Event::Finished(_)) => return Ok(answer),
                Some(Event::Refused(refused)) => bail!("could not read the answer at {agent}: {}", refused.reason),
                Some(Event::Failed(failed)) => bail!("could not read the answer at {agent}: {}", failed.reason),
                Some(Event::Accepted(_) | Event::Head(_) | Event::Progress(_)) | None => {}
            }
            if answer.len() > MAX_RATED_BYTES {
                bail!("could not have the answer rated: it is larger than {MAX_RATED_BYTES} bytes");
            }
        }
        bail!("could not read the answer at {agent}: the stream ended early")
    }

    fn refresh(&self) {
        let config = self.config.current();
        let manifest = &config.manifest;
        let mut state = self.lock();
        state.retain(|(model, _), _| manifest.models.contains_key(model));
        for (name, model) in &manifest.models {
            for version in model.versions.keys() {
                let totals = self.evidence.totals(name, version);
                let known = state.entry((name.clone(), version.clone())).or_insert_with(|| Known::new(model));
                let fresh = totals.since(known.seen);
                known.seen = known.seen.max(totals);
                known.estimate.add(fresh.rated.saturating_sub(fresh.rated_low), fresh.rated_low);
            }
        }
    }

    fn candidate(&self, config: &Config, model: &ModelName) -> Option<Candidate> {
        let main = config.weights(model).into_iter().max_by_key(|weighted| weighted.permille)?.version;
        let version = config.manifest.models.get(model)?.versions.get(&main)?;
        let cost = version.input_price.0 * TYPICAL_INPUT_TOKENS + version.output_price.0 * TYPICAL_OUTPUT_TOKENS;
        Some(Candidate { cost: cost as f64, quality: self.estimate(config, model, &main) })
    }

    fn estimate(&self, config: &Config, model: &ModelName, version: &VersionName) -> Estimate {
        let prior = config.manifest.models.get(model).map_or(0.5, |model| model.prior_quality);
        if self.ratings.is_none() {
            return Estimate::declared(prior);
        }
        let known = self.lock().get(&(model.clone(), version.clone())).map(|known| known.estimate);
        known.unwrap_or_else(|| Estimate::with_prior(prior))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(ModelName, VersionName), Known>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    fn new(model: &Model) -> Self {
        Self { estimate: Estimate::with_prior(model.prior_quality), seen: Counters::default() }
    }
}

/// Client of the rating service.
#[derive(Clone, Debug)]
struct Ratings {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Serialize)]
struct RateCall<'a> {
    request_id: &'a str,
    model: &'a str,
    version: &'a str,
    answer: &'a str,
}

#[derive(Deserialize)]
struct Rating {
    good: bool,
}

impl Ratings {
    fn open(address: SocketAddr) -> Self {
        Self { address, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Has an answer rated; none when the service gives no rating.
    async fn rate(&self, answered: &Answered, answer: &[u8]) -> Result<Option<bool>> {
        let call = RateCall {
            request_id: answered.request.as_str(),
            model: answered.model.as_str(),
            version: answered.version.as_str(),
            answer: &String::from_utf8_lossy(answer),
        };
        let body = serde_json::to_vec(&call).wrap_err("could not build a rating call")?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/rate", self.address))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .wrap_err("could not build a rating call")?;
        let what = || format!("could not have an answer rated at {}", self.address);
        let response = self.client.request(req).await.wrap_err_with(what)?;
        let status = response.status();
        let body = response.into_body().collect().await.wrap_err_with(what)?.to_bytes();
        match status {
            StatusCode::OK => Ok(Some(serde_json::from_slice::<Rating>(&body).wrap_err_with(what)?.good)),
            StatusCode::NO_CONTENT => Ok(None),
            status => bail!("{}: status {status}", what()),
        }
    }
}
