//! Runs a request: which model answers, and whether it is sent once more.

use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use eelgrasswell_core::{
    attempt::{Attempts, Limits},
    canary::VersionRule,
    escalation::EscalationSteps,
    id::{BackendId, ModelName},
    latency,
    pool::Unavailable,
    refusal::Reason,
    repeat::Purpose,
    unit::Millis,
};
use eelgrasswell_platform::{objects::Kind, request::ModelSelection};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, StatusCode, header::CONTENT_LENGTH};
use tokio::time::{Instant, sleep, timeout_at};

use super::{
    Gateway,
    attempt::{Answer, Attempt, Ended},
    relay::Relay,
    request::Call,
};
use crate::{
    callers::{
        body::{Body, full},
        failure::Failure,
        headers,
    },
    event,
    sync::lock,
    telemetry,
};

/// Sends of one request, refused ones included.
const MAX_SENDS: u32 = 5;
/// Time without which a request is not sent once more.
const LEAST_TIME: Duration = Duration::from_millis(60);
/// Longest time that a request waits for a cold server's share to come free.
const COLD_WAIT: Duration = Duration::from_millis(250);
/// Pause before a cold server's share is asked for again.
const COLD_PAUSE: Duration = Duration::from_millis(40);
/// Time after which a caller should come back when no server can take its request.
const NO_BACKEND_PAUSE: Millis = Millis(400);
/// Largest answer that is read whole before it is passed on.
const MAX_WHOLE: usize = 1 << 20;

/// A request under way.
pub struct Execution {
    /// The gateway.
    pub gateway: Gateway,
    /// The request.
    pub call: Arc<Call>,
    ladder: EscalationSteps,
    step: usize,
    rule: VersionRule,
    tried: Vec<BackendId>,
    attempts: Attempts,
}

impl Execution {
    /// Prepares to run `call`.
    pub fn new(gateway: Gateway, call: Call) -> Self {
        gateway.note_request(&call.service);
        let rule = gateway.version_rule(&call);
        let ladder = EscalationSteps::new(call.models());
        Self { gateway, call: Arc::new(call), ladder, step: 0, rule, tried: Vec::new(), attempts: Attempts::default() }
    }

    /// Runs the request until its answer begins.
    pub async fn start(mut self) -> Result<Response<Body>, Failure> {
        let answer = loop {
            match self.attempt(None).await {
                Ok(answer) if answer.status.is_server_error() && self.may_repeat(Purpose::Failure) => {
                    self.log_repeat(&answer);
                    tokio::spawn(answer.drain());
                }
                Ok(answer) => break answer,
                Err(ended) => self.after(ended).await?,
            }
        };
        if !answer.status.is_server_error() && self.escalates(&answer) {
            return self.escalate(answer).await;
        }
        self.respond(answer).await
    }

    /// Asks the larger model. The smaller one's answer is kept until the larger one's begins: an answer that is there is
    /// better than none.
    async fn escalate(mut self, smaller: Answer) -> Result<Response<Body>, Failure> {
        event!(Info, "escalated", request = self.call.id, confidence = smaller.meta.confidence.unwrap_or(0));
        self.step += 1;
        self.tried.clear();
        loop {
            match self.attempt(None).await {
                Ok(answer) if !answer.status.is_server_error() => {
                    tokio::spawn(smaller.drain());
                    return self.respond(answer).await;
                }
                Ok(answer) => {
                    let error = format!("failed at {} with {}", answer.place.backend.id, answer.status);
                    event!(Info, "send_ended", request = self.call.id, error = error);
                    break;
                }
                Err(ended) => {
                    event!(Info, "send_ended", request = self.call.id, error = ended);
                    if !matches!(ended, Ended::NotRun { .. }) || !self.may_repeat(Purpose::Escalation) {
                        break;
                    }
                }
            }
        }
        self.step -= 1;
        self.respond(smaller).await
    }

    /// Goes on with a stream after the event `last_id`, at another server. None when that can't be done. The first
    /// send has been `granted` by the budget, or is taken from it.
    pub async fn resume(&mut self, last_id: Option<&str>, granted: bool) -> Option<Answer> {
        let mut granted = granted;
        while std::mem::take(&mut granted) || self.may_repeat(Purpose::Failure) {
            match self.attempt(last_id).await {
                Ok(answer) if answer.status.is_success() => return Some(answer),
                Ok(answer) => {
                    event!(Info, "resume_failed", request = self.call.id, status = answer.status.as_u16());
                    tokio::spawn(answer.drain());
                }
                Err(ended) => {
                    event!(Info, "resume_failed", request = self.call.id, error = ended);
                    if matches!(ended, Ended::Unavailable(_)) {
                        sleep(COLD_PAUSE).await;
                    }
                }
            }
        }
        None
    }

    /// Whether another send is allowed; takes it from the budget.
    pub fn may_repeat(&self, purpose: Purpose) -> bool {
        self.attempts.allows_another(self.limits())
            && self.call.remaining() > LEAST_TIME
            && self.gateway.take_repeat(&self.call.service, purpose)
    }

    fn limits(&self) -> Limits {
        let route = &self.call.route;
        Limits { idempotent: route.kind.is_idempotent(), max_runs: route.max_attempts, max_sends: MAX_SENDS }
    }

    /// Logs that a failure is not passed on, since the request is repeated.
    fn log_repeat(&self, failed: &Answer) {
        event!(
            Info,
            "repeated",
            request = self.call.id,
            reason = "failed",
            status = failed.status.as_u16(),
            backend = failed.place.backend.id
        );
    }

    fn log_answer(&self, answer: &Answer) {
        let call = &self.call;
        let backend = &answer.place.backend;
        let elapsed = Millis::from(call.arrived.elapsed());
        let kind = if call.route.kind.is_stream() { "stream" } else { "plain" };
        metrics::histogram!(telemetry::FIRST_BYTE, "kind" => kind).record(elapsed.0 as f64 / 1_000.0);
        metrics::counter!(telemetry::ANSWERS, "kind" => kind).increment(1);
        event!(
            Info,
            "answered",
            request = call.id,
            route = call.route.name,
            status = answer.status.as_u16(),
            after = elapsed,
            backend = backend.id,
            version = backend.version,
            model = self.model().unwrap_or_default(),
            confidence = answer.meta.confidence.map_or_else(|| "none".into(), |rating| rating.to_string()),
            sends = self.attempts.sends(),
            config = call.site.version,
            config_age = self.gateway.mirror.age(Kind::Config, self.gateway.clock.now()).unwrap_or_default()
        );
    }

    async fn attempt(&mut self, resume_after: Option<&str>) -> Result<Answer, Ended> {
        let model = self.model();
        let attempt = Attempt {
            call: &self.call,
            model: model.as_ref(),
            resume_after,
            rule: &self.rule,
            tried: &self.tried,
            limit: self.patience(),
            overdue_after: self.overdue_after(),
        };
        let result = attempt.run(&self.gateway).await;
        match &result {
            Ok(answer) => {
                self.attempts.note_run();
                self.tried.push(answer.place.backend.id.clone());
            }
            Err(Ended::Lost { backend, .. }) => {
                self.attempts.note_run();
                self.tried.push(backend.id.clone());
            }
            Err(Ended::NotRun { backend, .. }) => {
                self.attempts.note_not_run();
                self.tried.push(backend.id.clone());
            }
            Err(Ended::Unavailable(_)) => {}
        }
        result
    }

    fn model(&self) -> Option<ModelName> {
        match &self.call.meta.model {
            ModelSelection::Any => self.ladder.model(self.step).cloned(),
            ModelSelection::Named(model) => Some(model.clone()),
            ModelSelection::None => None,
        }
    }

    /// When to stop waiting for the head of an answer.
    fn patience(&self) -> Instant {
        let mut after_loss = self.attempts;
        after_loss.note_run();
        let may_go_elsewhere = after_loss.allows_another(self.limits());
        if !may_go_elsewhere {
            return self.call.deadline;
        }
        let left = Millis::from(self.call.remaining());
        Instant::now() + Duration::from(latency::attempt_timeout(self.call.route.objective, self.expected(), left))
    }

    /// Usual time to the beginning of the answer of the model in use.
    fn expected(&self) -> Option<Millis> {
        self.usual(&self.model().unwrap_or_default())
    }

    /// Usual time to the beginning of an answer of `model` to this request.
    fn usual(&self, model: &ModelName) -> Option<Millis> {
        self.gateway.evidence.expected(&self.call.service, model, self.call.meta.prompt.0)
    }

    /// Time after which a server that has not answered counts as silent for other requests.
    fn overdue_after(&self) -> Millis {
        latency::overdue_after(self.call.route.objective, self.expected())
    }

    fn escalates(&self, answer: &Answer) -> bool {
        let call = &self.call;
        let to_objective = call.route.objective.saturating_sub(Millis::from(call.arrived.elapsed()));
        let left = to_objective.min(Millis::from(call.remaining()));
        let usual = self.ladder.model(self.step + 1).and_then(|larger| self.usual(larger));
        self.ladder.should_escalate(self.step, answer.meta.confidence, usual, left)
            && self.may_repeat(Purpose::Escalation)
    }

    /// Decides whether to go on after a send without an answer.
    async fn after(&mut self, ended: Ended) -> Result<(), Failure> {
        event!(Info, "send_ended", request = self.call.id, error = ended);
        if self.call.remaining().is_zero() {
            return Err(if self.attempts.may_have_run() { deadline_passed() } else { expired() });
        }
        match ended {
            Ended::Unavailable(why) => self.after_unavailable(why).await,
            Ended::NotRun { .. } => {
                let why = if !self.attempts.allows_another(self.limits()) {
                    "one has refused, and its tries are used up"
                } else if self.call.remaining() <= LEAST_TIME {
                    "one has refused, and no time is left for another"
                } else if !self.gateway.take_repeat(&self.call.service, Purpose::Failure) {
                    "one has refused, and the budget of repeats is used up"
                } else {
                    return Ok(());
                };
                // An earlier send may have run, so that a promise would be false.
                Err(if self.attempts.may_have_run() { lost(why) } else { no_backend(why) })
            }
            Ended::Lost { why, .. } => {
                if self.may_repeat(Purpose::Failure) {
                    Ok(())
                } else {
                    Err(lost(&why))
                }
            }
        }
    }

    async fn after_unavailable(&mut self, why: Unavailable) -> Result<(), Failure> {
        let waited = self.call.arrived.elapsed();
        match why {
            Unavailable::Cold if waited < COLD_WAIT => {
                sleep(COLD_PAUSE).await;
                return Ok(());
            }
            Unavailable::AllTried if !self.tried.is_empty() && self.attempts.sends() < MAX_SENDS => {
                self.tried.clear();
                return Ok(());
            }
            Unavailable::Cold | Unavailable::AllTried | Unavailable::NoneInService => {}
        }
        if self.attempts.may_have_run() {
            return Err(lost("no other server can take the request"));
        }
        Err(no_backend(match why {
            Unavailable::NoneInService => "none in service",
            Unavailable::Cold => "all are cold",
            Unavailable::AllTried => "all have refused",
        }))
    }

    /// The caller's answer: a stream is relayed, anything else is read whole first.
    async fn respond(mut self, answer: Answer) -> Result<Response<Body>, Failure> {
        self.log_answer(&answer);
        let is_stream = self.call.route.kind.is_stream() && answer.status.is_success();
        let mut answer = answer;
        loop {
            let (status, headers) = (answer.status, headers::end_to_end(&answer.headers));
            if is_stream {
                return Ok(response(status, headers, Relay::new(self, answer).into_body()));
            }
            let whole = timeout_at(self.call.deadline, read_whole(answer)).await;
            let why = match whole {
                Ok(Ok(body)) => return Ok(response(status, headers, body)),
                Ok(Err(why)) => why,
                Err(_) => return Err(deadline_passed()),
            };
            event!(Info, "answer_broken", request = self.call.id, error = why);
            loop {
                if !self.may_repeat(Purpose::Failure) {
                    return Err(lost(&why));
                }
                match self.attempt(None).await {
                    Ok(next) => {
                        answer = next;
                        break;
                    }
                    Err(ended) => self.after(ended).await?,
                }
            }
        }
    }
}

impl super::State {
    /// Versions that a request may run on, by the order for its service.
    fn version_rule(&self, call: &Call) -> VersionRule {
        let now = self.clock.now();
        let session_time = self.settings().bounds.session();
        self.note_session(call.session, now, session_time);
        match lock(&self.canaries).get_mut(&call.service) {
            Some(canary) => canary.rule(now, call.session, session_time),
            None => VersionRule::default(),
        }
    }

    fn note_session(&self, session: u64, now: Millis, session_time: Millis) {
        /// Most sessions remembered.
        const MAX_SESSIONS: usize = 20_000;
        let mut sessions = lock(&self.sessions);
        if sessions.len() >= MAX_SESSIONS {
            sessions.retain(|_, used| now.saturating_sub(*used) < session_time);
        }
        sessions.insert(session, now);
    }
}

/// The deadline has passed, and the request has not run.
fn expired() -> Failure {
    Failure::not_run(Reason::Expired, "the deadline passed before the request could run")
}

/// The deadline has passed, and the request may have run.
fn deadline_passed() -> Failure {
    Failure::unknown(Reason::Deadline, "the deadline passed before an answer came")
}

/// The request may have run, and no answer came.
fn lost(why: &str) -> Failure {
    Failure::unknown(Reason::ConnectionLost, format!("the backend server gave no answer: {why}"))
}

fn no_backend(why: &str) -> Failure {
    let message = format!("no backend server can take the request: {why}");
    Failure::not_run(Reason::NoBackend, message).retry_after(NO_BACKEND_PAUSE)
}

fn response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}

/// Reads an answer to its end. One that is too large is passed on as it comes, after what was read.
async fn read_whole(mut answer: Answer) -> Result<Body, String> {
    let mut buf = BytesMut::new();
    while let Some(frame) = answer.body.frame().await {
        let frame = frame.map_err(|err| super::net::describe(&err))?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() > MAX_WHOLE {
            return Ok(Relay::plain(buf.freeze(), answer).into_body());
        }
    }
    answer.finish();
    Ok(full(buf))
}
