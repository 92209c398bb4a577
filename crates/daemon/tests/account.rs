//! A router's account of one customer's budget: reservations, and draws of shares of the spend cap.

use eelgrasswell_core::unit::{Cost, Millis};
use eelgrasswell_daemon::controller::budgets::{Account, PendingDraw, ReserveOutcome, SHARE_LIFETIME};
use test_case::test_case;

const CAP: Cost = Cost(100_000);
const PERIOD: &str = "2026-12";
const NOW: Millis = Millis(1_000);

fn account() -> Account {
    let mut account = Account::default();
    account.set_budget(PERIOD, CAP);
    account
}

fn draw(account: &mut Account, id: &str, now: Millis) -> PendingDraw {
    account.next_draw(|| id.into(), now).expect("a draw is due")
}

/// Returns an account that has drawn a share for a request of `amount` and reserved that amount, and the draw.
fn account_with_share(amount: u64) -> (Account, PendingDraw) {
    let mut account = account();
    assert_eq!(account.reserve(Cost(amount), NOW), ReserveOutcome::NeedsDraw);
    let first = draw(&mut account, "a", NOW);
    account.apply_grant(&first, first.amount, NOW);
    assert_eq!(account.reserve(Cost(amount), NOW), ReserveOutcome::Reserved);
    (account, first)
}

/// Guards against a request that runs without a reservation, and against a separate draw for every request.
#[test]
fn reserve_draws_ahead() {
    let (mut account, first) = account_with_share(50);
    assert!(first.amount > Cost(50));
    assert_eq!(account.available(), first.amount - Cost(50));
    assert_eq!(account.reserve(Cost(50), NOW), ReserveOutcome::Reserved);
}

/// Guards against a share that is granted twice because its draw was retried with another id, and against a grant that
/// is credited twice.
#[test]
fn draw_unanswered_is_retried() {
    let mut account = account();
    account.reserve(Cost(50), NOW);
    let first = draw(&mut account, "a", NOW);
    account.record_failure(&first);
    assert_eq!(account.reserve(Cost(50), NOW), ReserveOutcome::Unavailable);
    assert_eq!(draw(&mut account, "b", Millis(9_000)), first);
    account.apply_grant(&first, first.amount, Millis(9_000));
    account.apply_grant(&first, first.amount, Millis(9_000));
    assert_eq!(account.available(), first.amount);
}

/// Guards against an idle share that is returned and also spent, or returned twice.
#[test]
fn idle_share_returned_once() {
    let (mut account, first) = account_with_share(50);
    account.settle(PERIOD, Cost(50), Cost(20));
    let idle = Millis(60_000);
    let back = draw(&mut account, "b", idle);
    assert_eq!((back.amount, back.returned), (Cost(0), first.amount - Cost(20)));
    assert_eq!(account.available(), Cost(0));
    account.record_failure(&back);
    assert_eq!(account.available(), Cost(0));
    assert_eq!(draw(&mut account, "c", idle), back);
}

/// Guards against an unspent remainder that is lost, or credited to another period.
#[test_case(PERIOD, 50, 20, 30; "remainder")]
#[test_case(PERIOD, 50, 50, 0; "all spent")]
#[test_case(PERIOD, 50, 80, 0; "more than reserved")]
#[test_case("2026-11", 50, 20, 0; "earlier period")]
fn settle_credit(period: &str, amount: u64, spent: u64, credit: u64) {
    let (mut account, first) = account_with_share(50);
    assert_eq!(account.reserve(first.amount - Cost(50), NOW), ReserveOutcome::Reserved);
    account.settle(period, Cost(amount), Cost(spent));
    assert_eq!(account.available(), Cost(credit));
}

/// Guards against an overspent reservation whose debt is not covered by later credits.
#[test]
fn settle_debt() {
    let (mut account, first) = account_with_share(50);
    let available = first.amount - Cost(50);
    account.settle(PERIOD, Cost(50), Cost(50) + available + Cost(7));
    assert_eq!(account.available(), Cost(0));
    account.settle(PERIOD, Cost(20), Cost(10));
    assert_eq!(account.available(), Cost(3));
}

/// Guards against a draw for every refused request once the cap is exhausted, and against refusals that continue after
/// budget has become available again.
#[test]
fn exhausted_then_granted() {
    let mut account = account();
    account.reserve(Cost(50), NOW);
    let first = draw(&mut account, "a", NOW);
    account.apply_grant(&first, Cost(0), NOW);
    assert_eq!(account.reserve(Cost(50), NOW), ReserveOutcome::Exhausted);
    assert_eq!(account.next_draw(|| "b".into(), NOW), None);
    let later = Millis(5_000);
    assert_eq!(account.reserve(Cost(50), later), ReserveOutcome::NeedsDraw);
    let second = draw(&mut account, "b", later);
    account.apply_grant(&second, second.amount, later);
    assert_eq!(account.reserve(Cost(50), later), ReserveOutcome::Reserved);
}

/// Guards against spending an unconfirmed share that its owner may have granted to another router.
#[test]
fn expired_share_is_returned() {
    let (mut account, _) = account_with_share(50);
    let expired_at = NOW + SHARE_LIFETIME;
    assert_eq!(account.reserve(Cost(1), expired_at - Millis(1)), ReserveOutcome::Reserved);
    let available = account.available();
    assert_eq!(account.reserve(Cost(1), expired_at), ReserveOutcome::NeedsDraw);
    let fresh = draw(&mut account, "b", expired_at);
    assert_eq!(fresh.returned, available);
    assert!(fresh.amount >= Cost(1));
    account.apply_grant(&fresh, fresh.amount, expired_at);
    assert_eq!(account.available(), fresh.amount);
    assert_eq!(account.reserve(Cost(1), expired_at), ReserveOutcome::Reserved);
}

/// Guards against a share of one period that is spent in the next period.
#[test]
fn new_period_voids_share() {
    let (mut account, _) = account_with_share(50);
    account.set_budget("2027-01", CAP);
    assert_eq!(account.available(), Cost(0));
    assert_eq!(account.reserve(Cost(1), NOW), ReserveOutcome::NeedsDraw);
}

/// Guards against a graceful shutdown that withholds unspent budget from the other routers.
#[test]
fn return_all_returns_unspent() {
    let (mut account, first) = account_with_share(50);
    let back = account.return_all(|| "b".into(), NOW).expect("there is unspent budget to return");
    assert_eq!((back.amount, back.returned), (Cost(0), first.amount - Cost(50)));
    account.apply_grant(&back, Cost(0), NOW);
    assert_eq!(account.return_all(|| "c".into(), NOW), None);
}
