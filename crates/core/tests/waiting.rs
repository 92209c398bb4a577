//! Guards against requests that wait or are refused while there is room, are served out of order, or are dropped for others
//! that come later or can't be in time.

use eelgrasswell_core::{
    hash::HashMap,
    id::ServiceName,
    room::Room,
    unit::Millis,
    waiting::{Admission, Decision, Request, WaitId, WaitLimits, Why},
};
use proptest::prelude::*;
use test_case::test_case;

const NOW: Millis = Millis(100_000);
const LIMITS: WaitLimits = WaitLimits { max_wait: Millis(1_000), max_waiting: 8 };

fn rooms(allowed: u32) -> HashMap<ServiceName, Room> {
    HashMap::from_iter([("desk".into(), Room { limit: allowed, allowed, ..Room::default() })])
}

fn admission(allowed: u32) -> Admission {
    let mut admission = Admission::new(LIMITS);
    admission.refresh(NOW, rooms(allowed));
    admission
}

fn request(customer: &str, urgency: u8) -> Request {
    Request {
        service: "desk".into(),
        customer: customer.into(),
        urgency,
        arrived: NOW,
        objective: Millis(2_000),
        deadline: NOW + Millis(9_000),
        expected: None,
    }
}

fn wait(admission: &mut Admission, now: Millis, request: &Request) -> WaitId {
    match admission.ask(now, request) {
        Decision::Wait { id, .. } => id,
        other => panic!("{other:?}"),
    }
}

/// Ends one request after `hold` and returns the ids of those that are admitted.
fn end(admission: &mut Admission, now: Millis, hold: u64) -> Vec<WaitId> {
    admission.end(now, &"desk".into(), Some(Millis(hold))).into_iter().map(|(id, _)| id).collect()
}

/// Before the capacity is known, and for services without servers, requests pass as without this part.
#[test]
fn unknown_capacity_admits() {
    let mut admission = Admission::new(LIMITS);
    assert!((0..100).all(|_| admission.ask(NOW, &request("a", 0)) == Decision::Admit));
}

#[test]
fn order_of_admission() {
    let mut admission = admission(2);
    admission.ask(NOW, &request("a", 0));
    admission.ask(NOW, &request("a", 0));
    let less_urgent = wait(&mut admission, NOW, &request("b", 1));
    let served_before = wait(&mut admission, NOW, &request("a", 0));
    let later_objective = wait(&mut admission, NOW, &Request { objective: Millis(3_000), ..request("c", 0) });
    let first = wait(&mut admission, NOW, &request("c", 0));
    let order: Vec<WaitId> = (0..4).flat_map(|_| end(&mut admission, NOW, 100)).collect();
    assert_eq!(order, [first, later_objective, served_before, less_urgent]);
}

/// One customer presses: with equal priority, it gets no more than the others, and its excess leaves a full queue first,
/// whatever its priority.
#[test]
fn pressing_customer_loses_excess() {
    let mut admission = admission(1_000);
    for second in 0..30 {
        let now = NOW + Millis(second * 1_000);
        let pressed = if second < 20 { 10 } else { 75 };
        admission.refresh(now, rooms(1_000));
        for (customer, count) in [("a", pressed), ("b", 10), ("c", 10)] {
            for _ in 0..count {
                assert_eq!(admission.ask(now, &request(customer, 0)), Decision::Admit, "while there is room");
                end(&mut admission, now, 50);
            }
        }
    }
    let now = NOW + Millis(29_500);
    admission.refresh(now, rooms(1));
    let request =
        |customer, urgency| Request { arrived: now, deadline: now + Millis(9_000), ..request(customer, urgency) };
    assert_eq!(admission.ask(now, &request("b", 1)), Decision::Admit);
    let waiting: Vec<WaitId> = (0..8).map(|_| wait(&mut admission, now, &request("a", 0))).collect();
    let Decision::Wait { displaced: Some(displaced), .. } = admission.ask(now, &request("b", 1)) else { panic!() };
    assert!(waiting.contains(&displaced.id));
    assert!(matches!(admission.ask(now, &request("a", 0)), Decision::Refuse { why: Why::QueueFull, .. }));
}

/// A burst: what can't be served in time is refused on arrival, and displaces nothing that can.
#[test]
fn late_request_displaces_nothing() {
    let mut admission = admission(1);
    admission.ask(NOW, &request("a", 0));
    end(&mut admission, NOW, 300);
    admission.ask(NOW, &request("a", 0));
    let waiting: Vec<WaitId> = (0..3).map(|_| wait(&mut admission, NOW, &request("b", 1))).collect();
    let hurried = Request { objective: Millis(200), ..request("a", 0) };
    assert!(matches!(admission.ask(NOW, &hurried), Decision::Refuse { why: Why::Late, .. }));
    assert!(matches!(admission.ask(NOW, &request("b", 1)), Decision::Refuse { why: Why::Late, .. }));
    assert_eq!(admission.waiting(), 3);
    let order: Vec<WaitId> = (1..=3).flat_map(|n| end(&mut admission, NOW + Millis(n * 300), 300)).collect();
    assert_eq!(order, waiting);
}

/// Long against short requests: the prediction follows the time for which requests occupy a slot.
#[test_case(30, true; "short")]
#[test_case(8_000, false; "long")]
fn wait_follows_hold(hold: u64, waits: bool) {
    let mut admission = admission(1);
    for _ in 0..20 {
        admission.ask(NOW, &request("a", 0));
        end(&mut admission, NOW, hold);
    }
    admission.ask(NOW, &request("a", 0));
    assert_eq!(matches!(admission.ask(NOW, &request("b", 0)), Decision::Wait { .. }), waits);
}

/// Half of the servers lost: those that can't be served any more learn it while they have time to come back.
#[test]
fn hopeless_requests_are_refused_early() {
    let mut admission = admission(8);
    for _ in 0..8 {
        admission.ask(NOW, &request("a", 0));
    }
    end(&mut admission, NOW, 800);
    admission.ask(NOW, &request("a", 0));
    let waiting: Vec<WaitId> = (0..6).map(|_| wait(&mut admission, NOW, &request("b", 0))).collect();
    let ended = admission.refresh(NOW, rooms(1));
    assert!(ended.admitted.is_empty() && !ended.refused.is_empty(), "{ended:?}");
    assert!(ended.refused.iter().all(|refused| waiting.contains(&refused.id)));
}

/// Guards against waits beyond the limit, the objective and the deadline.
#[test_case(|_| {}, Some(1_000); "longest wait")]
#[test_case(|r| r.objective = Millis(700), Some(700); "objective")]
#[test_case(|r| r.deadline = NOW + Millis(600), Some(600); "deadline")]
#[test_case(|r| (r.objective, r.expected) = (Millis(700), Some(Millis(200))), Some(500); "time for the answer")]
#[test_case(|r| (r.objective, r.expected) = (Millis(700), Some(Millis(9_000))), Some(350); "slow answers")]
#[test_case(|r| r.objective = Millis::ZERO, None; "objective missed already")]
fn end_of_wait(change: fn(&mut Request), expected: Option<u64>) {
    let mut admission = admission(1);
    admission.ask(NOW, &request("a", 0));
    let mut request = request("b", 0);
    change(&mut request);
    let until = match admission.ask(NOW, &request) {
        Decision::Wait { until, .. } => Some((until - NOW).0),
        _ => None,
    };
    assert_eq!(until, expected);
}

proptest! {
    /// Work-conserving, bounded and without loss: each request is admitted, waits, or has been refused; none waits while
    /// there is room; the most urgent waiting request is the next one. The schedules end before usual shares are learned, whose
    /// excess comes last whatever its urgency.
    #[test]
    fn any_schedule(steps in prop::collection::vec((0_u8..6, 0_u8..4, 0_u8..3, 1_u64..33), 1..300)) {
        let mut admission = admission(3);
        let (mut allowed, mut running, mut now) = (3_u32, 0_u32, NOW);
        let mut waiting: HashMap<WaitId, (u8, Millis)> = HashMap::default();
        for (step, customer, urgency, pause) in steps {
            now += Millis(pause);
            let mut admitted = Vec::new();
            match step {
                0..=2 => {
                    let request = Request { arrived: now, deadline: now + Millis(3_000), ..request(&customer.to_string(), urgency) };
                    match admission.ask(now, &request) {
                        Decision::Admit => {
                            prop_assert!(running < allowed, "admitted without room");
                            running += 1;
                        }
                        Decision::Wait { id, until, displaced } => {
                            prop_assert!(running >= allowed, "waits while there is room");
                            prop_assert!(until > now && until <= now + LIMITS.max_wait);
                            waiting.insert(id, (urgency, until));
                            if let Some(refused) = displaced {
                                let (displaced, _) = waiting.remove(&refused.id).unwrap();
                                prop_assert!(displaced >= urgency);
                            }
                        }
                        Decision::Refuse { retry_after, .. } => {
                            prop_assert!(running >= allowed, "refused while there is room");
                            prop_assert!(retry_after.is_none_or(|wait| wait <= Millis(1_000)));
                        }
                    }
                }
                3 if running > 0 => {
                    running -= 1;
                    admitted = end(&mut admission, now, pause);
                }
                4 => {
                    allowed = u32::from(customer) + 1;
                    let ended = admission.refresh(now, rooms(allowed));
                    admitted = ended.admitted.into_iter().map(|(id, _)| id).collect();
                    for refused in ended.refused {
                        prop_assert!(waiting.remove(&refused.id).is_some());
                    }
                }
                _ => {
                    let over: Vec<WaitId> = waiting.iter().filter(|(_, (_, until))| *until < now).map(|(id, _)| *id).collect();
                    for id in over {
                        waiting.remove(&id);
                        prop_assert!(admission.give_up(now, &"desk".into(), id).is_some());
                    }
                }
            }
            for id in admitted {
                let (urgency, until) = waiting.remove(&id).unwrap();
                prop_assert!(until >= now, "admitted too late");
                let more_urgent = waiting.values().any(|(other, until)| *other < urgency && *until >= now);
                prop_assert!(!more_urgent, "a more urgent request still waits");
                running += 1;
            }
            let live = waiting.values().filter(|(_, until)| *until >= now).count();
            prop_assert!(live == 0 || running >= allowed, "{live} wait while there is room");
            prop_assert_eq!(admission.waiting(), waiting.len());
            prop_assert!(waiting.len() <= LIMITS.max_waiting);
        }
    }
}
