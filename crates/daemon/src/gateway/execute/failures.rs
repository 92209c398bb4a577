//! What follows a send without an answer: another send, or the failure for the caller.

use std::time::Duration;

use eelgrasswell_core::{
    crash_evidence::Block,
    pause,
    pool::Unavailable,
    refusal::{Reason, Refusal},
    repeat::Purpose,
    unit::Millis,
};
use tokio::time::sleep;

use super::{COLD_RETRY_INTERVAL, Execution, MAX_SENDS, MIN_REPEAT_TIME, SendFailure};
use crate::{callers::failure::Failure, event};

/// Maximum time that a request waits while every server is cold and has reached its request limit.
const MAX_COLD_WAIT: Duration = Duration::from_millis(250);
/// `Retry-After` when no server can take the request.
const NO_BACKEND_RETRY_AFTER: Millis = Millis(400);
/// `Retry-After` for requests with a part that crashes servers. A part seldom becomes harmless within seconds.
const BLOCKED_RETRY_AFTER: Millis = Millis(30_000);

impl Execution {
    /// Decides whether to send the request again after a send without an answer: Ok to send it, or the failure for the
    /// caller.
    pub(super) async fn handle_failure(&mut self, failure: SendFailure) -> Result<(), Failure> {
        event!(Info, "send_ended", request = self.call.id, error = failure);
        if self.call.remaining().is_zero() {
            return Err(self.deadline_failure());
        }
        match failure {
            SendFailure::Unavailable(why) => self.handle_unavailable(why).await,
            SendFailure::Blocked(block) => Err(self.blocked_failure(block)),
            SendFailure::NotRun { .. } => {
                let why = if !self.attempts.allows_another(self.limits()) {
                    "one has refused, and its tries are used up"
                } else if self.call.remaining() <= MIN_REPEAT_TIME {
                    "one has refused, and no time is left for another"
                } else if !self.gateway.try_acquire_repeat(&self.call.service, Purpose::Failure) {
                    "one has refused, and the budget of repeats is used up"
                } else {
                    return Ok(());
                };
                Err(self.no_backend_failure(why, self.no_backend_retry_after()))
            }
            SendFailure::Failed { .. } | SendFailure::Lost { .. } if self.try_acquire_repeat(Purpose::Failure) => {
                Ok(())
            }
            SendFailure::Failed { status, .. } => {
                Err(Failure::unknown(Reason::BackendError, format!("the backend server failed with {status}")))
            }
            SendFailure::Lost { why, .. } => Err(lost_failure(&why)),
        }
    }

    async fn handle_unavailable(&mut self, why: Unavailable) -> Result<(), Failure> {
        let waited = self.call.arrived.elapsed();
        match why {
            Unavailable::Cold if waited < MAX_COLD_WAIT => {
                sleep(COLD_RETRY_INTERVAL).await;
                return Ok(());
            }
            Unavailable::AllTried if !self.tried.is_empty() && self.attempts.sends() < MAX_SENDS => {
                self.tried.clear();
                return Ok(());
            }
            Unavailable::Cold | Unavailable::AllTried | Unavailable::NoneInService | Unavailable::Paused { .. } => {}
        }
        let (why, wait) = match why {
            // Without servers, there is no rate from which a time could be derived.
            Unavailable::NoneInService => ("none in service", Some(NO_BACKEND_RETRY_AFTER)),
            Unavailable::Cold => ("all are cold", self.no_backend_retry_after()),
            Unavailable::AllTried => ("all have refused", self.no_backend_retry_after()),
            Unavailable::Paused { until } => {
                let wait = pause::retry_after(self.gateway.clock.now(), until, &mut rand::rng());
                ("all have asked for a pause", Some(wait))
            }
        };
        Err(self.no_backend_failure(why, wait))
    }

    /// Failure of the request in its present state. Only a request that certainly has not run is refused, for the reason
    /// `refused`, and may be sent again after `wait`.
    fn failure(&self, refused: Reason, lost: Reason, message: String, wait: Option<Millis>) -> Failure {
        let refusal = self.attempts.refuse(refused, lost);
        let retry_after = wait.filter(|_| !self.attempts.may_have_run());
        Failure { refusal: Refusal { retry_after, ..refusal }, message, request_id: None }
    }

    /// Failure for a request whose deadline has passed.
    pub(super) fn deadline_failure(&self) -> Failure {
        self.failure(Reason::Expired, Reason::Deadline, "the deadline passed before an answer came".into(), None)
    }

    /// Failure for a request that no backend server can take.
    fn no_backend_failure(&self, why: &str, wait: Option<Millis>) -> Failure {
        let message = format!("no backend server can take the request: {why}");
        self.failure(Reason::NoBackend, Reason::ConnectionLost, message, wait)
    }

    fn no_backend_retry_after(&self) -> Option<Millis> {
        match &self.gateway.admission {
            Some(admission) => admission.return_time(&self.call),
            None => Some(NO_BACKEND_RETRY_AFTER),
        }
    }

    /// Failure for a request that is not sent because a part of its prompt crashes servers.
    fn blocked_failure(&self, block: Block) -> Failure {
        let message = format!("{} servers have crashed on requests with a part of this prompt", block.servers);
        self.failure(Reason::CrashesServers, Reason::ConnectionLost, message, Some(BLOCKED_RETRY_AFTER))
    }
}

/// Failure for a request that may have run and got no answer.
pub(super) fn lost_failure(why: &str) -> Failure {
    Failure::unknown(Reason::ConnectionLost, format!("the backend server gave no answer: {why}"))
}
