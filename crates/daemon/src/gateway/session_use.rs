//! Records for how long callers' requests use their sessions, so that a session stays on its version during a rollout.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use eelgrasswell_core::{
    canary::{Canary, OrderState, VersionRule},
    id::{ServiceName, VersionName},
    unit::Millis,
};
use eyre::Report;
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};
use tokio::time::sleep;

use super::{
    Gateway, State,
    request::{Call, SessionDigest},
};
use crate::{callers::Body, event, sync::lock};

/// Interval at which the pins of sessions with requests in progress are renewed, so that other gateways learn of them.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time by which a session stays longer than the caller knows: its answer reaches the caller, and the caller's next request
/// the gateway, later than they were sent.
const SESSION_MARGIN: Millis = Millis(300);

/// The use of a session by one request. It ends when this is dropped.
pub struct SessionUse {
    gateway: Gateway,
    service: ServiceName,
    session: u64,
}

impl SessionUse {
    /// Begins the use of the session of `call`.
    pub fn begin(gateway: &Gateway, call: &Call) -> Self {
        lock(&gateway.sessions).begin(call.session);
        gateway.renew_session(&call.service, call.session);
        Self { gateway: gateway.clone(), service: call.service.clone(), session: call.session }
    }

    /// A body that ends the use when it has been sent, or is dropped.
    pub fn hold_by(self, body: Body) -> Body {
        UsedBody { body, _session: self }.boxed_unsync()
    }
}

impl Drop for SessionUse {
    fn drop(&mut self) {
        let (now, session_time) = (self.gateway.clock.now(), self.gateway.session_timeout());
        lock(&self.gateway.sessions).end(now, session_time, self.session);
        self.gateway.renew_session(&self.service, self.session);
    }
}

/// The body of an answer, with the use of its session.
struct UsedBody {
    body: Body,
    _session: SessionUse,
}

impl hyper::body::Body for UsedBody {
    type Data = Bytes;
    type Error = Report;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Starts a task that renews the pins of sessions with requests in progress.
pub fn spawn_renewal(gateway: Gateway) {
    tokio::spawn(async move {
        loop {
            sleep(RENEWAL_INTERVAL).await;
            gateway.renew_sessions();
        }
    });
}

impl State {
    /// Versions that a request may run on if it is sent now, according to the rollout of its service. Each send asks again,
    /// since orders come and go while a request is repeated.
    pub fn version_rule(&self, call: &Call) -> VersionRule {
        let now = self.clock.now();
        let session_time = self.session_timeout();
        let mut canaries = lock(&self.canaries);
        let Some(canary) = canaries.get_mut(&call.service) else { return VersionRule::default() };
        let (pin, elapsed) = (canary.pin(now, call.session, session_time), canary.elapsed(now));
        let rule = canary.version_rule(now, call.session, session_time);
        let in_progress = is_in_progress(canary);
        drop(canaries);
        if in_progress {
            event!(
                Info,
                "version_chosen",
                request = call.id,
                session = SessionDigest(call.session),
                service = call.service,
                pin = pin,
                elapsed = elapsed,
                only = rule.only.as_ref().map_or("none", VersionName::as_str),
                excluded = rule.excluded.as_ref().map_or("none", VersionName::as_str)
            );
        }
        rule
    }

    /// Records that a request ran on `version`, which the rule may only have preferred.
    pub fn record_run(&self, call: &Call, version: &VersionName) {
        let now = self.clock.now();
        let session_time = self.session_timeout();
        if let Some(canary) = lock(&self.canaries).get_mut(&call.service).filter(|canary| is_in_progress(canary)) {
            canary.record_run(now, call.session, version, session_time);
        }
    }

    /// Idle time after which a session has expired.
    pub fn session_timeout(&self) -> Millis {
        self.settings().bounds.session_timeout() + SESSION_MARGIN
    }

    /// Renews the pin of a session whose request begins or ends just now. A request that begins in time may wait before it
    /// is sent.
    fn renew_session(&self, service: &ServiceName, session: u64) {
        let (now, session_time) = (self.clock.now(), self.session_timeout());
        if let Some(canary) = lock(&self.canaries).get_mut(service).filter(|canary| is_in_progress(canary)) {
            canary.renew(now, session, session_time);
        }
    }

    fn renew_sessions(&self) {
        let now = self.clock.now();
        let session_time = self.session_timeout();
        let in_progress: Vec<u64> = lock(&self.sessions).in_progress().collect();
        let mut canaries = lock(&self.canaries);
        for canary in canaries.values_mut().filter(|canary| is_in_progress(canary)) {
            in_progress.iter().for_each(|session| canary.renew(now, *session, session_time));
        }
    }
}

/// Whether a rollout is in progress. After its end, no session needs a pin.
fn is_in_progress(canary: &Canary) -> bool {
    matches!(canary.order().state, OrderState::New | OrderState::Running) && !canary.is_bad()
}
