//! Quality estimates of model versions, and the sampling of answers for the rating service.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use eelgrasswell_core::{
    answer_counters::Counters,
    cascade::{self, Candidate},
    hash::{HashMap, stable_hash},
    id::{ClassName, CustomerId, HostId, ModelName, RequestId, VersionName},
    quality::QualityEstimate,
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

use super::{answer_counters::AnswerCounters, links::Links};
use crate::{config::ConfigHandle, event};

/// Share of answers that are sent to the rating service once the quality of a version is well known.
const RATED_SHARE: f64 = 0.05;
/// Maximum number of ratings in progress; further answers are not rated.
const MAX_RATINGS: usize = 64;
/// Timeout for reading and rating one answer.
const RATING_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of an answer that is sent to the rating service, in bytes.
const MAX_RATED_BYTES: usize = 64 << 10;
/// Interval between two updates of the estimates.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Input tokens of a typical request. The costs of models are compared for a request of this size.
const TYPICAL_INPUT_TOKENS: u64 = 400;
/// Output tokens of a typical request: 2.6 million tokens/s over 8,500 requests/s.
const TYPICAL_OUTPUT_TOKENS: u64 = 300;

/// Shared handle on the quality estimates.
#[derive(Clone)]
pub struct Quality {
    config: ConfigHandle,
    answer_counters: AnswerCounters,
    links: Links,
    ratings: Option<RatingClient>,
    rating_permits: Arc<Semaphore>,
    state: Arc<Mutex<HashMap<(ModelName, VersionName), VersionEstimate>>>,
}

struct VersionEstimate {
    estimate: QualityEstimate,
    /// Totals that `estimate` already includes.
    included: Counters,
}

/// Identifies an answer to be rated.
#[derive(Clone, Debug)]
struct AnswerRef {
    request: RequestId,
    customer: CustomerId,
    model: ModelName,
    version: VersionName,
}

impl Quality {
    /// Creates the component with the prior quality values of the manifest. `ratings` is the address of
    /// the rating service.
    pub fn open(
        ratings: Option<SocketAddr>,
        config: ConfigHandle,
        answer_counters: AnswerCounters,
        links: Links,
    ) -> Self {
        Self {
            config,
            answer_counters,
            links,
            ratings: ratings.map(RatingClient::open),
            rating_permits: Arc::new(Semaphore::new(MAX_RATINGS)),
            state: Arc::default(),
        }
    }

    /// Starts the task that updates the estimates.
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

    /// Candidate models of the class for this request, limited to those that the customer may use: the
    /// preferred model first, then stronger models to escalate to.
    pub fn rank_models(&self, customer: &CustomerId, class: &ClassName, request: &RequestId) -> Vec<ModelName> {
        let config = self.config.current();
        let manifest = &config.manifest;
        let (Some(customer), Some(declared)) = (manifest.customers.get(customer), manifest.classes.get(class)) else {
            return Vec::new();
        };
        let Some(target) = customer.quality_targets.get(class) else { return Vec::new() };
        let allowed = declared.candidates.iter().filter(|model| customer.models.contains_key(*model));
        let models: Vec<&ModelName> = allowed.filter(|model| !config.version_weights(model).is_empty()).collect();
        let candidates: Vec<Candidate> = models.iter().filter_map(|model| self.candidate(&config, model)).collect();
        let draw = stable_hash(&["cascade", request.as_str()]) as f64 / u64::MAX as f64;
        let order = cascade::candidate_order(&candidates, *target, draw);
        order.into_iter().map(|index| models[index].clone()).collect()
    }

    /// Selects a random sample of the answers and has each selected answer rated in the background.
    /// The answer is read from the agent that stores it, so that the request itself is not delayed.
    pub fn sample_answer(&self, request: &RequestId, customer: &CustomerId, model: &ModelName, version: &VersionName) {
        let Some(ratings) = self.ratings.clone() else { return };
        let share = self.estimate(&self.config.current(), model, version).rating_share(RATED_SHARE);
        if rand::random::<f64>() >= share {
            return;
        }
        let answer = AnswerRef {
            request: request.clone(),
            customer: customer.clone(),
            model: model.clone(),
            version: version.clone(),
        };
        let permit = match Arc::clone(&self.rating_permits).try_acquire_owned() {
            Ok(permit) => permit,
            Err(TryAcquireError::NoPermits | TryAcquireError::Closed) => return,
        };
        let quality = self.clone();
        tokio::spawn(async move {
            let rating = timeout(RATING_TIMEOUT, quality.rate_answer(&ratings, &answer)).await;
            match rating {
                Ok(Ok(Some(good))) => quality.answer_counters.record_rating(&answer.model, &answer.version, good),
                Ok(Ok(None)) | Err(_) => {}
                Ok(Err(err)) => event!(Debug, "rating_failed", request = answer.request, error = format!("{err:#}")),
            }
            drop(permit);
        });
    }

    async fn rate_answer(&self, ratings: &RatingClient, answer: &AnswerRef) -> Result<Option<bool>> {
        let body = self.read_answer(answer).await?;
        ratings.rate(answer, &body).await
    }

    /// Reads the body of a finished answer from the agent that stores it.
    async fn read_answer(&self, answer: &AnswerRef) -> Result<Vec<u8>> {
        let request = &answer.request;
        let (_, agent) = request.as_str().split_once('.').unwrap_or_default();
        let agent = HostId::from(agent);
        let Some(mut client) = self.links.client(&agent) else { bail!("could not find agent {agent}") };
        let req = ResumeRequest { request_id: request.to_string(), customer: answer.customer.to_string(), offset: 0 };
        let mut events =
            client.resume(req).await.wrap_err_with(|| format!("could not read the answer at {agent}"))?.into_inner();
        let mut body = Vec::new();
        while let Some(event) = events.message().await? {
            match event.event {
                Some(Event::Data(data)) => body.extend_from_slice(&data.chunk),
                Some(Event::Finished(_)) => return Ok(body),
                Some(Event::Refused(refused)) => bail!("could not read the answer at {agent}: {}", refused.reason),
                Some(Event::Failed(failed)) => bail!("could not read the answer at {agent}: {}", failed.reason),
                Some(Event::Accepted(_) | Event::Head(_) | Event::Progress(_)) | None => {}
            }
            if body.len() > MAX_RATED_BYTES {
                bail!("could not rate the answer: it is larger than {MAX_RATED_BYTES} bytes");
            }
        }
        bail!("could not read the answer at {agent}: the stream ended early")
    }

    /// Adds the new ratings of all versions in the manifest to the estimates.
    fn refresh(&self) {
        let config = self.config.current();
        let manifest = &config.manifest;
        let mut state = self.lock();
        state.retain(|(model, _), _| manifest.models.contains_key(model));
        for (name, model) in &manifest.models {
            for version in model.versions.keys() {
                let totals = self.answer_counters.totals(name, version);
                let entry = state.entry((name.clone(), version.clone())).or_insert_with(|| VersionEstimate::new(model));
                let added = totals.since(entry.included);
                entry.included = entry.included.max(totals);
                entry.estimate.add_ratings(added.rated.saturating_sub(added.rated_low), added.rated_low);
            }
        }
    }

    /// Cost and quality of the version of `model` with the largest weight.
    fn candidate(&self, config: &Config, model: &ModelName) -> Option<Candidate> {
        let main = config.version_weights(model).into_iter().max_by_key(|weighted| weighted.permille)?.version;
        let version = config.manifest.models.get(model)?.versions.get(&main)?;
        let cost = version.input_price.0 * TYPICAL_INPUT_TOKENS + version.output_price.0 * TYPICAL_OUTPUT_TOKENS;
        Some(Candidate { cost: cost as f64, quality: self.estimate(config, model, &main) })
    }

    fn estimate(&self, config: &Config, model: &ModelName, version: &VersionName) -> QualityEstimate {
        let prior = config.manifest.models.get(model).map_or(0.5, |model| model.prior_quality);
        if self.ratings.is_none() {
            return QualityEstimate::declared(prior);
        }
        let estimate = self.lock().get(&(model.clone(), version.clone())).map(|entry| entry.estimate);
        estimate.unwrap_or_else(|| QualityEstimate::with_prior(prior))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(ModelName, VersionName), VersionEstimate>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl VersionEstimate {
    fn new(model: &Model) -> Self {
        Self { estimate: QualityEstimate::with_prior(model.prior_quality), included: Counters::default() }
    }
}

/// Client of the rating service.
#[derive(Clone, Debug)]
struct RatingClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Serialize)]
struct RatingRequest<'a> {
    request_id: &'a str,
    model: &'a str,
    version: &'a str,
    answer: &'a str,
}

#[derive(Deserialize)]
struct RatingReply {
    good: bool,
}

impl RatingClient {
    fn open(address: SocketAddr) -> Self {
        Self { address, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Asks the rating service whether an answer with this body is good; none if the service returns no
    /// rating.
    async fn rate(&self, answer: &AnswerRef, body: &[u8]) -> Result<Option<bool>> {
        let rating_request = RatingRequest {
            request_id: answer.request.as_str(),
            model: answer.model.as_str(),
            version: answer.version.as_str(),
            answer: &String::from_utf8_lossy(body),
        };
        let body = serde_json::to_vec(&rating_request).wrap_err("could not build a rating request")?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/rate", self.address))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .wrap_err("could not build a rating request")?;
        let context = || format!("could not get a rating from {}", self.address);
        let response = self.client.request(req).await.wrap_err_with(context)?;
        let status = response.status();
        let body = response.into_body().collect().await.wrap_err_with(context)?.to_bytes();
        match status {
            StatusCode::OK => Ok(Some(serde_json::from_slice::<RatingReply>(&body).wrap_err_with(context)?.good)),
            StatusCode::NO_CONTENT => Ok(None),
            status => bail!("{}: status {status}", context()),
        }
    }
}
