//! Guards against servers that are overfilled because peers' requests are not known, and against capacity that stays unused
//! because reports are missing, late or repeated.

use eelgrasswell_core::{
    room::{FRESH_REPORT_AGE, MAX_REPORT_AGE, PeerReports, Room, ServerSlots},
    unit::Millis,
};
use test_case::test_case;

const NOW: Millis = Millis(100_000);

fn server(n: u8, slots: u32) -> ServerSlots {
    let id = format!("b{n}").as_str().into();
    ServerSlots { id, service: "desk".into(), slots, in_service: true, usable: true, own: 0 }
}

fn report(peers: &mut PeerReports, at: Millis, peer: &str, outstanding: u32) {
    peers.record(at, peer.into(), [("b1".into(), outstanding)].into_iter());
}

fn room(peers: &mut PeerReports, now: Millis, servers: &[ServerSlots], gateways: usize) -> Room {
    peers.rooms(now, servers, gateways, 1.0)["desk"]
}

/// Peers unknown: the share of one of at least three gateways, and never nothing.
#[test_case(60, 1, 20; "no peer is known")]
#[test_case(60, 6, 10; "more gateways are known")]
#[test_case(6, 26, 1; "fewer slots than gateways")]
fn allowed_without_reports(slots: u32, gateways: usize, expected: u32) {
    let room = room(&mut PeerReports::default(), NOW, &[server(1, slots)], gateways);
    assert_eq!((room.allowed, room.report_age), (expected, None));
}

/// Uneven gateways: one uses what the others leave free, and gives it back up to an equal share.
#[test_case(0, 0, 60; "peers are idle")]
#[test_case(5, 10, 45; "peers use less than their shares")]
#[test_case(30, 25, 20; "peers use more than their shares")]
fn allowed_with_reports(first: u32, second: u32, expected: u32) {
    let mut peers = PeerReports::default();
    report(&mut peers, NOW, "g1", first);
    report(&mut peers, NOW, "g2", second);
    assert_eq!(room(&mut peers, NOW, &[server(1, 60)], 3).allowed, expected);
}

/// Guards against a view that stays blind or gets optimistic as reports age.
#[test]
fn allowed_ages_towards_share() {
    let mut peers = PeerReports::default();
    report(&mut peers, NOW, "g1", 0);
    report(&mut peers, NOW, "g2", 0);
    let servers = [server(1, 60)];
    let mut last = 60;
    for age in (0..=MAX_REPORT_AGE.0).step_by(100) {
        let allowed = room(&mut peers, NOW + Millis(age), &servers, 3).allowed;
        assert!(allowed <= last && allowed >= 20, "{allowed} at {age} ms, {last} before");
        assert!(age > FRESH_REPORT_AGE.0 || allowed == 60, "{allowed} at {age} ms");
        last = allowed;
    }
    assert_eq!((last, peers.len()), (20, 0));
}

/// A peer that is killed while it holds all slots: the others get them back, first the dead one's excess, then its share.
#[test]
fn allowed_after_loss_of_peer() {
    let mut peers = PeerReports::default();
    report(&mut peers, NOW, "dead", 60);
    report(&mut peers, NOW, "alive", 0);
    assert_eq!(room(&mut peers, NOW, &[server(1, 60)], 3).allowed, 20);
    let later = NOW + MAX_REPORT_AGE;
    report(&mut peers, later, "alive", 0);
    assert_eq!(
        room(&mut peers, later, &[server(1, 60)], 3).allowed,
        40,
        "the share of the dead one is still set aside"
    );
    assert_eq!(room(&mut peers, later, &[server(1, 60)], 2).allowed, 60, "nobody knows the dead one any more");
}

/// Half of the servers lost: their slots don't count, nor do the requests that hang there.
#[test_case(|server| server.usable = false; "avoided after failures")]
#[test_case(|server| server.in_service = false; "draining")]
fn lost_servers_do_not_count(lose: fn(&mut ServerSlots)) {
    let mut peers = PeerReports::default();
    peers.record(NOW, "g1".into(), [("b1".into(), 4), ("b2".into(), 30)].into_iter());
    let mut servers = [server(1, 40), server(2, 40)];
    servers[1].own = 7;
    lose(&mut servers[1]);
    let room = room(&mut peers, NOW, &servers, 2);
    assert_eq!((room.limit, room.peers, room.allowed, room.elsewhere), (40, 4, 36, 7));
    assert!(room.has_room(7 + 35) && !room.has_room(7 + 36));
}

/// Guards against a service whose capacity vanishes when all of its servers have failed once: they are tried then.
#[test]
fn all_servers_avoided() {
    let servers = [ServerSlots { usable: false, ..server(1, 40) }];
    assert_eq!(room(&mut PeerReports::default(), NOW, &servers, 1).limit, 40);
}
