//! Tests of budget shares.

use eelgrasswell_core::{
    budget::{
        ABSENT_ROUTER_TIMEOUT, AbsenceTracker, BudgetOp, Budgets, DrawDecision, DrawRequest, REPLACED_ROUTER_TIMEOUT,
    },
    id::Incarnation,
    unit::{Cost, Millis},
};
use test_case::test_case;

const CAP: Cost = Cost(100);
const PERIOD: &str = "2026-12";

fn draw(id: &str, router: u64, amount: u64, returned: u64) -> DrawRequest {
    DrawRequest {
        customer: "c".into(),
        period: PERIOD.into(),
        id: id.into(),
        router: router.to_string().as_str().into(),
        incarnation: Incarnation(router),
        amount: Cost(amount),
        returned: Cost(returned),
    }
}

/// Decides on a draw, applies the change and returns the granted share.
fn grant(budgets: &mut Budgets, request: &DrawRequest) -> u64 {
    match budgets.decide(request, CAP) {
        DrawDecision::Repeat(granted) => granted.0,
        DrawDecision::Draw { op, granted, committed } => {
            budgets.apply(&op);
            assert_eq!(budgets.committed(&request.customer, &request.period), committed);
            granted.0
        }
    }
}

fn reconcile(budgets: &mut Budgets, router: u64, spent: u64) {
    let (customer, period) = ("c".into(), PERIOD.into());
    let incarnation = Incarnation(router);
    budgets.apply(&BudgetOp::Reconcile { customer, period, incarnation, spent: Cost(spent) });
}

/// Guards against shares that exceed the cap, and against returned amounts that are lost.
#[test_case(&[(1, 60, 0), (2, 60, 0)], &[60, 40], 100; "limited to the remainder")]
#[test_case(&[(1, 100, 0), (2, 1, 0)], &[100, 0], 100; "used up")]
#[test_case(&[(1, 100, 0), (1, 0, 30), (2, 50, 0)], &[100, 0, 30], 100; "returned and drawn")]
#[test_case(&[(1, 10, 0), (1, 0, 50), (2, 100, 0)], &[10, 0, 100], 100; "more returned than held")]
#[test_case(&[(1, 50, 0), (2, 50, 0), (1, 20, 50)], &[50, 50, 20], 70; "returned with a draw")]
fn draw_within_cap(draws: &[(u64, u64, u64)], expected: &[u64], committed: u64) {
    let mut budgets = Budgets::default();
    let grants = draws
        .iter()
        .enumerate()
        .map(|(n, (router, amount, returned))| grant(&mut budgets, &draw(&n.to_string(), *router, *amount, *returned)));
    assert_eq!(grants.collect::<Vec<_>>(), expected);
    assert_eq!(budgets.committed(&"c".into(), PERIOD), Cost(committed));
}

/// Guards against a repeated draw that is granted a second share or returns its amount twice.
#[test]
fn draw_repeated() {
    let mut budgets = Budgets::default();
    assert_eq!(grant(&mut budgets, &draw("a", 1, 60, 0)), 60);
    assert_eq!(grant(&mut budgets, &draw("b", 1, 10, 30)), 10);
    assert_eq!(grant(&mut budgets, &draw("b", 1, 10, 30)), 10);
    assert_eq!(grant(&mut budgets, &draw("a", 1, 60, 0)), 60);
    assert_eq!(budgets.committed(&"c".into(), PERIOD), Cost(40));
}

/// Guards against counting a share of one period in another.
#[test]
fn draw_in_new_period() {
    let mut budgets = Budgets::default();
    grant(&mut budgets, &draw("a", 1, 100, 0));
    let next = DrawRequest { period: "2027-01".into(), ..draw("b", 1, 100, 100) };
    assert_eq!(grant(&mut budgets, &next), 100);
    assert_eq!(budgets.committed(&"c".into(), PERIOD), Cost(100));
}

/// Guards against unspent shares of dead routers that stay committed.
#[test_case(30, 30; "partly spent")]
#[test_case(0, 0; "nothing spent")]
#[test_case(90, 60; "bills of another period")]
fn reconcile_dead_router(spent: u64, committed: u64) {
    let mut budgets = Budgets::default();
    grant(&mut budgets, &draw("a", 1, 60, 0));
    assert_eq!(budgets.unreconciled_holders().len(), 1);
    reconcile(&mut budgets, 1, spent);
    assert_eq!(budgets.committed(&"c".into(), PERIOD), Cost(committed));
    assert!(budgets.unreconciled_holders().is_empty());
    assert_eq!(grant(&mut budgets, &draw("c", 2, 100, 0)), 100 - committed);
}

/// Guards against a disconnected router whose shares were reconciled: it must not return an amount that
/// was already reclaimed, and it must be able to draw again.
#[test]
fn draw_after_reconcile() {
    let mut budgets = Budgets::default();
    grant(&mut budgets, &draw("a", 1, 60, 0));
    reconcile(&mut budgets, 1, 20);
    assert_eq!(grant(&mut budgets, &draw("b", 1, 10, 40)), 10);
    assert_eq!(budgets.committed(&"c".into(), PERIOD), Cost(30));
    assert_eq!(budgets.unreconciled_holders().len(), 1);
}

/// Guards against warnings that are missed or repeated.
#[test]
fn warnings_once() {
    let mut budgets = Budgets::default();
    let mut warnings = Vec::new();
    for (n, amount) in [49, 1, 20, 20, 5, 5].into_iter().enumerate() {
        grant(&mut budgets, &draw(&n.to_string(), 1, amount, 0));
        warnings.push(budgets.take_warning(&"c".into(), PERIOD, CAP));
    }
    assert_eq!(warnings, [None, Some(50), None, Some(80), Some(95), None]);
}

/// Guards against reclaiming the shares of a router that is merely disconnected, and against waiting
/// hours for one that was replaced. Each observation is a time and the incarnation that is live on the
/// router's host, if any.
#[test_case(&[(0, None), (ABSENT_ROUTER_TIMEOUT.0 - 1, None)], false; "disconnected")]
#[test_case(&[(0, None), (ABSENT_ROUTER_TIMEOUT.0, None)], true; "missing for long")]
#[test_case(&[(0, Some(9)), (REPLACED_ROUTER_TIMEOUT.0 - 1, Some(9))], false; "replaced recently")]
#[test_case(&[(0, Some(9)), (REPLACED_ROUTER_TIMEOUT.0, Some(9))], true; "replaced")]
#[test_case(&[(0, None), (1_000, Some(1)), (ABSENT_ROUTER_TIMEOUT.0, None)], false; "live in between")]
#[test_case(&[(0, None), (ABSENT_ROUTER_TIMEOUT.0, Some(1))], false; "live again")]
fn dead_holders_after(observations: &[(u64, Option<u64>)], expected: bool) {
    let mut budgets = Budgets::default();
    grant(&mut budgets, &draw("a", 1, 60, 0));
    let mut tracker = AbsenceTracker::default();
    let mut dead = Vec::new();
    for (at, incarnation) in observations {
        let live: Vec<_> = incarnation.map(|incarnation| ("1".into(), Incarnation(incarnation))).into_iter().collect();
        dead = tracker.dead_holders(budgets.unreconciled_holders(), &live, Millis(*at));
    }
    assert_eq!(dead.len(), usize::from(expected));
}
