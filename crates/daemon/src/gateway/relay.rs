//! Relays an answer to the caller as it arrives. An event stream that breaks off is resumed at another backend server.

use std::time::Duration;

use bytes::Bytes;
use eelgrasswell_core::{
    backend_health::Outcome,
    caller_status::CallerStatus,
    event_order::{EventFault, EventOrder},
    event_stream::EventSplitter,
    pace::PaceSampler,
    repeat::Purpose,
    server_pace::StreamSampler,
};
use eyre::{Report, eyre};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::time::{Instant, timeout_at};

use super::{attempt::Answer, execute::Execution, memory::BufferedAnswer};
use crate::{callers::Body, event};

/// Time without data after which a stream is resumed at another server, if its route sets no longest pause.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Multiple of the route's longest pause after which a stream is resumed at another server. It is above 1 because a
/// server under load may pause for longer without having failed, and because the new server has to process the prompt
/// again.
const STALL_FACTOR: f64 = 2.5;

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Outcome of one read from a backend server's answer.
enum ReadOutcome {
    Data(Bytes),
    End,
    Broken(String),
    /// The server sent something else than events in order.
    Malformed(String),
    Stalled,
    DeadlinePassed,
}

/// An answer that is being passed on to the caller.
pub enum Relay {
    /// An event stream.
    Events(Box<EventRelay>),
    /// Any other answer that is too large to be buffered whole.
    Plain {
        /// The part that was read before.
        first: Option<BufferedAnswer>,
        /// The answer whose body holds the rest.
        answer: Option<Box<Answer>>,
        /// Time at which the answer is cut if it has not ended.
        deadline: Instant,
    },
}

/// What the caller has been told of a stream by the head of its first answer.
pub struct StreamHead {
    status: CallerStatus,
    content_type: Option<HeaderValue>,
}

impl StreamHead {
    fn of(answer: &Answer) -> Self {
        Self { status: answer.status, content_type: answer.headers.get(CONTENT_TYPE).cloned() }
    }

    /// Whether the body of `answer` is an event stream. Servers may leave out the media type.
    pub fn begins_stream(answer: &Answer) -> bool {
        answer.status.is_success() && answer.headers.get(CONTENT_TYPE).is_none_or(is_event_stream)
    }

    /// Whether the body of `answer` can follow what the caller has got.
    pub fn is_continued_by(&self, answer: &Answer) -> bool {
        let content_type = answer.headers.get(CONTENT_TYPE);
        let same_type = content_type == self.content_type.as_ref() || content_type.is_none_or(is_event_stream);
        answer.status == self.status && same_type
    }
}

fn is_event_stream(content_type: &HeaderValue) -> bool {
    let media_type = content_type.to_str().ok().and_then(|value| value.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// Relay of an event stream.
pub struct EventRelay {
    execution: Execution,
    head: StreamHead,
    answer: Option<Answer>,
    splitter: EventSplitter,
    /// Sampler of the answer in progress.
    pace: PaceSampler,
    /// Sampler of the same answer for the pace of its server.
    server_pace: StreamSampler,
    order: EventOrder,
    /// Fault behind the last events that were passed on.
    fault: Option<EventFault>,
    /// Whether a server broke off inside an event that the caller has not got yet.
    owes_event: bool,
    /// Whether the stream may be resumed at another server.
    resumable: bool,
    /// Time without data after which the stream is resumed. None if it is not resumable, or once it stalled while no
    /// repeat was available; then only the deadline limits the wait.
    stall_timeout: Option<Duration>,
}

impl Relay {
    /// Relays an event stream.
    pub fn new(execution: Execution, answer: Answer) -> Self {
        let order = EventOrder::after(execution.call.meta.resume_after.clone());
        let resumable = execution.call.route.kind.is_idempotent();
        let max_pause = execution.call.route.max_pause;
        let stall_timeout =
            max_pause.map_or(DEFAULT_STALL_TIMEOUT, |pause| Duration::from(pause).mul_f64(STALL_FACTOR));
        Self::Events(Box::new(EventRelay {
            stall_timeout: Some(stall_timeout).filter(|_| resumable),
            execution,
            head: StreamHead::of(&answer),
            answer: Some(answer),
            splitter: EventSplitter::default(),
            pace: PaceSampler::default(),
            server_pace: StreamSampler::default(),
            order,
            fault: None,
            owes_event: false,
            resumable,
        }))
    }

    /// Relays an answer whose first part, `first`, has been read already, until `deadline`.
    pub fn plain(first: BufferedAnswer, answer: Answer, deadline: Instant) -> Self {
        Self::Plain { first: Some(first), answer: Some(Box::new(answer)), deadline }
    }

    /// The body for the caller. An error in it closes the caller's connection, so that a partial answer never looks
    /// complete.
    pub fn into_body(self) -> Body {
        let frames = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next_chunk().await {
                Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(relay))),
                Ok(None) => None,
                Err(err) => Some((Err(err), None)),
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, Report> {
        match self {
            Self::Events(events) => events.next_chunk().await,
            Self::Plain { first, answer, deadline } => match first.as_mut().and_then(BufferedAnswer::next_slice) {
                Some(slice) => Ok(Some(slice)),
                None => {
                    *first = None;
                    match timeout_at(*deadline, next_plain_chunk(answer)).await {
                        Ok(chunk) => chunk,
                        Err(_) => Err(eyre!("the answer was cut: the deadline passed")),
                    }
                }
            },
        }
    }
}

async fn next_plain_chunk(answer: &mut Option<Box<Answer>>) -> Result<Option<Bytes>, Report> {
    loop {
        let Some(current) = answer else { return Ok(None) };
        match current.body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Some(Err(err)) => return Err(eyre!("the answer broke off: {err}")),
            None => {
                if let Some(answer) = answer.take() {
                    answer.finish();
                }
            }
        }
    }
}

impl EventRelay {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, Report> {
        loop {
            let mut repeat_acquired = false;
            let outcome = match self.fault.take() {
                Some(fault) => ReadOutcome::Malformed(fault.to_string()),
                None => self.read_body().await,
            };
            let why = match outcome {
                ReadOutcome::Data(data) => match self.push(&data) {
                    Ok(Some(events)) => return Ok(Some(events)),
                    Ok(None) => continue,
                    Err(why) => why,
                },
                ReadOutcome::Malformed(why) => why,
                ReadOutcome::End if self.splitter.is_inside_event() => {
                    self.record_crash();
                    "it ended inside an event".into()
                }
                ReadOutcome::End if self.owes_event => "it ended before the event that broke off".into(),
                ReadOutcome::End => {
                    let pace = self.pace.finish();
                    self.record_pace(pace);
                    if let Some(answer) = self.answer.take() {
                        answer.finish();
                    }
                    return Ok(None);
                }
                ReadOutcome::Broken(why) => {
                    self.record_crash();
                    why
                }
                ReadOutcome::Stalled if self.execution.try_acquire_repeat(Purpose::Failure) => {
                    repeat_acquired = true;
                    "it stalled".into()
                }
                ReadOutcome::Stalled => {
                    self.stall_timeout = None;
                    continue;
                }
                ReadOutcome::DeadlinePassed => return Err(self.cut_error("the deadline passed")),
            };
            if let Some(answer) = self.answer.take() {
                self.execution.gateway.record_outcome(&answer.guard.backend, Outcome::Failed);
            }
            self.owes_event |= self.splitter.is_inside_known_field();
            self.splitter.reset();
            self.pace = PaceSampler::default();
            self.server_pace = StreamSampler::default();
            event!(Info, "stream_broken", request = self.execution.call.id, error = why);
            if !self.resumable || !self.order.is_resumable() {
                return Err(self.cut_error(&why));
            }
            self.answer = self.execution.resume(&self.head, self.order.last_id(), repeat_acquired).await;
            if self.answer.is_none() {
                return Err(self.cut_error(&why));
            }
        }
    }

    /// Adds received bytes. Returns the events that they complete, or what is wrong with them. Events before a fault are
    /// returned first, and the fault with the next read.
    fn push(&mut self, data: &Bytes) -> Result<Option<Bytes>, String> {
        let now = self.execution.gateway.clock.now();
        let bytes = eelgrasswell_core::unit::Bytes(data.len() as u64);
        let pace = self.pace.record(now, bytes);
        self.record_pace(pace);
        if let Some(answer) = &self.answer {
            let model = || self.execution.model().unwrap_or_default();
            self.execution.gateway.record_stream_pace(&mut self.server_pace, now, answer, model, bytes);
        }
        let Some(mut events) = self.splitter.push(data) else {
            return if self.splitter.is_overlong() { Err("an event is too long".into()) } else { Ok(None) };
        };
        let (valid, fault) = self.order.accept(&events.bytes);
        if let (0, Some(fault)) = (valid, &fault) {
            return Err(fault.to_string());
        }
        self.fault = fault;
        self.owes_event = false;
        events.bytes.truncate(valid);
        Ok(Some(events.bytes.into()))
    }

    fn record_pace(&self, pace: Option<f64>) {
        if let (Some(pace), Some(answer)) = (pace, &self.answer) {
            self.execution.record_pace(&answer.guard.backend, pace);
        }
    }

    fn record_crash(&self) {
        if let Some(answer) = &self.answer {
            answer.guard.record_crash();
        }
    }

    async fn read_body(&mut self) -> ReadOutcome {
        let deadline = self.execution.call.deadline;
        let limit = self.stall_timeout.map_or(deadline, |timeout| deadline.min(Instant::now() + timeout));
        let Some(answer) = &mut self.answer else { return ReadOutcome::Broken("no answer".into()) };
        loop {
            match timeout_at(limit, answer.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return ReadOutcome::Data(data);
                    }
                }
                Ok(Some(Err(err))) => return ReadOutcome::Broken(err.to_string()),
                Ok(None) => return ReadOutcome::End,
                Err(_) if Instant::now() >= deadline => return ReadOutcome::DeadlinePassed,
                Err(_) => return ReadOutcome::Stalled,
            }
        }
    }

    /// Logs that the stream is cut, and returns the error that closes the caller's connection.
    fn cut_error(&self, why: &str) -> Report {
        event!(Info, "stream_cut", request = self.execution.call.id, error = why);
        eyre!("the stream was cut: {why}")
    }
}
