//! Guards against a version on trial that gets too little load to show its faults.

use eelgrasswell_core::stage::first_with_room;
use test_case::test_case;

/// Servers with 6 slots are filled one after the other, up to two thirds of their slots.
#[test_case(&[0.0, 0.0, 0.0], Some(0); "idle")]
#[test_case(&[4.0, 0.0, 0.0], Some(0); "room at the first")]
#[test_case(&[5.0, 1.0, 0.0], Some(1); "room at the second")]
#[test_case(&[5.0, 5.0, 9.0], None; "no room")]
#[test_case(&[], None; "no server")]
fn first_with_room_case(loads: &[f64], expected: Option<usize>) {
    let ranked: Vec<(u32, f64)> = loads.iter().map(|&load| (6, load)).collect();
    assert_eq!(first_with_room(&ranked), expected);
}
