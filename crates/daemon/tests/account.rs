//! A router's account of one customer's budget: reservations, and draws of shares of the spend cap.

use eelgrasswell_core::unit::{Cost, Millis};
use eelgrasswell_daemon::controller::budgets::{Account, OpenDraw, Reserve, SHARE_LIFETIME};
use test_case::test_case;

const CAP: Cost = Cost(100_000);
const PERIOD: &str = "2026-12";
const NOW: Millis = Millis(1_000);

fn account() -> Account {
    let mut account = Account::default();
    account.set_budget(PERIOD, CAP);
    account
}

fn draw(account: &mut Account, id: &str, now: Millis) -> OpenDraw {
    account.next_draw(|| id.into(), now).expect("a draw is due")
}

/// Returns an account that has drawn a share for a request of `amount` and reserved that amount, and the draw.
fn account_with_share(amount: u64) -> (Account, OpenDraw) {
    let mut account = account();
    assert_eq!(account.reserve(Cost(amount), NOW), Reserve::Draw);
    let first = draw(&mut account, "a", NOW);
    account.granted(&first, first.amount, NOW);
    assert_eq!(account.reserve(Cost(amount), NOW), Reserve::Done);
    (account, first)
}

/// Guards against a request that runs without a reservation, and against a separate draw for every request.
#[test]
fn reserve_draws_ahead() {
    let (mut account, first) = account_with_share(50);
    assert!(first.amount > Cost(50));
    assert_eq!(account.available(), first.amount - Cost(50));
    assert_eq!(account.reserve(Cost(50), NOW), Reserve::Done);
}

/// Guards against a share that is granted twice because its draw was retried with another id, and against a grant that
/// is credited twice.
#[test]
fn draw_unanswered_is_retried() {
    let mut account = account();
    account.reserve(Cost(50), NOW);
    let first = draw(&mut account, "a", NOW);
    account.failed(&first);
    assert_eq!(account.reserve(Cost(50), NOW), Reserve::Unavailable);
    assert_eq!(draw(&mut account, "b", Millis(9_000)), first);
    account.granted(&first, first.amount, Millis(9_000));
    account.granted(&first, first.amount, Millis(9_000));
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
    account.failed(&back);
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
    assert_eq!(account.reserve(first.amount - Cost(50), NOW), Reserve::Done);
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
    account.granted(&first, Cost(0), NOW);
    assert_eq!(account.reserve(Cost(50), NOW), Reserve::Exhausted);
    assert_eq!(account.next_draw(|| "b".into(), NOW), None);
    let later = Millis(5_000);
    assert_eq!(account.reserve(Cost(50), later), Reserve::Draw);
    let second = draw(&mut account, "b", later);
    account.granted(&second, second.amount, later);
    assert_eq!(account.reserve(Cost(50), later), Reserve::Done);
}

/// Guards against spending an unconfirmed share that its owner may have granted to another router.
#[test]
fn expired_share_is_returned() {
    let (mut account, _) = account_with_share(50);
    let expired_at = NOW + SHARE_LIFETIME;
    assert_eq!(account.reserve(Cost(1), expired_at - Millis(1)), Reserve::Done);
    let available = account.available();
    assert_eq!(account.reserve(Cost(1), expired_at), Reserve::Draw);
    let fresh = draw(&mut account, "b", expired_at);
    assert_eq!(fresh.returned, available);
    assert!(fresh.amount >= Cost(1));
    account.granted(&fresh, fresh.amount, expired_at);
    assert_eq!(account.available(), fresh.amount);
    assert_eq!(account.reserve(Cost(1), expired_at), Reserve::Done);
}

/// Guards against a share of one period that is spent in the next period.
#[test]
fn new_period_voids_share() {
    let (mut account, _) = account_with_share(50);
    account.set_budget("2027-01", CAP);
    assert_eq!(account.available(), Cost(0));
    assert_eq!(account.reserve(Cost(1), NOW), Reserve::Draw);
}

/// Guards against a graceful shutdown that withholds unspent budget from the other routers.
#[test]
fn give_back_returns_unspent() {
    let (mut account, first) = account_with_share(50);
    let back = account.give_back(|| "b".into(), NOW).expect("there is money to give back");
    assert_eq!((back.amount, back.returned), (Cost(0), first.amount - Cost(50)));
    account.granted(&back, Cost(0), NOW);
    assert_eq!(account.give_back(|| "c".into(), NOW), None);
}
