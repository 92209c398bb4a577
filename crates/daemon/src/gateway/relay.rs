//! Passes an answer on as it comes. An event stream that breaks off goes on at another backend server.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use eelgrasswell_core::{event_stream::EventSplitter, pool::Outcome, repeat::Purpose};
use eyre::{Report, eyre};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::{Instant, timeout_at};

use super::{attempt::Answer, execute::Execution, net::describe};
use crate::{callers::Body, event};

/// Silence inside a stream after which it goes on elsewhere, when its route names no longest pause.
const DEFAULT_STALL: Duration = Duration::from_millis(2_500);
/// Multiple of the route's longest pause after which a stream goes on elsewhere. A server under load pauses for a while
/// without being lost, and a stream that moves has its prompt read again.
const STALL_FACTOR: f64 = 2.5;

/// Outcome of one read from a backend server.
enum Read {
    Data(Bytes),
    End,
    Broken(String),
    Stalled,
    DeadlinePassed,
}

/// An answer on its way to the caller.
pub enum Relay {
    /// An event stream.
    Events(Box<Events>),
    /// Any other answer that is too large to be read whole.
    Plain {
        /// What was read before.
        first: Option<Bytes>,
        /// The rest.
        answer: Option<Box<Answer>>,
    },
}

/// An event stream.
pub struct Events {
    execution: Execution,
    answer: Option<Answer>,
    splitter: EventSplitter,
    last_id: Option<CompactString>,
    /// Whether the stream may go on elsewhere.
    resumable: bool,
    /// Silence after which it does; none once it has to wait for its server whatever happens.
    stall: Option<Duration>,
}

impl Relay {
    /// Relays an event stream.
    pub fn new(execution: Execution, answer: Answer) -> Self {
        let last_id = execution.call.meta.resume_after.clone();
        let resumable = execution.call.route.kind.is_idempotent();
        let pause = execution.call.route.max_pause;
        let stall = pause.map_or(DEFAULT_STALL, |pause| Duration::from(pause).mul_f64(STALL_FACTOR));
        Self::Events(Box::new(Events {
            stall: Some(stall).filter(|_| resumable),
            execution,
            answer: Some(answer),
            splitter: EventSplitter::default(),
            last_id,
            resumable,
        }))
    }

    /// Relays an answer of which `first` was read.
    pub fn plain(first: Bytes, answer: Answer) -> Self {
        Self::Plain { first: Some(first), answer: Some(Box::new(answer)) }
    }

    /// The body for the caller. An error in it closes the caller's connection, so that a part never looks complete.
    pub fn into_body(self) -> Body {
        let frames = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(relay))),
                Ok(None) => None,
                Err(err) => Some((Err(err), None)),
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Report> {
        match self {
            Self::Events(events) => events.next().await,
            Self::Plain { first, answer } => match first.take() {
                Some(first) => Ok(Some(first)),
                None => next_plain(answer).await,
            },
        }
    }
}

async fn next_plain(answer: &mut Option<Box<Answer>>) -> Result<Option<Bytes>, Report> {
    loop {
        let Some(current) = answer else { return Ok(None) };
        match current.body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Some(Err(err)) => return Err(eyre!("the answer broke off: {}", describe(&err))),
            None => {
                if let Some(answer) = answer.take() {
                    answer.finish();
                }
            }
        }
    }
}

impl Events {
    async fn next(&mut self) -> Result<Option<Bytes>, Report> {
        loop {
            let mut granted = false;
            let why = match self.read().await {
                Read::Data(data) => match self.splitter.push(&data) {
                    Some(events) => {
                        self.last_id = events.last_id.or_else(|| self.last_id.take());
                        return Ok(Some(events.bytes.into()));
                    }
                    None if self.splitter.is_overlong() => "an event is too long".into(),
                    None => continue,
                },
                Read::End if self.splitter.is_inside_event() => "it ended inside an event".into(),
                Read::End => {
                    if let Some(answer) = self.answer.take() {
                        answer.finish();
                    }
                    return Ok(None);
                }
                Read::Broken(why) => why,
                Read::Stalled if self.execution.may_repeat(Purpose::Failure) => {
                    granted = true;
                    "it stalled".into()
                }
                Read::Stalled => {
                    self.stall = None;
                    continue;
                }
                Read::DeadlinePassed => return Err(self.cut("the deadline passed")),
            };
            if let Some(answer) = self.answer.take() {
                self.execution.gateway.note(&answer.place.backend, Outcome::Failed);
            }
            self.splitter.reset();
            event!(Info, "stream_broken", request = self.execution.call.id, error = why);
            if !self.resumable {
                return Err(self.cut(&why));
            }
            self.answer = self.execution.resume(self.last_id.as_deref(), granted).await;
            if self.answer.is_none() {
                return Err(self.cut(&why));
            }
        }
    }

    async fn read(&mut self) -> Read {
        let deadline = self.execution.call.deadline;
        let limit = self.stall.map_or(deadline, |stall| deadline.min(Instant::now() + stall));
        let Some(answer) = &mut self.answer else { return Read::Broken("no answer".into()) };
        loop {
            match timeout_at(limit, answer.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Read::Data(data);
                    }
                }
                Ok(Some(Err(err))) => return Read::Broken(describe(&err)),
                Ok(None) => return Read::End,
                Err(_) if Instant::now() >= deadline => return Read::DeadlinePassed,
                Err(_) => return Read::Stalled,
            }
        }
    }

    fn cut(&self, why: &str) -> Report {
        event!(Info, "stream_cut", request = self.execution.call.id, error = why);
        eyre!("the stream was cut: {why}")
    }
}
