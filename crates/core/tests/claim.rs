//! Tests of claims on idempotency keys.

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

fn request(attempt_id: &str) -> ClaimRequest {
    let attempt = Attempt { request: attempt_id.into(), agent: "agent".into(), agent_incarnation: Incarnation(1) };
    ClaimRequest { key: key("k"), digest: Fingerprint::new(&[1; 32]), attempt, barred: None }
}

fn grant(table: &mut ClaimTable, request: &ClaimRequest, now: Millis) {
    let ClaimDecision::Grant(op) = table.decide(request, FENCE) else { panic!("not granted: {request:?}") };
    table.apply(&op, now);
}

fn end(table: &mut ClaimTable, name: &str, attempt_id: &str, state: ClaimState, now: Millis) {
    let op: ClaimOp = table.end_op(key(name), &attempt_id.into(), state).expect("the attempt holds the claim");
    table.apply(&op, now);
}

fn booking_answer() -> Answer {
    Answer::new(201, Some(b"booked".to_vec()))
}

/// Decision on `second` after the claim was granted to `r1` and changed by `prepare`.
fn decide_second(prepare: impl FnOnce(&mut ClaimTable), second: &ClaimRequest) -> ClaimDecision {
    let mut table = ClaimTable::default();
    grant(&mut table, &request("r1"), Millis(0));
    prepare(&mut table);
    table.decide(second, Fence(4))
}

fn r1() -> Attempt {
    request("r1").attempt
}

/// Guards against a second run of a request whose claim is held: by another attempt, by the same
/// attempt at a second agent, or by a late duplicate.
#[test_case(request("r2"), ClaimDecision::Pending(r1()); "another attempt")]
#[test_case(request("r1"), ClaimDecision::Repeat(FENCE); "repeated")]
#[test_case(
    ClaimRequest { attempt: Attempt { agent: "other".into(), ..r1() }, ..request("r1") }, ClaimDecision::Pending(r1());
    "same attempt at another agent"
)]
#[test_case(
    ClaimRequest { barred: Some("r0".into()), ..request("r2") }, ClaimDecision::Pending(r1());
    "unrelated attempt barred"
)]
#[test_case(
    ClaimRequest { digest: Fingerprint::new(&[2; 32]), ..request("r2") }, ClaimDecision::KeyReused;
    "another request"
)]
fn decide_pending(second: ClaimRequest, expected: ClaimDecision) {
    assert_eq!(decide_second(|_| {}, &second), expected);
}

/// Guards against a request that can never be retried, because the attempt that holds its claim was
/// barred from running.
#[test]
fn decide_barred() {
    let second = ClaimRequest { barred: Some("r1".into()), ..request("r2") };
    assert!(matches!(decide_second(|_| {}, &second), ClaimDecision::Grant(_)));
}

/// Guards against a repeated key that runs its request again or does not get the stored answer.
#[test_case("r1"; "same attempt")]
#[test_case("r2"; "another attempt")]
fn decide_done(attempt_id: &str) {
    let done = decide_second(
        |table| end(table, "k", "r1", ClaimState::Done(booking_answer()), Millis(1)),
        &request(attempt_id),
    );
    assert_eq!(done, ClaimDecision::Done("r1".into(), booking_answer()));
}

/// Guards against granting a released claim again to a late duplicate of the attempt that released it.
#[test]
fn decide_released() {
    let release = |table: &mut ClaimTable| end(table, "k", "r1", ClaimState::Released, Millis(1));
    assert_eq!(decide_second(release, &request("r1")), ClaimDecision::Pending(r1()));
    assert!(matches!(decide_second(release, &request("r2")), ClaimDecision::Grant(_)));
}

/// Guards against a late end of a replaced attempt that changes the claim of its successor.
#[test]
fn end_of_replaced_attempt() {
    let mut table = ClaimTable::default();
    grant(&mut table, &request("r1"), Millis(0));
    grant(&mut table, &ClaimRequest { barred: Some("r1".into()), ..request("r2") }, Millis(1));
    assert_eq!(table.end_op(key("k"), &"r1".into(), ClaimState::Released), None);
    let stale = ClaimOp::End { key: key("k"), request: "r1".into(), state: ClaimState::Released };
    table.apply(&stale, Millis(2));
    assert_eq!(table.decide(&request("r3"), FENCE), ClaimDecision::Pending(request("r2").attempt));
}

/// Guards against a claim that expires early because it moved to an owner whose clock started later,
/// and against one that never expires.
#[test]
fn restore_keeps_retention() {
    let mut table = ClaimTable::default();
    let granted_at = Millis(50 * 3_600_000);
    grant(&mut table, &request("r1"), granted_at);
    let records = table.to_records(granted_at + Millis(1_000));
    let records = serde_json::from_str::<Vec<_>>(&serde_json::to_string(&records).unwrap()).unwrap();
    let mut restored = ClaimTable::default();
    for record in records {
        restored.restore(record, Millis(5));
    }
    restored.expire(Millis(5) + CLAIM_RETENTION - Millis(1_001));
    assert_eq!(restored.decide(&request("r2"), FENCE), ClaimDecision::Pending(r1()));
    restored.expire(Millis(5) + CLAIM_RETENTION);
    assert!(restored.is_empty());
}

/// Guards against a table that grows without bound, and against a full table that drops claims.
#[test]
fn table_full() {
    let mut table = ClaimTable::default();
    for n in 0..MAX_CLAIMS {
        grant(&mut table, &ClaimRequest { key: key(&n.to_string()), ..request("r") }, Millis(0));
    }
    assert_eq!(table.decide(&request("r"), FENCE), ClaimDecision::Full);
    let known = ClaimRequest { key: key("0"), ..request("r2") };
    assert_eq!(table.decide(&known, FENCE), ClaimDecision::Pending(request("r").attempt));
}

/// Guards against stored answers that grow without bound, and against dropping the newest answers or
/// any claim.
#[test]
fn answers_bounded() {
    let mut table = ClaimTable::default();
    let count = 2 * MAX_SHARD_ANSWER_BYTES / MAX_ANSWER_BODY_BYTES;
    for n in 0..count {
        let name = n.to_string();
        let now = Millis(n as u64);
        grant(&mut table, &ClaimRequest { key: key(&name), ..request("r") }, now);
        let answer = Answer::new(200, Some(vec![0; MAX_ANSWER_BODY_BYTES]));
        end(&mut table, &name, "r", ClaimState::Done(answer), now);
        assert!(table.answer_bytes() <= MAX_SHARD_ANSWER_BYTES);
    }
    assert_eq!(table.len(), count);
    let body_of = |n: usize| match table.decide(&ClaimRequest { key: key(&n.to_string()), ..request("r") }, FENCE) {
        ClaimDecision::Done(_, answer) => answer.body,
        other => panic!("{other:?}"),
    };
    assert!(body_of(0).is_none());
    assert!(body_of(count - 1).is_some());
}

/// Guards against large log entries: an answer body above the limit must not be stored.
#[test_case(MAX_ANSWER_BODY_BYTES, true; "largest")]
#[test_case(MAX_ANSWER_BODY_BYTES + 1, false; "too large")]
fn answer_stored(len: usize, stored: bool) {
    assert_eq!(Answer::new(200, Some(vec![0; len])).body.is_some(), stored);
}
