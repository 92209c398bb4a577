//! Tests of the ledger of bills.

use eelgrasswell_core::{
    ledger::{BILL_ID_RETENTION, Bill, BillOp, Ledger, Total},
    unit::{Cost, Millis},
};
use test_case::test_case;

fn op(request: &str, period: &str) -> BillOp {
    let bill = Bill { request: request.into(), customer: "c".into(), cost: Cost(5), ..Bill::default() };
    BillOp { bill, period: period.into() }
}

/// Saves the ledger at `saved_at` and restores it at `now` of another clock.
fn save_and_restore(ledger: &Ledger, saved_at: Millis, now: Millis) -> Ledger {
    let json = serde_json::to_string(&ledger.to_record(saved_at)).unwrap();
    Ledger::from_record(serde_json::from_str(&json).unwrap(), now).unwrap()
}

/// Guards against counting a bill twice: sent by both holders, sealed before, restored by a new owner, or
/// sent for two attempts of a request.
#[test_case(false, false, "r1"; "in memory")]
#[test_case(true, false, "r1"; "sealed")]
#[test_case(false, true, "r1"; "restored")]
#[test_case(true, true, "r1"; "sealed and restored")]
#[test_case(false, false, "r1.host-2"; "other attempt")]
#[test_case(true, true, "r1.host-2"; "other attempt sealed and restored")]
fn apply_duplicate(seal: bool, restore: bool, duplicate: &str) {
    let mut ledger = Ledger::default();
    assert!(ledger.apply(&op("r1", "p")));
    if seal {
        ledger.seal(&[op("r1", "p").bill], Millis(9));
    }
    if restore {
        ledger = save_and_restore(&ledger, Millis(10), Millis(1));
    }
    assert!(!ledger.apply(&op(duplicate, "later")));
    assert_eq!(ledger.total(&"c".into(), "p"), Total { bills: 1, cost: Cost(5) });
    assert_eq!(ledger.total(&"c".into(), "later"), Total::default());
    assert_eq!(ledger.unsealed().count(), usize::from(!seal));
}

/// Guards against sealing that drops bills which are not in the segment.
#[test]
fn seal_leaves_others() {
    let mut ledger = Ledger::default();
    ledger.apply(&op("r1", "p"));
    ledger.apply(&op("r2", "p"));
    ledger.seal(&[op("r1", "p").bill, op("unknown", "p").bill], Millis(0));
    assert_eq!(ledger.unsealed().map(|bill| bill.request.as_str()).collect::<Vec<_>>(), ["r2"]);
    assert!(!ledger.contains(&"unknown".into()));
}

/// Guards against ids of sealed bills that expire early, or that never expire because each new owner
/// restarts their retention.
#[test]
fn expire_sealed() {
    let mut ledger = Ledger::default();
    ledger.apply(&op("r1", "p"));
    ledger.seal(&[op("r1", "p").bill], Millis(0));
    let before_expiry = Millis(BILL_ID_RETENTION.0 - 1);
    ledger.expire(before_expiry);
    assert!(ledger.contains(&"r1".into()));
    let mut successor = save_and_restore(&ledger, before_expiry, Millis(0));
    successor.expire(Millis(0));
    assert!(successor.contains(&"r1".into()));
    successor.expire(Millis(3_600_001));
    assert_eq!(successor.sealed_len(), 0);
}
