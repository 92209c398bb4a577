//! Sends answers to callers, including answers that agents retain and callers fetch again.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::{
    caller_status::CallerStatus,
    id::{HostId, RequestId},
    refusal::{Reason, Refusal},
    unit::{Cost, Tokens},
};
use eelgrasswell_proto::v1::Head;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Response,
    body::Frame,
    header::{HeaderName, HeaderValue, TRAILER},
    http::response::Builder,
};
use tokio::{
    sync::mpsc::{self, error::SendError},
    time::timeout,
};
use tokio_stream::wrappers::ReceiverStream;

use super::{
    Chain, claim,
    events::{self, AttemptEvent, AttemptEvents},
    execute::StartedAnswer,
    parse::Fetch,
    settlement::Settlement,
};
use crate::{
    callers::{
        body::{Body, full},
        endpoint::ConnectionAbort,
        failure::Failure,
        headers::is_hop_by_hop,
    },
    event, telemetry,
};

const COST_HEADER: HeaderName = HeaderName::from_static("x-cost-micros");
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header fields that only the router sets; a backend server's values are dropped.
const ROUTER_HEADERS: [&str; 6] =
    ["content-length", REQUEST_ID_HEADER, "x-model", "x-version", "x-session", "x-cost-micros"];
/// Number of frames buffered between an agent's stream and a caller's connection. With a single frame, the agent's
/// stream is read at the caller's pace: the next event is not read before the caller has accepted the last one.
const CHANNEL_FRAMES: usize = 1;

/// Maximum size of a frame. hyper buffers up to 16 frames for a connection that is full.
const MAX_FRAME_BYTES: usize = 1 << 10;
/// Time that a caller may go without reading before it counts as stalled.
const STALLED_AFTER: Duration = Duration::from_secs(2);
/// Length up to which an answer is read to its end after its caller has disconnected. Less than an agent retains of one
/// answer, so that the caller can still fetch all of it.
const MAX_DRAINED_BYTES: u64 = 128 << 10;

type Part = eyre::Result<Frame<Bytes>>;
type Sender = mpsc::Sender<Part>;
type Permit<'a> = mpsc::Permit<'a, Part>;

/// Builds the response for an answer. A complete answer is sent whole with its cost in a header. A started one is
/// forwarded by a spawned task and carries its cost in a trailer.
pub async fn send(answer: StartedAnswer, connection: Option<ConnectionAbort>) -> Response<Body> {
    let StartedAnswer { head, body, finished, events, settlement, session } = answer;
    let status = status(&head);
    let mut response = response_builder(&head).header(REQUEST_ID_HEADER, settlement.request_id.as_str());
    let choice = &settlement.choice;
    if !choice.model.is_empty() {
        response = response.header("x-model", choice.model.as_str()).header("x-version", choice.version.as_str());
    }
    if let Some(session) = session {
        response = response.header("x-session", session);
    }
    let built = match finished {
        Some(finished) => {
            let body = concat(body);
            let stored_body = claim::storable_body(&body);
            let cost = settlement.settle_finished(finished, status, stored_body).await;
            response.header(COST_HEADER, cost.0).body(full(body))
        }
        None => {
            let delivered = body.iter().map(count_tokens).sum();
            let (tx, body) = streamed_body(body);
            let chain = settlement.chain.clone();
            chain.spawn_detached(forward(events, settlement, status, delivered, CallerStream { tx, connection }));
            response.header(TRAILER, COST_HEADER.as_str()).body(body)
        }
    };
    built.unwrap_or_else(|err| {
        // Names from the manifest, such as the model's, may not be valid header values.
        event!(Error, "answer_not_representable", error = err);
        let mut response = Response::new(full(Bytes::new()));
        *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}

/// Forwards the rest of an answer at the caller's pace and settles it. When the caller disconnects, answers up to
/// `MAX_DRAINED_BYTES` are read to their end, so that the budget is settled with the bill.
async fn forward(
    mut events: AttemptEvents,
    settlement: Settlement,
    status: u16,
    mut delivered: Tokens,
    caller: CallerStream,
) {
    let tx = &caller.tx;
    loop {
        match events.next().await {
            Ok(AttemptEvent::Data(chunk)) => {
                delivered += count_tokens(&chunk);
                if !caller.send_chunk(&settlement.chain, chunk).await && events.offset() > MAX_DRAINED_BYTES {
                    return;
                }
            }
            Ok(AttemptEvent::Head(_)) => {}
            Ok(AttemptEvent::Finished(finished)) => {
                let cost = settlement.settle_finished(finished, status, None).await;
                let _ = tx.send(Ok(Frame::trailers(cost_trailers(cost)))).await;
                return;
            }
            Ok(AttemptEvent::Failed(failed)) => {
                let reason = events::parse_reason(&failed.reason);
                abort_answer(&settlement.request_id, reason, tx).await;
                match reason {
                    // The agent has restarted and lost the answer.
                    Reason::AnswerGone => settlement.settle_lost(delivered),
                    _ => settlement.settle_failed(failed.bill),
                }
                return;
            }
            Ok(AttemptEvent::Refused(refused)) => {
                return abort_answer(&settlement.request_id, events::parse_reason(&refused.reason), tx).await;
            }
            Err(err) => {
                abort_answer(&settlement.request_id, err.reason(), tx).await;
                settlement.settle_lost(delivered);
                return;
            }
        }
    }
}

/// Caller's side of a streamed answer.
struct CallerStream {
    tx: Sender,
    /// Closes the caller's connection. `None` for HTTP/2, where other answers share the connection.
    connection: Option<ConnectionAbort>,
}

impl CallerStream {
    /// Sends a chunk to the caller. Returns false if the caller has disconnected, or was disconnected because too many
    /// callers are stalled.
    async fn send_chunk(&self, chain: &Chain, chunk: Bytes) -> bool {
        for part in chunk.chunks(MAX_FRAME_BYTES) {
            if self.tx.is_closed() || !self.send_part(chain, part).await {
                return false;
            }
        }
        true
    }

    /// Sends a piece of at most `MAX_FRAME_BYTES`. Returns false as `send_chunk` does.
    async fn send_part(&self, chain: &Chain, part: &[u8]) -> bool {
        let slot = match timeout(STALLED_AFTER, self.tx.reserve()).await {
            Ok(slot) => slot,
            Err(_) => self.reserve_stalled(chain).await,
        };
        let Ok(slot) = slot else {
            count_refusal(Reason::Cancelled);
            return false;
        };
        // Copied, because a slice would keep the whole receive buffer alive.
        slot.send(Ok(Frame::data(Bytes::copy_from_slice(part))));
        true
    }

    /// Waits for a stalled caller to read on. Closes its HTTP/1.1 connection if too many callers are stalled already.
    async fn reserve_stalled(&self, chain: &Chain) -> Result<Permit<'_>, SendError<()>> {
        metrics::counter!(telemetry::STALLED_CALLERS).increment(1);
        let permit = chain.stalled.try_acquire();
        if let (Err(_), Some(connection)) = (&permit, &self.connection) {
            count_refusal(Reason::SlowReader);
            connection.abort();
        }
        self.tx.reserve().await
    }
}

fn count_refusal(reason: Reason) {
    metrics::counter!(telemetry::REFUSALS, "reason" => reason.as_str(), "outcome" => "unknown").increment(1);
}

/// Counts the tokens in a piece of a stream. Engines send one token per event, and an empty line ends an event.
fn count_tokens(chunk: &Bytes) -> Tokens {
    Tokens(chunk.windows(2).filter(|pair| *pair == b"\n\n").count() as u64)
}

/// Aborts an answer with an error, so that the caller detects that it is incomplete.
async fn abort_answer(request_id: &RequestId, reason: Reason, tx: &Sender) {
    count_refusal(reason);
    event!(Warn, "answer_broken_off", request = request_id, reason = reason);
    let _ = tx.send(Err(eyre::eyre!("could not complete the answer to {request_id}: {reason}"))).await;
}

/// Builds the response for an answer that an agent retains, starting at an offset.
pub async fn fetch(
    chain: &Chain,
    fetch: Fetch,
    connection: Option<ConnectionAbort>,
) -> Result<Response<Body>, Failure> {
    let Fetch { customer, request_id, offset } = fetch;
    let not_available = |reason: Reason| {
        let message = format!("the answer to {request_id} could not be fetched: {reason}");
        Failure::unknown(reason, message).with_request_id(&request_id)
    };
    let Some((_, agent)) = request_id.as_str().split_once('.') else {
        return Err(Failure::not_run(Reason::NotFound, "a request id has the form <uuid>.<host id>"));
    };
    let agent = HostId::from(agent);
    if chain.backends.client(&agent).is_none() {
        return Err(not_available(Reason::AnswerGone));
    }
    let mut events =
        AttemptEvents::resume_at(Arc::clone(&chain.backends), agent.clone(), request_id.clone(), customer, offset);
    let mut head = Head { status: 200, headers: Vec::new() };
    let mut body = Vec::new();
    let mut cost = None;
    loop {
        match events.next().await.map_err(|err| not_available(err.reason()))? {
            AttemptEvent::Head(first) => head = first,
            AttemptEvent::Data(chunk) => {
                body.push(chunk);
                break;
            }
            AttemptEvent::Finished(finished) => {
                if let Some(bill) = finished.bill {
                    cost = Some(Cost(bill.cost_micros));
                    chain.router.bills.push(&agent, bill);
                }
                break;
            }
            AttemptEvent::Refused(refused) => return Err(not_available(events::parse_reason(&refused.reason))),
            AttemptEvent::Failed(failed) => return Err(not_available(events::parse_reason(&failed.reason))),
        }
    }
    let response = response_builder(&head).header(REQUEST_ID_HEADER, request_id.as_str());
    let built = if body.is_empty() {
        response.header(COST_HEADER, cost.unwrap_or_default().0).body(full(Bytes::new()))
    } else {
        let (tx, body) = streamed_body(body);
        tokio::spawn(forward_retained(
            chain.clone(),
            agent,
            request_id.clone(),
            events,
            CallerStream { tx, connection },
        ));
        response.header(TRAILER, COST_HEADER.as_str()).body(body)
    };
    built.map_err(|err| Failure::from(Refusal::unknown(Reason::Internal)).with_message(err.to_string()))
}

/// Forwards the rest of a retained answer. Records its bill again, since the router that ran the request may no longer
/// be running; a repeated bill counts once.
async fn forward_retained(
    chain: Chain,
    agent: HostId,
    request_id: RequestId,
    mut events: AttemptEvents,
    caller: CallerStream,
) {
    let tx = &caller.tx;
    loop {
        let next = tokio::select! {
            next = events.next() => next,
            () = tx.closed() => return,
        };
        match next {
            Ok(AttemptEvent::Data(chunk)) => {
                if !caller.send_chunk(&chain, chunk).await {
                    return;
                }
            }
            Ok(AttemptEvent::Head(_)) => {}
            Ok(AttemptEvent::Finished(finished)) => {
                if let Some(bill) = finished.bill {
                    let cost = Cost(bill.cost_micros);
                    chain.router.bills.push(&agent, bill);
                    let _ = tx.send(Ok(Frame::trailers(cost_trailers(cost)))).await;
                }
                return;
            }
            Ok(AttemptEvent::Failed(failed)) => {
                return abort_answer(&request_id, events::parse_reason(&failed.reason), tx).await;
            }
            Ok(AttemptEvent::Refused(refused)) => {
                return abort_answer(&request_id, events::parse_reason(&refused.reason), tx).await;
            }
            Err(err) => return abort_answer(&request_id, err.reason(), tx).await,
        }
    }
}

/// Returns a body that starts with `first` and continues with the frames given to the returned sender.
fn streamed_body(first: Vec<Bytes>) -> (Sender, Body) {
    use futures::StreamExt;
    let (tx, rx) = mpsc::channel(CHANNEL_FRAMES);
    let first = futures::stream::iter(first.into_iter().map(|chunk| Ok(Frame::data(chunk))));
    (tx, StreamBody::new(first.chain(ReceiverStream::new(rx))).boxed_unsync())
}

/// Starts a response with the status and headers of `head`, without hop-by-hop fields and those in `ROUTER_HEADERS`.
fn response_builder(head: &Head) -> Builder {
    let mut response = Response::builder().status(status(head));
    for field in &head.headers {
        let (name, value) = (HeaderName::try_from(&field.name), HeaderValue::try_from(&field.value));
        if let (Ok(name), Ok(value)) = (name, value)
            && !is_hop_by_hop(name.as_str())
            && !ROUTER_HEADERS.contains(&name.as_str())
        {
            response = response.header(name, value);
        }
    }
    response
}

/// Returns the status of an answer, or 502 if it is not a final HTTP status or promises that the request has not run.
fn status(head: &Head) -> u16 {
    let status = u16::try_from(head.status).ok().filter(|status| (200..1000).contains(status)).unwrap_or(502);
    CallerStatus::of_answer_or_unknown(status).as_u16()
}

fn cost_trailers(cost: Cost) -> HeaderMap {
    HeaderMap::from_iter([(COST_HEADER, HeaderValue::from(cost.0))])
}

fn concat(mut chunks: Vec<Bytes>) -> Bytes {
    match chunks.len() {
        1 => chunks.remove(0),
        _ => chunks.concat().into(),
    }
}
