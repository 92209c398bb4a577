//! Guards against counts that late, lost, repeated or reordered reports change, and against state without bounds.

use eelgrasswell_core::{
    hash::HashMap,
    id::{CustomerId, Incarnation},
    unit::Millis,
    usage::{Counts, ReporterUsage, UsageTable, WindowId},
};
use proptest::prelude::*;
use test_case::test_case;

const NOW: Millis = Millis(1_000_000);
const OWN: Incarnation = Incarnation(1);

fn customer(n: usize) -> CustomerId {
    CustomerId::from(format!("customer-{n}").as_str())
}

/// The reports that a router makes while it counts requests, each with a window and a customer.
fn reports_of(own: Incarnation, requests: &[(u64, usize)]) -> Vec<ReporterUsage> {
    let mut table = UsageTable::default();
    let mut reports = Vec::new();
    for (window, n) in requests {
        table.record(own, WindowId(*window), &customer(*n));
        table.advance(NOW, own, WindowId(*window).previous());
        reports.push(report(&table, own));
    }
    reports
}

fn report(table: &UsageTable, own: Incarnation) -> ReporterUsage {
    table.reports_for(NOW, own, &HashMap::default(), Millis::ZERO, WindowId(0)).remove(0).1
}

#[test_case(1_767_225_600_000, 353_445_120; "begin")]
#[test_case(1_767_225_604_999, 353_445_120; "end")]
#[test_case(1_767_225_605_000, 353_445_121; "begin of the next")]
fn window_at(wall: u64, window: u64) {
    let length = Millis(5_000);
    assert_eq!(WindowId::at(Millis(wall), length), WindowId(window));
    assert!(WindowId(window).end(length) > Millis(wall));
}

proptest! {
    /// The total is the true one whenever the last report of each router has arrived, in whatever order, and never larger.
    #[test]
    fn merge_in_any_order(
        requests in prop::collection::vec(prop::collection::vec((1..4u64, 0..3usize), 1..12), 1..4),
        order in prop::collection::vec((0..4usize, 0..12usize), 0..60),
    ) {
        let reporters: Vec<Incarnation> = (0..requests.len()).map(|n| Incarnation(n as u64 + 1)).collect();
        let reports: Vec<_> = requests.iter().zip(&reporters).map(|(list, own)| reports_of(*own, list)).collect();
        let mut truth: HashMap<u64, Counts> = HashMap::default();
        for (window, n) in requests.iter().flatten() {
            *truth.entry(*window).or_default().entry(customer(*n)).or_default() += 1;
        }
        let mut table = UsageTable::default();
        for (n, number) in order {
            let Some(list) = reports.get(n) else { continue };
            let Some(report) = list.get(number) else { continue };
            table.merge(NOW, reporters[n], report);
            for (window, counts) in &truth {
                for (customer, count) in table.total(WindowId(*window)) {
                    prop_assert!(count <= counts[&customer]);
                }
            }
        }
        for (list, own) in reports.iter().zip(&reporters) {
            table.merge(NOW, *own, list.last().expect("there is one report for each request"));
        }
        for (window, counts) in truth {
            prop_assert_eq!(table.total(WindowId(window)), counts);
        }
    }
}

#[test]
fn complete_after_the_end_only() {
    let mut table = UsageTable::default();
    let other = Incarnation(2);
    assert!(!table.is_complete(other, WindowId(4)));
    let usage = ReporterUsage { sequence: 1, complete_through: WindowId(4), ..ReporterUsage::default() };
    table.merge(NOW, other, &usage);
    assert!(table.is_complete(other, WindowId(4)) && !table.is_complete(other, WindowId(5)));
    // An older report that arrives late undoes nothing.
    table.merge(NOW, other, &ReporterUsage { complete_through: WindowId(3), ..usage });
    assert!(table.is_complete(other, WindowId(4)));
}

/// A report of another router is passed on if it has not reached the receiver for a while, or for several reports.
#[test_case(7, 0, false; "known")]
#[test_case(6, 0, false; "on its way")]
#[test_case(6, 600, true; "nothing new for a while")]
#[test_case(2, 0, true; "several reports behind")]
fn pass_on(heard: u64, age: u64, is_passed_on: bool) {
    let mut table = UsageTable::default();
    let other = Incarnation(2);
    table.advance(NOW, OWN, WindowId(1));
    table.merge(NOW, other, &ReporterUsage { sequence: 7, ..ReporterUsage::default() });
    let heard: HashMap<_, _> = [(other, heard)].into_iter().collect();
    let reports = table.reports_for(NOW + Millis(age), OWN, &heard, Millis(500), WindowId(0));
    assert!(reports.iter().any(|(id, _)| *id == OWN));
    assert_eq!(reports.iter().any(|(id, _)| *id == other), is_passed_on);
}

#[test]
fn settled_windows_are_left_out() {
    let mut table = UsageTable::default();
    (1..=4).for_each(|window| table.record(OWN, WindowId(window), &customer(1)));
    let reports = table.reports_for(NOW, OWN, &HashMap::default(), Millis::ZERO, WindowId(2));
    assert_eq!(reports[0].1.windows.keys().copied().collect::<Vec<_>>(), [WindowId(3), WindowId(4)]);
}

#[test]
fn state_is_bounded() {
    let mut table = UsageTable::default();
    (0..1_000).for_each(|window| table.record(OWN, WindowId(window), &customer(1)));
    (0..5_000).for_each(|n| table.record(OWN, WindowId(999), &customer(n)));
    (10..2_000).for_each(|n| {
        table.merge(NOW, Incarnation(n), &ReporterUsage::default());
    });
    assert!(report(&table, OWN).windows.len() <= 64 && table.total(WindowId(999)).len() <= 4_096);
    assert!(table.reporters() <= 256);
    table.expire(OWN, WindowId(2_000), NOW);
    assert_eq!(table.reporters(), 1);
    assert!(report(&table, OWN).windows.is_empty());
}
