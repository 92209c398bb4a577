//! Claims of non-idempotent requests.

use eelgrasswell_core::{
    claim::{
        Answer, Attempt, CLAIM_RETENTION, ClaimDecision, ClaimKey, ClaimOp, ClaimRequest, ClaimState, ClaimTable,
        Fingerprint, MAX_ANSWER_BODY_BYTES, MAX_CLAIMS, MAX_SHARD_ANSWER_BYTES,
    },
    id::{Fence, Incarnation},
    unit::Millis,
};
use test_case::test_case;

const FENCE: Fence = Fence(3);

fn key(name: &str) -> ClaimKey {
    ClaimKey::new(&"customer".into(), name)
}

fn ask(request: &str) -> ClaimRequest {
    let attempt = Attempt { request: request.into(), agent: "agent".into(), agent_incarnation: Incarnation(1) };
    ClaimRequest { key: key("k"), digest: Fingerprint::new(&[1; 32]), attempt, barred: None }
}

fn grant(table: &mut ClaimTable, ask: &ClaimRequest, now: Millis) {
    let ClaimDecision::Grant(op) = table.decide(ask, FENCE) else { panic!("not granted: {ask:?}") };
    table.apply(&op, now);
}

fn end(table: &mut ClaimTable, name: &str, request: &str, state: ClaimState, now: Millis) {
    let op: ClaimOp = table.end_op(key(name), &request.into(), state).expect("the attempt holds the claim");
    table.apply(&op, now);
}

fn booked() -> Answer {
    Answer::new(201, Some(b"booked".to_vec()))
}

/// What a second request for the claim of `r1` finds.
fn second(prepare: impl FnOnce(&mut ClaimTable), ask: &ClaimRequest) -> ClaimDecision {
    let mut table = ClaimTable::default();
    grant(&mut table, &self::ask("r1"), Millis(0));
    prepare(&mut table);
    table.decide(ask, Fence(4))
}

fn r1() -> Attempt {
    ask("r1").attempt
}

/// Guards against a second run: by another attempt, by the same attempt at a second agent, and by
/// late duplicates.
#[test_case(ask("r2"), ClaimDecision::Pending(r1()); "another attempt")]
#[test_case(ask("r1"), ClaimDecision::Repeat(FENCE); "repeated")]
#[test_case(
    ClaimRequest { attempt: Attempt { agent: "other".into(), ..r1() }, ..ask("r1") }, ClaimDecision::Pending(r1());
    "same attempt at another agent"
)]
#[test_case(ClaimRequest { barred: Some("r0".into()), ..ask("r2") }, ClaimDecision::Pending(r1()); "other id barred")]
#[test_case(
    ClaimRequest { digest: Fingerprint::new(&[2; 32]), ..ask("r2") }, ClaimDecision::KeyReused;
    "another request"
)]
fn decide_pending(ask: ClaimRequest, expected: ClaimDecision) {
    assert_eq!(second(|_| {}, &ask), expected);
}

/// Guards against a booking that is never tried again although its attempt cannot run.
#[test]
fn decide_barred() {
    let ask = ClaimRequest { barred: Some("r1".into()), ..ask("r2") };
    assert!(matches!(second(|_| {}, &ask), ClaimDecision::Grant(_)));
}

/// Guards against a repeated key that runs again or loses its answer.
#[test_case("r1"; "same attempt")]
#[test_case("r2"; "another attempt")]
fn decide_done(request: &str) {
    let done = second(|table| end(table, "k", "r1", ClaimState::Done(booked()), Millis(1)), &ask(request));
    assert_eq!(done, ClaimDecision::Done("r1".into(), booked()));
}

/// Guards against a released claim that a late duplicate of its attempt takes back.
#[test]
fn decide_released() {
    let release = |table: &mut ClaimTable| end(table, "k", "r1", ClaimState::Released, Millis(1));
    assert_eq!(second(release, &ask("r1")), ClaimDecision::Pending(r1()));
    assert!(matches!(second(release, &ask("r2")), ClaimDecision::Grant(_)));
}

/// Guards against an end that arrives late and changes another attempt's claim.
#[test]
fn end_of_replaced_attempt() {
    let mut table = ClaimTable::default();
    grant(&mut table, &ask("r1"), Millis(0));
    grant(&mut table, &ClaimRequest { barred: Some("r1".into()), ..ask("r2") }, Millis(1));
    assert_eq!(table.end_op(key("k"), &"r1".into(), ClaimState::Released), None);
    let stale = ClaimOp::End { key: key("k"), request: "r1".into(), state: ClaimState::Released };
    table.apply(&stale, Millis(2));
    assert_eq!(table.decide(&ask("r3"), FENCE), ClaimDecision::Pending(ask("r2").attempt));
}

/// Guards against a claim that is forgotten early because it moved to an owner whose clock started
/// later, and against one that is kept for good.
#[test]
fn restore_keeps_retention() {
    let mut table = ClaimTable::default();
    let taken = Millis(50 * 3_600_000);
    grant(&mut table, &ask("r1"), taken);
    let records = table.to_records(taken + Millis(1_000));
    let records = serde_json::from_str::<Vec<_>>(&serde_json::to_string(&records).unwrap()).unwrap();
    let mut restored = ClaimTable::default();
    for record in records {
        restored.restore(record, Millis(5));
    }
    restored.expire(Millis(5) + CLAIM_RETENTION - Millis(1_001));
    assert_eq!(restored.decide(&ask("r2"), FENCE), ClaimDecision::Pending(r1()));
    restored.expire(Millis(5) + CLAIM_RETENTION);
    assert!(restored.is_empty());
}

/// Guards against memory without bound, and against a full table that forgets claims.
#[test]
fn table_full() {
    let mut table = ClaimTable::default();
    for n in 0..MAX_CLAIMS {
        grant(&mut table, &ClaimRequest { key: key(&n.to_string()), ..ask("r") }, Millis(0));
    }
    assert_eq!(table.decide(&ask("r"), FENCE), ClaimDecision::Full);
    let known = ClaimRequest { key: key("0"), ..ask("r2") };
    assert_eq!(table.decide(&known, FENCE), ClaimDecision::Pending(ask("r").attempt));
}

/// Guards against answers without bound. The newest stay and no claim is lost.
#[test]
fn answers_bounded() {
    let mut table = ClaimTable::default();
    let count = 2 * MAX_SHARD_ANSWER_BYTES / MAX_ANSWER_BODY_BYTES;
    for n in 0..count {
        let name = n.to_string();
        let now = Millis(n as u64);
        grant(&mut table, &ClaimRequest { key: key(&name), ..ask("r") }, now);
        let answer = Answer::new(200, Some(vec![0; MAX_ANSWER_BODY_BYTES]));
        end(&mut table, &name, "r", ClaimState::Done(answer), now);
        assert!(table.answer_bytes() <= MAX_SHARD_ANSWER_BYTES);
    }
    assert_eq!(table.len(), count);
    let body_of = |n: usize| match table.decide(&ClaimRequest { key: key(&n.to_string()), ..ask("r") }, FENCE) {
        ClaimDecision::Done(_, answer) => answer.body,
        other => panic!("{other:?}"),
    };
    assert!(body_of(0).is_none());
    assert!(body_of(count - 1).is_some());
}

/// Guards against a claim whose log entry grows with the answer.
#[test_case(MAX_ANSWER_BODY_BYTES, true; "largest")]
#[test_case(MAX_ANSWER_BODY_BYTES + 1, false; "too large")]
fn answer_kept(len: usize, kept: bool) {
    assert_eq!(Answer::new(200, Some(vec![0; len])).body.is_some(), kept);
}
