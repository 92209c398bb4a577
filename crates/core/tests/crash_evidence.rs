//! Guards against prompts that crash one server after the other, and against sound prompts that are refused because they
//! shared a server or other parts with such a prompt.

use eelgrasswell_core::{
    backend::ServerId,
    crash_evidence::{Block, CrashEvidence, Decision, PartId},
    id::HostId,
    unit::Millis,
};
use test_case::test_case;

const NOW: Millis = Millis(100_000);
const DEADLY: PartId = PartId(1);
const FIRST: PartId = PartId(2);
const TOPIC: PartId = PartId(3);

fn decide(evidence: &mut CrashEvidence, now: Millis, parts: &[PartId]) -> Decision {
    evidence.decide(now, parts, |_| false)
}

fn is_refused(evidence: &mut CrashEvidence, now: Millis, parts: &[PartId]) -> bool {
    matches!(decide(evidence, now, parts), Decision::Refuse(_))
}

/// Crashes of `count` servers, one each 100 ms, by requests with the deadly part and different topics.
fn crash(evidence: &mut CrashEvidence, count: u64) -> Millis {
    for n in 0..count {
        let now = NOW + Millis(n * 100);
        evidence.record_crash(now, ServerId(n), n, &[FIRST, DEADLY, PartId(100 + n)], Millis::ZERO);
        evidence.record_success(now, &[FIRST, PartId(900)]);
    }
    NOW + Millis(count * 100)
}

/// Guards against a deadly part that is never refused (issue 20, BUDGET).
#[test_case(2, false; "two servers")]
#[test_case(3, true; "three servers")]
#[test_case(5, true; "five servers")]
fn deadly_part(servers: u64, refused: bool) {
    let mut evidence = CrashEvidence::default();
    let now = crash(&mut evidence, servers);
    assert_eq!(is_refused(&mut evidence, now, &[FIRST, DEADLY, PartId(500)]), refused);
}

/// Guards against the refusal of sound requests that share the first part or a topic (issue 20, LOST).
#[test_case(&[FIRST]; "first part")]
#[test_case(&[FIRST, PartId(101)]; "topic")]
#[test_case(&[PartId(900)]; "another part")]
fn sound_part(parts: &[PartId]) {
    let mut evidence = CrashEvidence::default();
    let now = crash(&mut evidence, 8);
    assert!(is_refused(&mut evidence, now, &[DEADLY]));
    assert_eq!(decide(&mut evidence, now, parts), Decision::Send);
}

/// Guards against a rare sound part that was on three servers when a deadly one crashed them.
#[test]
fn sound_part_on_crashed_servers() {
    let mut evidence = CrashEvidence::default();
    let now = crash(&mut evidence, 5);
    for n in 0..4 {
        evidence.record_crash(now, ServerId(n), 50 + n, &[TOPIC], Millis::ZERO);
    }
    assert_eq!(decide(&mut evidence, now, &[FIRST, TOPIC]), Decision::Send);
    assert!(is_refused(&mut evidence, now, &[FIRST, DEADLY]));
}

/// Guards against a sound part that is refused because it was in the prompts of all requests so far that crashed a server,
/// and against requests that go on to crash servers because their parts can't be told apart.
#[test_case(4, &[TOPIC, DEADLY], false; "both parts after few crashes")]
#[test_case(5, &[TOPIC, DEADLY], true; "both parts after many crashes")]
#[test_case(5, &[TOPIC], false; "one of the parts")]
fn parts_with_equal_evidence(servers: u64, parts: &[PartId], refused: bool) {
    let mut evidence = CrashEvidence::default();
    for n in 0..servers {
        evidence.record_crash(NOW, ServerId(n), n, &[DEADLY, TOPIC], Millis::ZERO);
    }
    assert_eq!(is_refused(&mut evidence, NOW, parts), refused);
    assert_eq!(evidence.blocked(), 0);
    // One more crash without the sound part tells them apart.
    evidence.record_crash(NOW, ServerId(99), 99, &[DEADLY], Millis::ZERO);
    assert!(is_refused(&mut evidence, NOW, &[DEADLY]));
    assert_eq!(decide(&mut evidence, NOW, &[TOPIC]), Decision::Send);
}

/// Guards against the refusal of sound prompts whose answers were under way on servers that crashed.
#[test]
fn answer_that_was_under_way() {
    let mut evidence = CrashEvidence::default();
    for n in 0..6 {
        evidence.record_crash(NOW, ServerId(n), n, &[TOPIC], Millis(1_200));
    }
    assert_eq!(decide(&mut evidence, NOW, &[TOPIC]), Decision::Send);
}

/// Guards against a request that meets several failing servers and makes its own topic suspect.
#[test]
fn breaks_of_one_request() {
    let mut evidence = CrashEvidence::default();
    for n in 0..4 {
        evidence.record_crash(NOW, ServerId(n), 7, &[TOPIC], Millis::ZERO);
    }
    assert_eq!(decide(&mut evidence, NOW, &[TOPIC]), Decision::Send);
}

/// Guards against old crashes that add up to a block.
#[test]
fn crash_expires() {
    let mut evidence = CrashEvidence::default();
    for n in 0..6 {
        evidence.record_crash(NOW + Millis(n * 16_000), ServerId(n), n, &[TOPIC], Millis::ZERO);
    }
    assert_eq!(decide(&mut evidence, NOW + Millis(80_000), &[TOPIC]), Decision::Send);
}

/// Guards against a part that stays refused although a request with it has succeeded.
#[test]
fn success_clears_block() {
    let mut evidence = CrashEvidence::default();
    let now = crash(&mut evidence, 5);
    assert!(is_refused(&mut evidence, now, &[DEADLY]));
    evidence.record_success(now + Millis(1), &[DEADLY]);
    assert_eq!(decide(&mut evidence, now + Millis(2), &[DEADLY]), Decision::Send);
}

/// Guards against evidence that each gateway keeps to itself.
#[test]
fn evidence_is_pooled() {
    let mut routers: Vec<CrashEvidence> = (0..3).map(|_| CrashEvidence::default()).collect();
    for (n, router) in routers.iter_mut().enumerate() {
        router.record_crash(NOW, ServerId(n as u64), n as u64, &[DEADLY], Millis::ZERO);
    }
    let reports: Vec<_> = routers.iter_mut().map(|router| router.report(NOW)).collect();
    let mut late = CrashEvidence::default();
    for report in &reports {
        late.merge(NOW, report);
    }
    assert!(is_refused(&mut late, NOW, &[DEADLY]));
}

/// Guards against messages that undo a decision when they are late, repeated or reordered.
#[test]
fn late_report_does_not_restore_block() {
    let mut evidence = CrashEvidence::default();
    let now = crash(&mut evidence, 5);
    let before_block = evidence.report(now);
    assert!(is_refused(&mut evidence, now, &[DEADLY]));
    let with_block = evidence.report(now);
    evidence.record_success(now + Millis(10), &[DEADLY]);
    for report in [&with_block, &before_block, &with_block] {
        evidence.merge(now + Millis(20), report);
    }
    assert_eq!(decide(&mut evidence, now + Millis(30), &[DEADLY]), Decision::Send);
}

/// Guards against a block that is lost when all evidence but one report is lost, as at a gateway that has restarted.
#[test]
fn block_reaches_new_router() {
    let mut evidence = CrashEvidence::default();
    let now = crash(&mut evidence, 5);
    assert!(is_refused(&mut evidence, now, &[DEADLY]));
    let later = now + Millis(50_000);
    assert!(is_refused(&mut evidence, later, &[DEADLY]));
    let report = evidence.report(later);
    assert_eq!(report.crashes, [], "evidence against a blocked part is not needed any more");
    let mut restarted = CrashEvidence::default();
    restarted.merge(later, &report);
    assert!(is_refused(&mut restarted, later, &[DEADLY]));
}

/// Guards against a part that is blocked for good, and against probes that crash more than a few servers.
#[test]
fn probes_are_few() {
    let mut evidence = CrashEvidence::default();
    let now = crash(&mut evidence, 5);
    let mut probes = 0;
    for second in 0..600 {
        let now = now + Millis(second * 1_000);
        if let Decision::Probe(Block { part, .. }) = evidence.decide(now, &[FIRST, DEADLY], |_| true) {
            assert_eq!(part, DEADLY);
            probes += 1;
        }
    }
    assert_eq!(probes, 3);
}

/// Guards against memory that grows with the prompts.
#[test]
fn state_is_bounded() {
    let mut evidence = CrashEvidence::default();
    for n in 0..20_000 {
        evidence.record_crash(NOW, ServerId(n), n, &[PartId(n)], Millis::ZERO);
        evidence.record_success(NOW, &[PartId(1_000_000 + n)]);
    }
    let (suspects, successes) = evidence.sizes();
    assert!(suspects <= 512 && successes <= 8_192, "{suspects} suspects, {successes} successes");
    evidence.report(NOW + Millis(120_000));
    assert_eq!(evidence.sizes(), (0, 0), "the evidence does not expire");
}

/// Guards against a blocked part that several routers probe, or none.
#[test]
fn one_router_probes() {
    let ids: Vec<HostId> = (0..26).map(|n| HostId::from(format!("host-{n}").as_str())).collect();
    for part in (0..50).map(PartId) {
        let probers = ids.iter().filter(|own| {
            let others = ids.iter().filter(|id| id != own);
            CrashEvidence::is_prober(part, own, others)
        });
        assert_eq!(probers.count(), 1);
    }
}
