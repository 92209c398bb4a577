//! Tests of fleet membership.

use eelgrasswell_core::{
    fleet::{ALIVE_TIMEOUT, Fleet, Member},
    hash::HashSet,
    id::{DomainId, HostId, Incarnation},
    unit::Millis,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const NOW: Millis = Millis(60_000);

fn member(n: usize, domains: usize) -> Member {
    Member {
        id: format!("host-{n}").as_str().into(),
        address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into(),
        domain: format!("domain-{}", n % domains).as_str().into(),
        incarnation: Incarnation(1),
        last_seen: NOW,
        leaving: false,
        reaches_store: true,
    }
}

/// Guards against exchanges that mostly cross failure domains, and against domains that hear nothing of each other.
#[test_case(5, 2, 5, 5; "small fleet")]
#[test_case(26, 4, 5, 2; "several in each domain")]
#[test_case(12, 12, 5, 5; "one in each domain")]
fn sample_partners_keeps_to_own_domain(members: usize, domains: usize, expected: usize, most_remote: usize) {
    let mut fleet = Fleet::default();
    let others: Vec<Member> = (1..=members).map(|n| member(n, domains)).collect();
    others.iter().for_each(|member| fleet.update(member.clone()));
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut seen: HashSet<DomainId> = HashSet::default();
    for _ in 0..60 {
        let partners = fleet.sample_partners(&"domain-0".into(), &mut rng);
        assert_eq!(partners.len(), expected);
        let sampled: Vec<&Member> = others.iter().filter(|member| partners.contains(&member.address)).collect();
        assert!(sampled.iter().filter(|member| member.domain.as_str() != "domain-0").count() <= most_remote);
        seen.extend(sampled.into_iter().map(|member| member.domain.clone()));
    }
    assert_eq!(seen.len(), domains.min(members));
}

fn watchers_seen_by(own: usize, members: &[Member]) -> Vec<HostId> {
    let mut fleet = Fleet::default();
    members.iter().enumerate().filter(|(n, _)| *n != own).for_each(|(_, member)| fleet.update(member.clone()));
    fleet.watchers(&members[own], NOW).into_iter().map(|watcher| watcher.id).collect()
}

/// Guards against routers that select different store watchers, and against a number of watchers that grows as fast as
/// the fleet.
#[test_case(1, 1; "alone")]
#[test_case(5, 2; "small")]
#[test_case(26, 3; "medium")]
#[test_case(350, 19; "largest planned")]
fn watchers_grow_slowly_and_agree(routers: usize, watchers: usize) {
    let members: Vec<Member> = (0..routers).map(|n| member(n, 15)).collect();
    let seen = watchers_seen_by(0, &members);
    assert_eq!(seen.len(), watchers);
    for own in 1..routers.min(8) {
        assert_eq!(watchers_seen_by(own, &members), seen);
    }
}

/// Guards against selecting all watchers from one failure domain.
#[test]
fn watchers_in_different_domains() {
    let members: Vec<Member> = (0..20).map(|n| member(n, 4)).collect();
    let seen = watchers_seen_by(0, &members);
    let domains: Vec<_> = members.iter().filter(|member| seen.contains(&member.id)).map(|m| &m.domain).collect();
    assert_eq!(domains.len(), 2);
    assert_ne!(domains[0], domains[1]);
}

/// Guards against watchers that are leaving or unresponsive.
#[test]
fn watchers_not_leaving_or_unresponsive() {
    let mut members: Vec<Member> = (0..6).map(|n| member(n, 4)).collect();
    let first = watchers_seen_by(0, &members);
    for member in members.iter_mut().filter(|member| first.contains(&member.id)) {
        member.leaving = true;
    }
    let next = watchers_seen_by(0, &members);
    assert!(next.iter().all(|id| !first.contains(id)), "{first:?} {next:?}");
    let mut fleet = Fleet::default();
    fleet.update(Member { last_seen: NOW - ALIVE_TIMEOUT, ..member(1, 4) });
    assert!(fleet.alive(NOW).is_empty());
}

/// Guards against older reports that overwrite newer ones, and against a leaving router that counts as staying because
/// of a report by another router, which does not contain that it leaves.
#[test]
fn update_with_older_report_changes_nothing() {
    let mut fleet = Fleet::default();
    fleet.update(Member { leaving: true, ..member(1, 4) });
    fleet.update(Member { last_seen: NOW - Millis(100), ..member(1, 4) });
    assert!(fleet.alive(NOW)[0].leaving);
    fleet.update(Member { last_seen: NOW + Millis(1), ..member(1, 4) });
    assert!(fleet.alive(NOW)[0].leaving, "a report by another router does not cancel the leaving state");
    fleet.update(Member { last_seen: NOW + Millis(2), incarnation: Incarnation(2), ..member(1, 4) });
    assert!(!fleet.alive(NOW)[0].leaving, "a new incarnation is not leaving");
}

/// Guards against exceeding a limit while a disconnected router still uses its share, and against reserving the share
/// of a stopped router forever.
#[test]
fn limit_sharers_counts_unresponsive_routers_for_grace_period() {
    let mut fleet = Fleet::default();
    (0..4).for_each(|n| fleet.update(member(n, 4)));
    assert_eq!(fleet.limit_sharers(NOW, 3), 5);
    assert_eq!(fleet.limit_sharers(NOW + Millis(5_000), 3), 5, "a disconnected router still sends requests");
    assert_eq!(fleet.limit_sharers(NOW + Millis(9_000), 3), 3);
}

/// A fleet of `count` routers besides the one with the number `own`, of which only `connected` reach the store.
fn fleet_reached_by(own: usize, count: usize, connected: &[usize]) -> Fleet {
    let mut fleet = Fleet::default();
    for n in (0..count).filter(|n| *n != own) {
        fleet.update(Member { reaches_store: connected.contains(&n), ..member(n, 4) });
    }
    fleet
}

/// Guards against a router that the store rejects and that follows only others that it rejects, too (issue 20, hypothesis 3
/// of the first matter).
#[test]
fn sources_of_rejected_router_reach_the_store() {
    for own in 0..26 {
        for connected in (0..26).filter(|connected| *connected != own) {
            let fleet = fleet_reached_by(own, 26, &[connected]);
            let sources = fleet.sources(&member(own, 4), NOW, true, 2);
            assert_eq!(sources.len(), 2);
            assert_eq!(sources[0].id, member(connected, 4).id);
        }
    }
}

/// Guards against routers that load others than the watchers although the store serves them.
#[test]
fn sources_of_other_routers_are_watchers() {
    for own in 0..26 {
        let fleet = fleet_reached_by(own, 26, &(0..26).collect::<Vec<_>>());
        let watchers: Vec<HostId> = fleet.watchers(&member(own, 4), NOW).into_iter().map(|member| member.id).collect();
        for is_rejected in [false, true] {
            for source in fleet.sources(&member(own, 4), NOW, is_rejected, 2) {
                assert!(watchers.contains(&source.id) && source.id != member(own, 4).id);
            }
        }
    }
}

/// Guards against a late or repeated report that hides that a router has lost the store.
#[test]
fn newest_report_of_reaching_the_store_counts() {
    let mut fleet = Fleet::default();
    let report =
        |reaches_store, ago| Member { reaches_store, last_seen: NOW.saturating_sub(Millis(ago)), ..member(1, 4) };
    for report in [report(true, 900), report(false, 100), report(true, 900), report(true, 500)] {
        fleet.update(report);
    }
    assert!(!fleet.alive(NOW)[0].reaches_store);
}
