//! Sends answers to callers, and answers that agents hold to callers who fetch them again.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::{
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
    events::{self, Event, Events},
    execute::Run,
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

const COST: HeaderName = HeaderName::from_static("x-cost-micros");
const REQUEST_ID: &str = "x-request-id";
/// Header fields that only the router sets.
const OWN_FIELDS: [&str; 6] = ["content-length", REQUEST_ID, "x-model", "x-version", "x-session", "x-cost-micros"];
/// Frames between an agent's stream and a caller's connection. One keeps the reader's pace: the
/// next event is not read before the caller has taken the last.
const FRAMES: usize = 1;

/// Largest frame. hyper keeps up to 16 frames for a connection that is full.
const FRAME: usize = 1 << 10;
/// Time after which a caller that does not read counts as stalled.
const STALLED_AFTER: Duration = Duration::from_secs(2);
/// Bytes up to which an answer is read to its end after its caller has gone away. It is less than
/// what an agent holds of one answer, so that the caller can still fetch all of it.
const MAX_UNREAD: u64 = 128 << 10;

type Part = eyre::Result<Frame<Bytes>>;
type Sender = mpsc::Sender<Part>;
type Permit<'a> = mpsc::Permit<'a, Part>;

/// Sends an answer that has begun or is complete.
pub async fn send(run: Run, cut: Option<ConnectionAbort>) -> Response<Body> {
    let Run { head, body, finished, events, settlement, session } = run;
    let status = status(&head);
    let mut response = with_head(&head).header(REQUEST_ID, settlement.request_id.as_str());
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
            let kept = claim::kept(&body);
            let cost = settlement.finished(finished, status, kept).await;
            response.header(COST, cost.0).body(full(body))
        }
        None => {
            let delivered = body.iter().map(count_tokens).sum();
            let (tx, body) = channel(body);
            let chain = settlement.chain.clone();
            chain.spawn(forward(events, settlement, status, delivered, Caller { tx, cut }));
            response.header(TRAILER, COST.as_str()).body(body)
        }
    };
    built.unwrap_or_else(|err| {
        // Names such as the model's come from the manifest and may not fit a header.
        event!(Error, "answer_not_representable", error = err);
        let mut response = Response::new(full(Bytes::new()));
        *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}

/// Forwards the rest of an answer at the caller's pace. When the caller goes away, short answers
/// are read to their end, so that the bill settles the budget.
async fn forward(mut events: Events, settlement: Settlement, status: u16, mut delivered: Tokens, caller: Caller) {
    let tx = &caller.tx;
    loop {
        match events.next().await {
            Ok(Event::Data(chunk)) => {
                delivered += count_tokens(&chunk);
                if !caller.take(&settlement.chain, chunk).await && events.offset() > MAX_UNREAD {
                    return;
                }
            }
            Ok(Event::Head(_)) => {}
            Ok(Event::Finished(finished)) => {
                let cost = settlement.finished(finished, status, None).await;
                let _ = tx.send(Ok(Frame::trailers(trailers(cost)))).await;
                return;
            }
            Ok(Event::Failed(failed)) => {
                let reason = events::reason(&failed.reason);
                break_off(&settlement.request_id, reason, tx).await;
                match reason {
                    // The agent was restarted and knows nothing of the answer.
                    Reason::AnswerGone => settlement.lost(delivered),
                    _ => settlement.failed(failed.bill),
                }
                return;
            }
            Ok(Event::Refused(refused)) => {
                return break_off(&settlement.request_id, events::reason(&refused.reason), tx).await;
            }
            Err(lost) => {
                break_off(&settlement.request_id, lost.reason(), tx).await;
                settlement.lost(delivered);
                return;
            }
        }
    }
}

/// Where an answer goes.
struct Caller {
    tx: Sender,
    /// Cuts off the connection; none for HTTP/2, where other answers share it.
    cut: Option<ConnectionAbort>,
}

impl Caller {
    /// Hands over a chunk; false when the caller has gone away, or was cut off because too many
    /// others do not read either.
    async fn take(&self, chain: &Chain, chunk: Bytes) -> bool {
        for part in chunk.chunks(FRAME) {
            if self.tx.is_closed() || !self.take_part(chain, part).await {
                return false;
            }
        }
        true
    }

    async fn take_part(&self, chain: &Chain, part: &[u8]) -> bool {
        let slot = match timeout(STALLED_AFTER, self.tx.reserve()).await {
            Ok(slot) => slot,
            Err(_) => self.wait_stalled(chain).await,
        };
        let Ok(slot) = slot else {
            count_refusal(Reason::Cancelled);
            return false;
        };
        // A copy, since a slice would keep alive the whole buffer that it was received in.
        slot.send(Ok(Frame::data(Bytes::copy_from_slice(part))));
        true
    }

    async fn wait_stalled(&self, chain: &Chain) -> Result<Permit<'_>, SendError<()>> {
        metrics::counter!(telemetry::STALLS).increment(1);
        let kept = chain.stalled.try_acquire();
        if let (Err(_), Some(cut)) = (&kept, &self.cut) {
            count_refusal(Reason::SlowReader);
            cut.abort();
        }
        self.tx.reserve().await
    }
}

fn count_refusal(reason: Reason) {
    metrics::counter!(telemetry::REFUSALS, "reason" => reason.as_str(), "outcome" => "unknown").increment(1);
}

/// Tokens in a piece of a stream. Engines send one in each event, and an empty line ends an event.
fn count_tokens(chunk: &Bytes) -> Tokens {
    Tokens(chunk.windows(2).filter(|pair| *pair == b"\n\n").count() as u64)
}

/// Ends an answer so that the caller sees that it is incomplete.
async fn break_off(request_id: &RequestId, reason: Reason, tx: &Sender) {
    count_refusal(reason);
    event!(Warn, "answer_broken_off", request = request_id, reason = reason);
    let _ = tx.send(Err(eyre::eyre!("the answer to {request_id} broke off: {reason}"))).await;
}

/// Sends an answer that an agent holds, from an offset on.
pub async fn fetch(chain: &Chain, fetch: Fetch, cut: Option<ConnectionAbort>) -> Result<Response<Body>, Failure> {
    let Fetch { customer, request_id, offset } = fetch;
    let gone = |reason: Reason| {
        let message = format!("the answer to {request_id} could not be fetched: {reason}");
        Failure::unknown(reason, message).with_request_id(&request_id)
    };
    let Some((_, agent)) = request_id.as_str().split_once('.') else {
        return Err(Failure::not_run(Reason::NotFound, "a request id has the form <uuid>.<host id>"));
    };
    let agent = HostId::from(agent);
    if chain.backends.client(&agent).is_none() {
        return Err(gone(Reason::AnswerGone));
    }
    let mut events = Events::join(Arc::clone(&chain.backends), agent.clone(), request_id.clone(), customer, offset);
    let mut head = Head { status: 200, headers: Vec::new() };
    let mut body = Vec::new();
    let mut cost = None;
    loop {
        match events.next().await.map_err(|lost| gone(lost.reason()))? {
            Event::Head(first) => head = first,
            Event::Data(chunk) => {
                body.push(chunk);
                break;
            }
            Event::Finished(finished) => {
                if let Some(bill) = finished.bill {
                    cost = Some(Cost(bill.cost_micros));
                    chain.router.bills.push(&agent, bill);
                }
                break;
            }
            Event::Refused(refused) => return Err(gone(events::reason(&refused.reason))),
            Event::Failed(failed) => return Err(gone(events::reason(&failed.reason))),
        }
    }
    let response = with_head(&head).header(REQUEST_ID, request_id.as_str());
    let built = if body.is_empty() {
        response.header(COST, cost.unwrap_or_default().0).body(full(Bytes::new()))
    } else {
        let (tx, body) = channel(body);
        tokio::spawn(forward_held(chain.clone(), agent, request_id.clone(), events, Caller { tx, cut }));
        response.header(TRAILER, COST.as_str()).body(body)
    };
    built.map_err(|err| Failure::from(Refusal::unknown(Reason::Internal)).with_message(err.to_string()))
}

/// Forwards the rest of a held answer. Its bill is pushed again, since the router that ran the
/// request may be gone; a repeated bill counts once.
async fn forward_held(chain: Chain, agent: HostId, request_id: RequestId, mut events: Events, caller: Caller) {
    let tx = &caller.tx;
    loop {
        let next = tokio::select! {
            next = events.next() => next,
            () = tx.closed() => return,
        };
        match next {
            Ok(Event::Data(chunk)) => {
                if !caller.take(&chain, chunk).await {
                    return;
                }
            }
            Ok(Event::Head(_)) => {}
            Ok(Event::Finished(finished)) => {
                if let Some(bill) = finished.bill {
                    let cost = Cost(bill.cost_micros);
                    chain.router.bills.push(&agent, bill);
                    let _ = tx.send(Ok(Frame::trailers(trailers(cost)))).await;
                }
                return;
            }
            Ok(Event::Failed(failed)) => return break_off(&request_id, events::reason(&failed.reason), tx).await,
            Ok(Event::Refused(refused)) => return break_off(&request_id, events::reason(&refused.reason), tx).await,
            Err(lost) => return break_off(&request_id, lost.reason(), tx).await,
        }
    }
}

/// A body that starts with `first` and goes on with what is sent.
fn channel(first: Vec<Bytes>) -> (Sender, Body) {
    use futures::StreamExt;
    let (tx, rx) = mpsc::channel(FRAMES);
    let first = futures::stream::iter(first.into_iter().map(|chunk| Ok(Frame::data(chunk))));
    (tx, StreamBody::new(first.chain(ReceiverStream::new(rx))).boxed_unsync())
}

fn with_head(head: &Head) -> Builder {
    let mut response = Response::builder().status(status(head));
    for field in &head.headers {
        let (name, value) = (HeaderName::try_from(&field.name), HeaderValue::try_from(&field.value));
        if let (Ok(name), Ok(value)) = (name, value)
            && !is_hop_by_hop(name.as_str())
            && !OWN_FIELDS.contains(&name.as_str())
        {
            response = response.header(name, value);
        }
    }
    response
}

/// Status of an answer; 502 when the backend server sent none that HTTP knows as final.
fn status(head: &Head) -> u16 {
    let status = u16::try_from(head.status).unwrap_or_default();
    if (200..1000).contains(&status) { status } else { 502 }
}

fn trailers(cost: Cost) -> HeaderMap {
    HeaderMap::from_iter([(COST, HeaderValue::from(cost.0))])
}

fn concat(mut chunks: Vec<Bytes>) -> Bytes {
    match chunks.len() {
        1 => chunks.remove(0),
        _ => chunks.concat().into(),
    }
}
