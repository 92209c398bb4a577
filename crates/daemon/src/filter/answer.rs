//! Sends answers to callers, and answers that agents hold to callers who fetch them again.

use std::sync::Arc;

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
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::{
    Body, Chain, claim,
    events::{self, Event, Events},
    execute::{Run, Settlement},
    failure::{Failure, full},
    parse::{Fetch, is_hop_by_hop},
};
use crate::{event, telemetry};

const COST: HeaderName = HeaderName::from_static("x-cost-micros");
const REQUEST_ID: &str = "x-request-id";
/// Frames between an agent's stream and a caller's connection. One keeps the reader's pace: the
/// next event is not read before the caller has taken the last.
const FRAMES: usize = 1;

type Sender = mpsc::Sender<eyre::Result<Frame<Bytes>>>;

/// Sends an answer that has begun or is complete.
pub async fn send(run: Run) -> Response<Body> {
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
            tokio::spawn(forward(events, settlement, status, delivered, tx));
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

/// Forwards the rest of an answer at the caller's pace.
async fn forward(mut events: Events, settlement: Settlement, status: u16, mut delivered: Tokens, tx: Sender) {
    loop {
        let next = tokio::select! {
            next = events.next() => next,
            () = tx.closed() => {
                // The agent holds the answer and sends the bill; the caller may fetch it again.
                metrics::counter!(telemetry::REFUSALS, "reason" => Reason::Cancelled.as_str(), "outcome" => "unknown")
                    .increment(1);
                return;
            }
        };
        match next {
            Ok(Event::Data(chunk)) => {
                delivered += count_tokens(&chunk);
                let _ = tx.send(Ok(Frame::data(chunk))).await;
            }
            Ok(Event::Head(_)) => {}
            Ok(Event::Finished(finished)) => {
                let cost = settlement.finished(finished, status, None).await;
                let _ = tx.send(Ok(Frame::trailers(trailers(cost)))).await;
                return;
            }
            Ok(Event::Failed(failed)) => {
                let reason = events::reason(&failed.reason);
                break_off(&settlement.request_id, reason, &tx).await;
                match reason {
                    // The agent was restarted and knows nothing of the answer.
                    Reason::AnswerGone => settlement.lost(delivered),
                    _ => settlement.failed(failed.bill),
                }
                return;
            }
            Ok(Event::Refused(refused)) => {
                break_off(&settlement.request_id, events::reason(&refused.reason), &tx).await;
                return;
            }
            Err(lost) => {
                break_off(&settlement.request_id, lost.reason(), &tx).await;
                settlement.lost(delivered);
                return;
            }
        }
    }
}

/// Tokens in a piece of a stream. Engines send one in each event, and an empty line ends an event.
fn count_tokens(chunk: &Bytes) -> Tokens {
    Tokens(chunk.windows(2).filter(|pair| *pair == b"\n\n").count() as u64)
}

/// Ends an answer so that the caller sees that it is incomplete.
async fn break_off(request_id: &RequestId, reason: Reason, tx: &Sender) {
    metrics::counter!(telemetry::REFUSALS, "reason" => reason.as_str(), "outcome" => "unknown").increment(1);
    event!(Warn, "answer_broken_off", request = request_id, reason = reason);
    let _ = tx.send(Err(eyre::eyre!("the answer to {request_id} broke off: {reason}"))).await;
}

/// Sends an answer that an agent holds, from an offset on.
pub async fn fetch(chain: &Chain, fetch: Fetch) -> Result<Response<Body>, Failure> {
    let Fetch { customer, request_id, offset } = fetch;
    let gone = |reason: Reason| {
        let message = format!("the answer to {request_id} could not be fetched: {reason}");
        Failure::unknown(reason, message).at(&request_id)
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
        tokio::spawn(forward_held(chain.clone(), agent, request_id.clone(), events, tx));
        response.header(TRAILER, COST.as_str()).body(body)
    };
    built.map_err(|err| Failure::from(Refusal::unknown(Reason::Internal)).with_message(err.to_string()))
}

/// Forwards the rest of a held answer. Its bill is pushed again, since the router that ran the
/// request may be gone; a repeated bill counts once.
async fn forward_held(chain: Chain, agent: HostId, request_id: RequestId, mut events: Events, tx: Sender) {
    loop {
        let next = tokio::select! {
            next = events.next() => next,
            () = tx.closed() => return,
        };
        match next {
            Ok(Event::Data(chunk)) => {
                let _ = tx.send(Ok(Frame::data(chunk))).await;
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
            Ok(Event::Failed(failed)) => return break_off(&request_id, events::reason(&failed.reason), &tx).await,
            Ok(Event::Refused(refused)) => return break_off(&request_id, events::reason(&refused.reason), &tx).await,
            Err(lost) => return break_off(&request_id, lost.reason(), &tx).await,
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
