//! Events of one attempt at an agent. When the connection goes silent or breaks, a new one joins
//! the answer at the next byte; the request is never run again here.

use std::{error::Error, sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::{
    id::{CustomerId, HostId, RequestId},
    refusal::Reason,
    retry,
};
use eelgrasswell_proto::v1::{
    Data, ExecuteEvent, ExecuteRequest, Failed, Finished, Head, Refused, ResumeRequest, execute_event,
};
use tokio::time::{sleep, timeout};
use tonic::{Code, Status, Streaming};

use super::backends::Backends;
use crate::{
    controller::links::Client,
    event,
    invariant::{self, Promise},
    telemetry,
};

/// Time without any event after which a connection counts as silent; agents send progress every second.
const SILENCE: Duration = Duration::from_secs(3);
/// Resumptions without a new byte after which the answer is given up.
const MAX_RESUMES: u32 = 5;

/// Events of one attempt, in order and without repetitions.
pub struct Events {
    backends: Arc<dyn Backends>,
    agent: HostId,
    request_id: RequestId,
    customer: CustomerId,
    stream: Option<Streaming<ExecuteEvent>>,
    /// Offset of the first byte to deliver.
    start: u64,
    /// Offset of the next byte to deliver.
    next: u64,
    head_seen: bool,
    resumes: u32,
    /// Whether the connection to the agent may be silent.
    suspect: bool,
}

/// What an attempt brings.
pub enum Event {
    /// Status and headers; comes once, before any data.
    Head(Head),
    /// The next bytes of the answer.
    Data(Bytes),
    /// The answer is complete.
    Finished(Finished),
    /// The agent did not run the request, or says otherwise in `not_run`.
    Refused(Refused),
    /// The backend server failed.
    Failed(Failed),
}

/// The attempt's events ended without a result.
#[derive(Debug)]
pub enum Lost {
    /// The request cannot have reached the agent.
    NotSent,
    /// The agent cannot be reached, or does not hold the answer.
    Gone(Reason),
}

impl Events {
    /// Sends the request to an agent.
    pub async fn execute(
        backends: Arc<dyn Backends>,
        client: &mut Client,
        agent: HostId,
        req: ExecuteRequest,
    ) -> Result<Self, Lost> {
        let customer = req.customer.as_str().into();
        let mut events = Self::new(backends, agent, req.request_id.as_str().into(), customer, 0);
        match timeout(SILENCE, client.execute(req)).await {
            Ok(Ok(response)) => events.stream = Some(response.into_inner()),
            Ok(Err(status)) if never_sent(&status) => return Err(Lost::NotSent),
            Ok(Err(status)) => events.note_loss(&status),
            Err(_) => events.note_loss(&"no event"),
        }
        Ok(events)
    }

    /// Joins a running or held answer at `offset`.
    pub fn join(
        backends: Arc<dyn Backends>,
        agent: HostId,
        request_id: RequestId,
        customer: CustomerId,
        offset: u64,
    ) -> Self {
        Self::new(backends, agent, request_id, customer, offset)
    }

    fn new(
        backends: Arc<dyn Backends>,
        agent: HostId,
        request_id: RequestId,
        customer: CustomerId,
        offset: u64,
    ) -> Self {
        Self {
            backends,
            agent,
            request_id,
            customer,
            stream: None,
            start: offset,
            next: offset,
            head_seen: false,
            resumes: 0,
            suspect: false,
        }
    }

    /// The next event.
    pub async fn next(&mut self) -> Result<Event, Lost> {
        loop {
            let Some(stream) = &mut self.stream else {
                self.resume().await?;
                continue;
            };
            let message = match timeout(SILENCE, stream.message()).await {
                Ok(Ok(Some(message))) => message,
                Ok(Ok(None)) => {
                    self.lose(&"stream ended without a result");
                    continue;
                }
                Ok(Err(status)) => {
                    self.lose(&status);
                    continue;
                }
                Err(_) => {
                    self.lose(&"no event");
                    continue;
                }
            };
            if let Some(event) = self.take(message)? {
                return Ok(event);
            }
        }
    }

    /// Offset of the next byte.
    pub fn offset(&self) -> u64 {
        self.next
    }

    /// Filters one message: drops repetitions, and leaves the connection when bytes are missing.
    fn take(&mut self, message: ExecuteEvent) -> Result<Option<Event>, Lost> {
        use execute_event::Event as Message;
        Ok(match message.event {
            None | Some(Message::Accepted(_) | Message::Progress(_)) => None,
            Some(Message::Head(head)) => {
                let first = !self.head_seen;
                self.head_seen = true;
                first.then_some(Event::Head(head))
            }
            Some(Message::Data(data)) => self.take_data(data),
            Some(Message::Finished(finished)) => self.take_finished(finished),
            Some(Message::Refused(refused)) => Some(Event::Refused(refused)),
            Some(Message::Failed(failed)) if failed.reason == Reason::AnswerGone.as_str() => {
                return Err(Lost::Gone(Reason::AnswerGone));
            }
            Some(Message::Failed(failed)) => Some(Event::Failed(failed)),
        })
    }

    fn take_data(&mut self, data: Data) -> Option<Event> {
        let Data { offset, mut chunk } = data;
        if offset > self.next {
            self.lose(&format!("bytes {} to {offset} are missing", self.next));
            return None;
        }
        let seen = usize::try_from(self.next - offset).unwrap_or(usize::MAX);
        if seen >= chunk.len() {
            return None;
        }
        let fresh = chunk.split_off(seen);
        self.next += fresh.len() as u64;
        self.resumes = 0;
        Some(Event::Data(fresh))
    }

    fn take_finished(&mut self, finished: Finished) -> Option<Event> {
        if self.next < finished.length {
            self.lose(&format!("the answer ends at byte {} of {}", self.next, finished.length));
            return None;
        }
        let bill = finished.bill.as_ref();
        let own = bill.is_none_or(|bill| bill.request_id == self.request_id.as_str());
        let past_end = self.start > finished.length;
        invariant::check(Promise::Answer, own && (past_end || self.next == finished.length), || {
            let answered = bill.map_or("none", |bill| bill.request_id.as_str());
            format!(
                "request {} got an answer of {answered} with {} bytes of {}",
                self.request_id, self.next, finished.length
            )
        });
        Some(Event::Finished(finished))
    }

    fn lose(&mut self, why: &dyn std::fmt::Display) {
        self.stream = None;
        self.note_loss(why);
    }

    fn note_loss(&mut self, why: &dyn std::fmt::Display) {
        self.suspect = true;
        event!(Info, "agent_stream_lost", agent = self.agent, request = self.request_id, at = self.next, error = why);
    }

    async fn resume(&mut self) -> Result<(), Lost> {
        if self.resumes >= MAX_RESUMES {
            return Err(Lost::Gone(Reason::ConnectionLost));
        }
        if self.resumes > 0 {
            let pause = retry::backoff(self.resumes, &mut rand::rng());
            sleep(pause.into()).await;
        }
        self.resumes += 1;
        metrics::counter!(telemetry::RETRIES, "reason" => "resume").increment(1);
        if std::mem::take(&mut self.suspect) {
            self.backends.reconnect(&self.agent);
        }
        let Some(mut client) = self.backends.client(&self.agent) else {
            return Err(Lost::Gone(Reason::ConnectionLost));
        };
        let req = ResumeRequest {
            request_id: self.request_id.to_string(),
            customer: self.customer.to_string(),
            offset: self.next,
        };
        match timeout(SILENCE, client.resume(req)).await {
            Ok(Ok(response)) => self.stream = Some(response.into_inner()),
            Ok(Err(status)) if matches!(status.code(), Code::NotFound | Code::PermissionDenied) => {
                return Err(Lost::Gone(Reason::AnswerGone));
            }
            Ok(Err(status)) => self.note_loss(&status),
            Err(_) => self.note_loss(&"no event"),
        }
        Ok(())
    }
}

impl Lost {
    /// The reason as a caller sees it.
    pub fn reason(&self) -> Reason {
        match self {
            Self::NotSent => Reason::NoBackend,
            Self::Gone(reason) => *reason,
        }
    }
}

/// The reason that an agent gave.
pub fn reason(text: &str) -> Reason {
    text.parse().unwrap_or(Reason::Internal)
}

/// Whether the call failed while connecting, before any byte of it could be sent.
fn never_sent(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(err) = source {
        if err.is::<tonic::ConnectError>() {
            return true;
        }
        source = err.source();
    }
    false
}
