//! Events of one attempt at an agent. When the stream breaks or times out, the answer is resumed at the next byte on a
//! new stream. The request is never run again here.

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

/// Time without any event after which a stream counts as lost. Agents send a progress event every second.
const EVENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of consecutive resumptions without a new byte before the answer counts as unavailable.
const MAX_RESUMES_WITHOUT_DATA: u32 = 5;

/// Events of one attempt, in order and without duplicates.
pub struct AttemptEvents {
    backends: Arc<dyn Backends>,
    agent: HostId,
    request_id: RequestId,
    customer: CustomerId,
    stream: Option<Streaming<ExecuteEvent>>,
    /// Offset of the first byte requested.
    start_offset: u64,
    /// Offset of the next byte to deliver.
    next_offset: u64,
    head_delivered: bool,
    resumes_without_data: u32,
    /// Whether the connection to the agent may be broken, so that the next resumption needs a new one.
    reconnect_needed: bool,
}

/// Event of an attempt.
pub enum AttemptEvent {
    /// Status and headers; delivered once, before any data.
    Head(Head),
    /// The next bytes of the answer.
    Data(Bytes),
    /// The answer is complete.
    Finished(Finished),
    /// The agent refused the request. `not_run` is whether it is certain that the request did not run.
    Refused(Refused),
    /// The backend server failed.
    Failed(Failed),
}

/// Reason why an attempt's events ended without a result.
#[derive(Debug)]
pub enum StreamError {
    /// The request cannot have reached the agent.
    NotSent,
    /// The agent is unreachable, or does not have the answer.
    AnswerUnavailable(Reason),
}

impl AttemptEvents {
    /// Sends the request to an agent. Fails only if the connection could not be opened; a call that is lost later is
    /// resumed by `next`.
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
            Err(_) => events.record_stream_loss(&"timed out waiting for an event"),
        }
        Ok(events)
    }

    /// Reads a running or retained answer from `offset` on. Connects with the first call of `next`.
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

    /// Returns the next event, resuming the answer on a new stream as often as needed.
    pub async fn next(&mut self) -> Result<AttemptEvent, StreamError> {
        loop {
            let Some(stream) = &mut self.stream else {
                self.resume().await?;
                continue;
            };
            let message = match timeout(EVENT_TIMEOUT, stream.message()).await {
                Ok(Ok(Some(message))) => message,
                Ok(Ok(None)) => {
                    self.drop_stream(&"the stream ended without a result");
                    continue;
                }
                Ok(Err(status)) => {
                    self.drop_stream(&status);
                    continue;
                }
                Err(_) => {
                    self.drop_stream(&"timed out waiting for an event");
                    continue;
                }
            };
            if let Some(event) = self.process_message(message)? {
                return Ok(event);
            }
        }
    }

    /// Returns the offset of the next byte.
    pub fn offset(&self) -> u64 {
        self.next_offset
    }

    /// Converts one message to an event, if it is one. Skips duplicates, and drops the stream when bytes are missing.
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

    /// Drops the current stream, so that `next` resumes the answer on a new one.
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

    /// Resumes the answer at the next byte, after a backoff unless this is the first resumption since the last new
    /// byte.
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
            Err(_) => self.record_stream_loss(&"timed out waiting for an event"),
        }
        Ok(())
    }
}

impl StreamError {
    /// Returns the reason to report to the caller.
    pub fn reason(&self) -> Reason {
        match self {
            Self::NotSent => Reason::NoBackend,
            Self::AnswerUnavailable(reason) => *reason,
        }
    }
}

/// Parses the reason given by an agent; unknown reasons become `Internal`.
pub fn parse_reason(text: &str) -> Reason {
    text.parse().unwrap_or(Reason::Internal)
}

/// Whether the call failed while connecting, before any byte of it was sent.
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
