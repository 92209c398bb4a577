//! Answers in bounded memory: backpressure, another fetch, and readers that stall.

use std::time::Duration;

use eelgrasswell_core::{
    id::{CustomerId, RequestId},
    refusal::Reason,
    unit::{Bytes, Millis},
};
use eelgrasswell_daemon::{
    agent::answers::{AnswerReader, AnswerWriter, Answers, MAX_PIECE_BYTES},
    clock::Clock,
};
use eelgrasswell_manifest::settings::AnswerLimits;
use eelgrasswell_proto::v1::{Accepted, Finished, Head, execute_event::Event};
use eelgrasswell_testbed::engine::{Options, answer_text};
use futures::{FutureExt, poll};
use test_case::test_case;
use tokio::time::timeout;

use crate::rig::{Rig, config, eventually, model_request, read, read_from, read_rest};

const MODELS: &str = "loan-models";
const KB: u64 = 1 << 10;

fn open(per_answer: u64, per_customer: u64, total: u64) -> Answers {
    let limits = AnswerLimits {
        per_answer: Bytes(per_answer),
        per_customer: Bytes(per_customer),
        total: Bytes(total),
        hold: Millis(60_000),
        stalled_after: Millis(60_000),
    };
    Answers::open(limits, Clock::start())
}

fn begin(answers: &Answers, id: &str, customer: &str) -> (AnswerWriter, AnswerReader) {
    let accepted = Accepted { revision: 1, agent_incarnation: 1 };
    let (answer, reader) = answers.create(&RequestId::from(id), &CustomerId::from(customer), accepted).unwrap();
    answer.start(false);
    answer.set_head(Head { status: 200, headers: Vec::new() });
    (answer, reader)
}

fn join(answers: &Answers, id: &str, customer: &str, offset: u64) -> Option<AnswerReader> {
    answers.attach_reader(&RequestId::from(id), &CustomerId::from(customer), offset)
}

/// Ends the answer as a whole one.
fn finish(answer: AnswerWriter) {
    let length = answer.length();
    answer.end(Event::Finished(Finished { bill: None, length }));
}

/// Reads what is there; gives the bytes and the reason or kind of the end, if it came.
fn drain(reader: &mut AnswerReader) -> (Vec<u8>, Option<String>) {
    let mut body = Vec::new();
    while let Some(Some(event)) = reader.next().now_or_never() {
        match event {
            Event::Data(data) => body.extend_from_slice(&data.chunk),
            Event::Finished(_) => return (body, Some("finished".to_owned())),
            Event::Failed(failed) => return (body, Some(failed.reason)),
            _ => {}
        }
    }
    (body, None)
}

/// Appends pieces until the bound holds the writer up; gives the number of bytes.
fn fill(answer: &AnswerWriter, piece: usize) -> u64 {
    let bytes = vec![7; piece];
    let mut pushed = 0;
    while answer.push(&bytes).now_or_never().is_some() {
        pushed += piece as u64;
        assert!(pushed < 1 << 30, "nothing holds the writer up");
    }
    pushed
}

/// Guards against memory that grows with a reader that does not read, and against a writer that
/// stays held up although the reader reads again.
#[tokio::test]
async fn push_beyond_bound_waits_for_reader() {
    let answers = open(8 * KB, 1_000 * KB, 1_000 * KB);
    let (answer, mut reader) = begin(&answers, "r1", "reef");
    assert_eq!(fill(&answer, 1 << 10), 8 * KB);
    let mut push = Box::pin(answer.push(&[9; 1 << 10]));
    assert!(poll!(&mut push).is_pending());
    assert_eq!(drain(&mut reader).0.len() as u64, 8 * KB);
    push.await.unwrap();
    assert_eq!(drain(&mut reader).0, [9; 1 << 10]);
    assert!(answers.held_bytes() <= 9 * KB, "{} bytes held", answers.held_bytes());
}

/// Guards against stalled readers that hold places of the backend server for `stalled_after`, 60 s
/// here, while other requests wait for one.
#[tokio::test]
async fn push_blocked_gives_way_to_waiting_requests() {
    let answers = open(8 * KB, 1_000 * KB, 1_000 * KB);
    let (answer, _reader) = begin(&answers, "r1", "reef");
    fill(&answer, 1 << 10);
    let sweep = tokio::spawn(answers.clone().sweep());
    answers.set_requests_queued(true);
    let push = timeout(Duration::from_secs(20), answer.push(&[9; 1 << 10])).await;
    assert_eq!(push.expect("the blocked answer is given up"), Err(Reason::SlowReader));
    sweep.abort();
}

/// Guards against readers that stall and so hold up those that keep up, and against memory that
/// grows with the number of stalled readers.
#[test_case(100 ; "100 stalled")]
#[test_case(1_000 ; "1000 stalled")]
#[tokio::test]
async fn push_beside_stalled_readers_goes_on(stalled: usize) {
    let bound = 4_096 * KB;
    let answers = open(64 * KB, 100_000 * KB, bound);
    let mut kept = Vec::new();
    for number in 0..stalled {
        let (answer, reader) = begin(&answers, &format!("stalled-{number}"), &format!("customer-{}", number % 10));
        fill(&answer, 256);
        kept.push((answer, reader));
    }
    assert!(answers.held_bytes() <= bound, "{} bytes held", answers.held_bytes());
    let (answer, mut reader) = begin(&answers, "healthy", "reef");
    for _ in 0..1_000 {
        answer.push(&[1; 256]).now_or_never().expect("the writer is held up").unwrap();
        assert_eq!(drain(&mut reader).0.len(), 256);
    }
    assert!(answers.held_bytes() <= bound, "{} bytes held", answers.held_bytes());
}

/// Guards against one customer's unread answers that use up the memory of all.
#[tokio::test]
async fn begin_beyond_customer_bound_refuses() {
    let answers = open(64 * KB, 16 * KB, 1_024 * KB);
    let (answer, _reader) = begin(&answers, "r1", "reef");
    fill(&answer, 256);
    let accepted = Accepted { revision: 1, agent_incarnation: 1 };
    let refused = answers.create(&RequestId::from("r2"), &CustomerId::from("reef"), accepted);
    assert_eq!(refused.err().map(|refusal| refusal.reason), Some(Reason::SlowReader));
    begin(&answers, "r3", "lagoon");
}

/// Guards against answers of other customers, and against wrong or missing bytes in another fetch.
#[tokio::test]
async fn join_at_offset_gives_the_rest() {
    let answers = open(64 * KB, 1_000 * KB, 1_000 * KB);
    let (answer, reader) = begin(&answers, "r1", "reef");
    let body: Vec<u8> = (0..40_000u32).map(|byte| byte as u8).collect();
    answer.push(&body).await.unwrap();
    drop(reader);
    let mut early = join(&answers, "r1", "reef", 0).unwrap();
    finish(answer);
    for offset in [0, 1, MAX_PIECE_BYTES, 39_999, 40_000] {
        let mut reader = join(&answers, "r1", "reef", offset as u64).unwrap();
        assert_eq!(drain(&mut reader), (body[offset..].to_vec(), Some("finished".to_owned())));
    }
    assert_eq!(drain(&mut early).0, body);
    let mut beyond = join(&answers, "r1", "reef", 40_001).unwrap();
    assert_eq!(drain(&mut beyond), (Vec::new(), Some("bad_request".to_owned())));
    assert!(join(&answers, "r1", "lagoon", 0).is_none());
    assert!(join(&answers, "r2", "reef", 0).is_none());
}

/// Guards against a gap that a reader does not notice after bytes were dropped.
#[tokio::test]
async fn join_before_dropped_bytes_fails() {
    let answers = open(8 * KB, 1_000 * KB, 1_000 * KB);
    let (answer, mut reader) = begin(&answers, "r1", "reef");
    for _ in 0..20 {
        answer.push(&[1; 1 << 10]).now_or_never().expect("the writer is held up").unwrap();
        drain(&mut reader);
    }
    let mut late = join(&answers, "r1", "reef", 0).unwrap();
    assert_eq!(drain(&mut late), (Vec::new(), Some("answer_gone".to_owned())));
    let mut recent = join(&answers, "r1", "reef", 19 * KB).unwrap();
    assert_eq!(drain(&mut recent).0.len() as u64, KB);
}

/// Guards against bytes that are dropped while another reader still needs them: one that joined
/// because the connection of the first is dead, or one that has yet to join.
#[test_case(true ; "first reader stays")]
#[test_case(false ; "first reader leaves")]
#[tokio::test]
async fn push_beyond_bound_keeps_bytes_for_next_reader(stays: bool) {
    let answers = open(8 * KB, 1_000 * KB, 1_000 * KB);
    let (answer, mut first) = begin(&answers, "r1", "reef");
    fill(&answer, 1 << 10);
    assert_eq!(drain(&mut first).0.len() as u64, 8 * KB);
    let mut second = stays.then(|| join(&answers, "r1", "reef", 0).unwrap());
    let first = stays.then_some(first);
    let mut push = Box::pin(answer.push(&[9; 1 << 10]));
    assert!(poll!(&mut push).is_pending());
    let second = second.get_or_insert_with(|| join(&answers, "r1", "reef", 0).unwrap());
    assert_eq!(drain(second).0.len() as u64, 8 * KB);
    push.await.unwrap();
    assert_eq!(drain(second).0, [9; 1 << 10]);
    drop(first);
}

/// Guards against unread answers that are dropped while read ones are held.
#[tokio::test]
async fn evict_read_answers_first() {
    let answers = open(8 * KB, 1_000 * KB, 28 * KB);
    let (unread, reader) = begin(&answers, "unread", "reef");
    unread.push(&[1; 8 << 10]).await.unwrap();
    drop(reader);
    finish(unread);
    let (read, mut reader) = begin(&answers, "read", "reef");
    read.push(&[2; 8 << 10]).await.unwrap();
    finish(read);
    drain(&mut reader);
    drop(reader);
    let (third, _reader) = begin(&answers, "third", "reef");
    third.push(&[3; 8 << 10]).now_or_never().expect("the writer is held up").unwrap();
    assert!(join(&answers, "read", "reef", 0).is_none());
    assert!(join(&answers, "unread", "reef", 0).is_some());
}

/// Guards against an answer that never ends because its task broke.
#[tokio::test]
async fn drop_without_end_fails() {
    let answers = open(8 * KB, 1_000 * KB, 1_000 * KB);
    let (answer, mut reader) = begin(&answers, "r1", "reef");
    drop(answer);
    assert_eq!(drain(&mut reader).1, Some("internal".to_owned()));
    assert_eq!(answers.unfinished_count(), 0);
    drop(reader);
    timeout(Duration::from_secs(5), answers.wait_until_idle()).await.unwrap();
}

fn limits(per_answer: u64, hold: u64, stalled_after: u64) -> String {
    format!("answers: {{per_answer: {per_answer}, hold: {hold}, stalled_after: {stalled_after}}}\n")
}

/// Guards against an engine that works on for a reader that stalls or went away, and against a
/// stalled answer whose bytes so far are lost.
#[tokio::test]
async fn stalled_reader_holds_up_and_cancels_engine() {
    let options = Options { token_interval: Duration::ZERO, ..Options::default() };
    let rig = Rig::start_with(MODELS, &limits(16 << 10, 60_000, 500), options).await;
    let _link = rig.link(&config(1)).await;
    // 20,000 events of about 110 bytes; buffers and windows on the way hold less than 600 KB.
    let events = rig.execute(model_request("r1", true, 20_000)).await;
    let run = eventually(|| rig.engine.runs().into_iter().find(|run| run.cancelled)).await;
    assert!(run.tokens < 6_000, "{run:?}");
    let reply = read(events).await;
    let (reason, bill) = reply.failure();
    assert_eq!(reason, "slow_reader");
    let tokens = bill.expect("delivered tokens are billed").output_tokens;
    assert!(tokens <= run.tokens, "{tokens} of {} tokens billed", run.tokens);
    let whole = answer_text("loan-desk", "v1", "what is owed", 20_000);
    assert!(whole.starts_with(&reply.text()));
    let end = reply.body.len() as u64;
    let rest = read_from(rig.resume("r1", "reef", end - 5_000).await, Some(end - 5_000)).await;
    assert_eq!(rest.body, reply.body[reply.body.len() - 5_000..]);
    assert_eq!(rest.failure().0, "slow_reader");
}

/// Guards against work for a caller that went away for good.
#[tokio::test]
async fn abandoned_model_request_is_cancelled() {
    let rig = Rig::start(MODELS, &limits(64 << 10, 60_000, 300)).await;
    let _link = rig.link(&config(1)).await;
    let mut events = rig.execute(model_request("r1", true, 90_000)).await;
    events.message().await.unwrap().unwrap();
    eventually(|| (!rig.engine.runs().is_empty()).then_some(())).await;
    drop(events);
    eventually(|| rig.engine.cancels().contains(&"r1".to_owned()).then_some(())).await;
    assert_eq!(read_rest(rig.resume("r1", "reef", 0).await).await.failure().0, "cancelled");
}

/// Guards against answers that are held for ever.
#[tokio::test]
async fn finished_answer_is_dropped_after_hold() {
    let rig = Rig::start(MODELS, &limits(64 << 10, 300, 300)).await;
    let _link = rig.link(&config(1)).await;
    rig.run(model_request("r1", false, 1)).await.finished();
    let gone = async { while !read(rig.resume("r1", "reef", 0).await).await.is_gone() {} };
    timeout(Duration::from_secs(10), gone).await.unwrap();
}
