//! The set of bills.

use eelgrasswell_core::{
    ledger::{BILL_ID_RETENTION, Bill, BillOp, Ledger, Total},
    unit::{Cost, Millis},
};
use test_case::test_case;

fn op(request: &str, period: &str) -> BillOp {
    let bill = Bill { request: request.into(), customer: "c".into(), cost: Cost(5), ..Bill::default() };
    BillOp { bill, period: period.into() }
}

fn restored(ledger: &Ledger, saved: Millis, now: Millis) -> Ledger {
    let json = serde_json::to_string(&ledger.to_record(saved)).unwrap();
    Ledger::from_record(serde_json::from_str(&json).unwrap(), now).unwrap()
}

/// Guards against a bill that counts twice: sent by both holders, from a sealed segment, after a takeover,
/// or for two attempts of a request.
#[test_case(false, false, "r1"; "in memory")]
#[test_case(true, false, "r1"; "sealed")]
#[test_case(false, true, "r1"; "restored")]
#[test_case(true, true, "r1"; "sealed and restored")]
#[test_case(false, false, "r1.host-2"; "other attempt")]
#[test_case(true, true, "r1.host-2"; "other attempt sealed and restored")]
fn apply_duplicate(seal: bool, restore: bool, again: &str) {
    let mut ledger = Ledger::default();
    assert!(ledger.apply(&op("r1", "p")));
    if seal {
        ledger.seal(&[op("r1", "p").bill], Millis(9));
    }
    if restore {
        ledger = restored(&ledger, Millis(10), Millis(1));
    }
    assert!(!ledger.apply(&op(again, "later")));
    assert_eq!(ledger.total(&"c".into(), "p"), Total { bills: 1, cost: Cost(5) });
    assert_eq!(ledger.total(&"c".into(), "later"), Total::default());
    assert_eq!(ledger.unsealed().count(), usize::from(!seal));
}

/// Guards against a seal that drops a bill which is not in the segment.
#[test]
fn seal_leaves_others() {
    let mut ledger = Ledger::default();
    ledger.apply(&op("r1", "p"));
    ledger.apply(&op("r2", "p"));
    ledger.seal(&[op("r1", "p").bill, op("unknown", "p").bill], Millis(0));
    assert_eq!(ledger.unsealed().map(|bill| bill.request.as_str()).collect::<Vec<_>>(), ["r2"]);
    assert!(!ledger.contains(&"unknown".into()));
}

/// Guards against ids that are kept for good, also over takeovers, and against ids forgotten early.
#[test]
fn expire_sealed() {
    let mut ledger = Ledger::default();
    ledger.apply(&op("r1", "p"));
    ledger.seal(&[op("r1", "p").bill], Millis(0));
    let late = Millis(BILL_ID_RETENTION.0 - 1);
    ledger.expire(late);
    assert!(ledger.contains(&"r1".into()));
    let mut next = restored(&ledger, late, Millis(0));
    next.expire(Millis(0));
    assert!(next.contains(&"r1".into()));
    next.expire(Millis(3_600_001));
    assert_eq!(next.sealed_len(), 0);
}
