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
const EVENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Resumptions without a new byte after which the answer is given up.
const MAX_RESUMES_WITHOUT_DATA: u32 = 5;

/// Events of one attempt, in order and without repetitions.
pub struct AttemptEvents {
    backends: Arc<dyn Backends>,
    agent: HostId,
    request_id: RequestId,
    customer: CustomerId,
    stream: Option<Streaming<ExecuteEvent>>,
    /// Offset of the first byte to deliver.
    start_offset: u64,
    /// Offset of the next byte to deliver.
    next_offset: u64,
    head_delivered: bool,
    resumes_without_data: u32,
    /// Whether the connection to the agent may be silent.
    reconnect_needed: bool,
}

/// What an attempt brings.
pub enum AttemptEvent {
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
pub enum StreamError {
    /// The request cannot have reached the agent.
    NotSent,
    /// The agent cannot be reached, or does not hold the answer.
    AnswerUnavailable(Reason),
}

impl AttemptEvents {
    /// Sends the request to an agent.
    pub async fn execute(
        backends: Arc<dyn Backends>,
        client: &mut Client,
        agent: HostId,
        req: ExecuteRequest,
    ) -> Result<Self, StreamError> {
        let customer = req.customer.as_str().into();
        let mut events = Self::new(backends, agent, req.request_id.as_str().into(), customer, 0);
        match timeout(EVENT_TIMEOUT, client.execute(req)).await {
            Ok(Ok(response)) => events.stream = Some(response.into_inner()),
            Ok(Err(status)) if failed_to_connect(&status) => return Err(StreamError::NotSent),
            Ok(Err(status)) => events.record_stream_loss(&status),
            Err(_) => events.record_stream_loss(&"no event"),
        }
        Ok(events)
    }

    /// Joins a running or held answer at `offset`.
    pub fn resume_at(
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
            start_offset: offset,
            next_offset: offset,
            head_delivered: false,
            resumes_without_data: 0,
            reconnect_needed: false,
        }
    }

    /// The next event.
    pub async fn next(&mut self) -> Result<AttemptEvent, StreamError> {
        loop {
            let Some(stream) = &mut self.stream else {
                self.resume().await?;
                continue;
            };
            let message = match timeout(EVENT_TIMEOUT, stream.message()).await {
                Ok(Ok(Some(message))) => message,
                Ok(Ok(None)) => {
                    self.drop_stream(&"stream ended without a result");
                    continue;
                }
                Ok(Err(status)) => {
                    self.drop_stream(&status);
                    continue;
                }
                Err(_) => {
                    self.drop_stream(&"no event");
                    continue;
                }
            };
            if let Some(event) = self.process_message(message)? {
                return Ok(event);
            }
        }
    }

    /// Offset of the next byte.
    pub fn offset(&self) -> u64 {
        self.next_offset
    }

    /// Filters one message: drops repetitions, and leaves the connection when bytes are missing.
    fn process_message(&mut self, message: ExecuteEvent) -> Result<Option<AttemptEvent>, StreamError> {
        use execute_event::Event as Message;
        Ok(match message.event {
            None | Some(Message::Accepted(_) | Message::Progress(_)) => None,
            Some(Message::Head(head)) => {
                let first = !self.head_delivered;
                self.head_delivered = true;
                first.then_some(AttemptEvent::Head(head))
            }
            Some(Message::Data(data)) => self.process_data(data),
            Some(Message::Finished(finished)) => self.process_finished(finished),
            Some(Message::Refused(refused)) => Some(AttemptEvent::Refused(refused)),
            Some(Message::Failed(failed)) if failed.reason == Reason::AnswerGone.as_str() => {
                return Err(StreamError::AnswerUnavailable(Reason::AnswerGone));
            }
            Some(Message::Failed(failed)) => Some(AttemptEvent::Failed(failed)),
        })
    }

    fn process_data(&mut self, data: Data) -> Option<AttemptEvent> {
        let Data { offset, mut chunk } = data;
        if offset > self.next_offset {
            self.drop_stream(&format!("bytes {} to {offset} are missing", self.next_offset));
            return None;
        }
        let delivered = usize::try_from(self.next_offset - offset).unwrap_or(usize::MAX);
        if delivered >= chunk.len() {
            return None;
        }
        let fresh = chunk.split_off(delivered);
        self.next_offset += fresh.len() as u64;
        self.resumes_without_data = 0;
        Some(AttemptEvent::Data(fresh))
    }

    fn process_finished(&mut self, finished: Finished) -> Option<AttemptEvent> {
        if self.next_offset < finished.length {
            self.drop_stream(&format!("the answer ends at byte {} of {}", self.next_offset, finished.length));
            return None;
        }
        let bill = finished.bill.as_ref();
        let is_own = bill.is_none_or(|bill| bill.request_id == self.request_id.as_str());
        let past_end = self.start_offset > finished.length;
        invariant::check(Promise::Answer, is_own && (past_end || self.next_offset == finished.length), || {
            let answered = bill.map_or("none", |bill| bill.request_id.as_str());
            format!(
                "request {} got an answer of {answered} with {} bytes of {}",
                self.request_id, self.next_offset, finished.length
            )
        });
        Some(AttemptEvent::Finished(finished))
    }

    fn drop_stream(&mut self, why: &dyn std::fmt::Display) {
        self.stream = None;
        self.record_stream_loss(why);
    }

    fn record_stream_loss(&mut self, why: &dyn std::fmt::Display) {
        self.reconnect_needed = true;
        event!(
            Info,
            "agent_stream_lost",
            agent = self.agent,
            request = self.request_id,
            at = self.next_offset,
            error = why
        );
    }

    async fn resume(&mut self) -> Result<(), StreamError> {
        if self.resumes_without_data >= MAX_RESUMES_WITHOUT_DATA {
            return Err(StreamError::AnswerUnavailable(Reason::ConnectionLost));
        }
        if self.resumes_without_data > 0 {
            let pause = retry::backoff(self.resumes_without_data, &mut rand::rng());
            sleep(pause.into()).await;
        }
        self.resumes_without_data += 1;
        metrics::counter!(telemetry::RETRIES, "reason" => "resume").increment(1);
        if std::mem::take(&mut self.reconnect_needed) {
            self.backends.reconnect(&self.agent);
        }
        let Some(mut client) = self.backends.client(&self.agent) else {
            return Err(StreamError::AnswerUnavailable(Reason::ConnectionLost));
        };
        let req = ResumeRequest {
            request_id: self.request_id.to_string(),
            customer: self.customer.to_string(),
            offset: self.next_offset,
        };
        match timeout(EVENT_TIMEOUT, client.resume(req)).await {
            Ok(Ok(response)) => self.stream = Some(response.into_inner()),
            Ok(Err(status)) if matches!(status.code(), Code::NotFound | Code::PermissionDenied) => {
                return Err(StreamError::AnswerUnavailable(Reason::AnswerGone));
            }
            Ok(Err(status)) => self.record_stream_loss(&status),
            Err(_) => self.record_stream_loss(&"no event"),
        }
        Ok(())
    }
}

impl StreamError {
    /// The reason as a caller sees it.
    pub fn reason(&self) -> Reason {
        match self {
            Self::NotSent => Reason::NoBackend,
            Self::AnswerUnavailable(reason) => *reason,
        }
    }
}

/// The reason that an agent gave.
pub fn parse_reason(text: &str) -> Reason {
    text.parse().unwrap_or(Reason::Internal)
}

/// Whether the call failed while connecting, before any byte of it could be sent.
fn failed_to_connect(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(err) = source {
        if err.is::<tonic::ConnectError>() {
            return true;
        }
        source = err.source();
    }
    false
}
