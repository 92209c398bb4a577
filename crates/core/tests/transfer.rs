//! Guards against transfers of large objects that are cut although they make progress, and against ones that hang.

use eelgrasswell_core::{
    transfer::{Transfer, is_left_to_store},
    unit::{Bytes, Millis},
};
use test_case::test_case;

const START: Millis = Millis(10_000);
const LIMIT: Millis = Millis(900);

/// Delivers `size` bytes at `bytes_per_ms` in pieces of 16 KiB and returns the time of the last one; none if the transfer
/// is given up before.
fn deliver(size: u64, bytes_per_ms: u64) -> Option<Millis> {
    const PIECE: u64 = 16 << 10;
    let mut transfer = Transfer::start(START, LIMIT);
    let mut now = START;
    while transfer.received().0 < size {
        now += Millis(PIECE / bytes_per_ms);
        if now > transfer.deadline() {
            return None;
        }
        transfer.record(now, Bytes(PIECE));
    }
    Some(now)
}

/// Guards against a configuration that never arrives over a narrow link (issue 20, CONFIG).
#[test_case(1 << 20, 1_250; "whole link of 10 megabits per second")]
#[test_case(1 << 20, 250; "fifth of that link")]
#[test_case(40 << 10, 100_000; "small object on a wide link")]
fn transfer_completes(size: u64, bytes_per_ms: u64) {
    assert!(deliver(size, bytes_per_ms).is_some());
}

/// Guards against a transfer without an end at a trickle.
#[test]
fn transfer_below_the_lowest_rate_is_given_up() {
    assert_eq!(deliver(1 << 20, 50), None);
}

#[test]
fn deadline_without_response_is_the_limit() {
    assert_eq!(Transfer::start(START, LIMIT).deadline(), START + LIMIT);
}

/// Guards against a connection that becomes unresponsive in the middle of a large object and is waited for.
#[test]
fn deadline_after_progress_is_short() {
    let mut transfer = Transfer::start(START, LIMIT);
    transfer.record(START + Millis(800), Bytes(500_000));
    assert_eq!(transfer.deadline(), START + Millis(1_700));
}

/// Guards against bytes without end in place of a response, which would fill the memory.
#[test]
fn response_without_end_is_given_up() {
    let mut transfer = Transfer::start(START, LIMIT);
    transfer.record(START, Bytes(2 << 20));
    assert!(!transfer.is_overlong());
    transfer.record(START, Bytes(15 << 20));
    assert!(transfer.is_overlong());
}

#[test_case(1 << 20, 1, 1, true; "large configuration")]
#[test_case(2_000, 1, 1, false; "small configuration")]
#[test_case(250_000, 500, 3_000, false; "some of many servers")]
#[test_case(1_500_000, 3_000, 3_000, true; "all of many servers")]
fn left_to_store(size: u64, lacking: usize, total: usize, expected: bool) {
    assert_eq!(is_left_to_store(Bytes(size), lacking, total), expected);
}
