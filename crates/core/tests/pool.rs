//! Guards against requests to servers that must not get any, against overloaded cold servers, and against prompts that
//! are sent to a server without their cached prefix.

use std::sync::LazyLock;

use eelgrasswell_core::{
    backend::Backend,
    backend_health::Outcome,
    hash::{HashMap, HashSet},
    id::{BackendId, DomainId, ServiceName, VersionName},
    not_run::Unsent,
    pool::{Pool, Requirements, SharedPrefix, Unavailable},
    unit::{Millis, Tokens},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const NOW: Millis = Millis(10_000);
/// Version on trial.
static V2: LazyLock<VersionName> = LazyLock::new(|| "v2".into());

fn backend(n: u8) -> Backend {
    Backend {
        id: format!("b{n}").as_str().into(),
        service: "chat".into(),
        address: ([10, 0, 0, n], 80).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        cold_remaining: Millis::ZERO,
        started_at: 1,
    }
}

/// Every fourth server is in the domain of the rig's router.
fn in_two_domains(n: u8) -> Backend {
    Backend { domain: if n.is_multiple_of(4) { "a" } else { "b" }.into(), ..backend(n) }
}

fn prefix(hash: u64, tokens: u64) -> SharedPrefix {
    SharedPrefix { hash, tokens: Tokens(tokens) }
}

struct Rig {
    pool: Pool,
    rng: ChaCha8Rng,
    service: ServiceName,
    domain: DomainId,
}

impl Rig {
    fn with(backends: Vec<Backend>) -> Self {
        let mut pool = Pool::default();
        pool.update(NOW, backends, Millis::ZERO);
        Self { pool, rng: ChaCha8Rng::seed_from_u64(7), service: "chat".into(), domain: "a".into() }
    }

    fn choose<'a>(
        &'a mut self,
        now: Millis,
        change: impl FnOnce(&mut Requirements<'a>),
    ) -> Result<BackendId, Unavailable> {
        let mut requirements = requirements(&self.service, &self.domain);
        change(&mut requirements);
        self.pool.choose(now, &requirements, &mut self.rng).map(|(backend, _)| backend.id.clone())
    }

    fn choose_and_release(&mut self) -> BackendId {
        let requirements = requirements(&self.service, &self.domain);
        let (chosen, send) = self.pool.choose(NOW, &requirements, &mut self.rng).unwrap();
        self.pool.release(&chosen, send, requirements.cost);
        chosen.id.clone()
    }

    fn choose_spare(&mut self, tried: &[BackendId]) -> Result<BackendId, Unavailable> {
        self.choose_spare_with(|req| req.tried = tried)
    }

    fn choose_spare_with<'a>(
        &'a mut self,
        change: impl FnOnce(&mut Requirements<'a>),
    ) -> Result<BackendId, Unavailable> {
        let mut requirements = requirements(&self.service, &self.domain);
        change(&mut requirements);
        let (chosen, send) = self.pool.choose_spare(NOW, &requirements, &mut self.rng)?;
        self.pool.release(&chosen, send, requirements.cost);
        Ok(chosen.id.clone())
    }
}

fn requirements<'a>(service: &'a ServiceName, domain: &'a DomainId) -> Requirements<'a> {
    Requirements {
        service,
        shared_prefix: None,
        cost: 1.0,
        overdue_after: Millis(300),
        version: None,
        excluded_version: None,
        fills_servers: false,
        avoids_full: false,
        tried: &[],
        domain,
        cold_per_second: 0.0,
        routers: 1,
    }
}

#[test]
fn choose_spreads_load() {
    let mut rig = Rig::with(vec![backend(1), backend(2), backend(3)]);
    let mut counts: HashMap<BackendId, u32> = HashMap::default();
    for _ in 0..30 {
        *counts.entry(rig.choose(NOW, |_| {}).unwrap()).or_default() += 1;
    }
    assert!(counts.values().all(|&count| count == 10), "{counts:?}");
}

#[test]
fn choose_counts_load_of_peers() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    rig.pool.set_peer_loads(&HashMap::from_iter([("b1".into(), 5.0)]));
    for _ in 0..4 {
        assert_eq!(rig.choose(NOW, |_| {}).unwrap().as_str(), "b2");
    }
}

#[test]
fn choose_keeps_prefix_at_one_server_until_it_is_loaded() {
    let mut rig = Rig::with((1..=8).map(backend).collect());
    let first = rig.choose(NOW, |req| req.shared_prefix = Some(prefix(42, 5_000))).unwrap();
    assert_eq!(rig.choose(NOW, |req| req.shared_prefix = Some(prefix(42, 5_000))).unwrap(), first);
    let spilled = (0..20).any(|_| rig.choose(NOW, |req| req.shared_prefix = Some(prefix(42, 5_000))).unwrap() != first);
    assert!(spilled, "a prefix in high demand must not stay at one server");
}

/// Guards against short prompts that cross failure domains for a prefix that is processed again within milliseconds, and
/// against a domain that keeps its requests although its servers are more loaded than the others.
#[test]
fn choose_keeps_short_prefix_in_own_domain_until_it_is_loaded() {
    let is_own = |id: &BackendId| (1..=4).any(|n| backend(n * 4).id == *id);
    let mut rig = Rig::with((1..=16).map(in_two_domains).collect());
    for hash in 0..8 {
        assert!(is_own(&rig.choose(NOW, |req| req.shared_prefix = Some(prefix(hash, 500))).unwrap()));
    }
    let own: HashMap<BackendId, f64> = (1..=4).map(|n| (backend(n * 4).id, 20.0)).collect();
    rig.pool.set_peer_loads(&own);
    assert!(!is_own(&rig.choose(NOW, |req| req.shared_prefix = Some(prefix(1, 500))).unwrap()));
}

/// Guards against a long prefix that each failure domain processes again.
#[test]
fn choose_finds_long_prefix_in_any_domain() {
    let chosen = ["a", "b"].map(|domain| {
        let mut rig = Rig { domain: domain.into(), ..Rig::with((1..=16).map(in_two_domains).collect()) };
        (0..8)
            .map(|hash| rig.choose(NOW, |req| req.shared_prefix = Some(prefix(hash, 5_000))).unwrap())
            .collect::<Vec<_>>()
    });
    assert_eq!(chosen[0], chosen[1]);
}

/// Guards against a version on trial whose servers have so few requests each that it can't show how it is under load.
#[test]
fn choose_fills_servers_on_trial() {
    let mut rig = Rig::with((1..=4).map(backend).collect());
    let chosen: Vec<BackendId> = (0..24).map(|_| rig.choose(NOW, |req| req.fills_servers = true).unwrap()).collect();
    // The servers have 8 slots each, of which 6 are used before the next one is.
    for server in chosen.chunks(6) {
        assert!(server.iter().all(|id| *id == server[0]), "{chosen:?}");
    }
    let servers: HashSet<&BackendId> = chosen.iter().collect();
    assert_eq!(servers.len(), 4);
    // Full servers share the rest, and another server takes the place of one that has failed.
    assert!(rig.choose(NOW, |req| req.fills_servers = true).is_ok());
    let mut rig = Rig::with((1..=4).map(backend).collect());
    let other = rig.choose(NOW, |req| (req.fills_servers, req.tried) = (true, &chosen[..1])).unwrap();
    assert_ne!(other, chosen[0]);
}

#[test_case(|b: &mut Backend| b.draining = true; "draining")]
#[test_case(|b: &mut Backend| b.service = "other".into(); "another service")]
#[test_case(|b: &mut Backend| b.domain = "gone".into(); "evacuated domain")]
fn choose_none_in_service(change: fn(&mut Backend)) {
    let mut only = backend(1);
    change(&mut only);
    let mut rig = Rig::with(vec![only]);
    rig.pool.set_evacuated(["gone".into()]);
    assert_eq!(rig.choose(NOW, |_| {}), Err(Unavailable::NoneInService));
}

#[test]
fn is_available_false_once_draining() {
    let mut rig = Rig::with(vec![backend(1)]);
    assert!(rig.pool.is_available(NOW, &backend(1)));
    let changes = rig.pool.update(NOW, vec![Backend { draining: true, ..backend(1) }], Millis::ZERO);
    assert_eq!(changes.draining, ["b1".into()]);
    assert!(!rig.pool.is_available(NOW, &backend(1)), "a request that waited for a connection must not be sent now");
}

#[test]
fn is_available_false_after_restart_under_same_id() {
    let mut rig = Rig::with(vec![backend(1)]);
    rig.pool.update(NOW, vec![Backend { started_at: 2, ..backend(1) }], Millis::ZERO);
    assert!(!rig.pool.is_available(NOW, &backend(1)));
}

/// The grace period is zero while the store is available; otherwise the entries of missing servers may come back.
#[test_case(Millis::ZERO, false; "removed at once without a grace period")]
#[test_case(Millis(2_000), true; "kept during the grace period")]
fn update_missing(grace: Millis, kept: bool) {
    let mut rig = Rig::with(vec![backend(1)]);
    rig.pool.update(NOW, Vec::new(), grace);
    assert_eq!(rig.choose(NOW, |_| {}).is_ok(), kept);
    assert_eq!(rig.pool.expire(NOW + Millis(2_000)).len(), usize::from(kept));
    assert_eq!(rig.choose(NOW, |_| {}), Err(Unavailable::NoneInService));
}

#[test_case(1, 32; "alone")]
#[test_case(5, 5; "one of five routers")]
fn choose_cold_server_within_limit(routers: usize, max: usize) {
    let cold = Backend { cold_remaining: Millis(3_000), ..backend(1) };
    let mut rig = Rig::with(vec![cold]);
    let mut sent = 0;
    while rig.choose(NOW, |req| (req.cold_per_second, req.routers) = (32.0, routers)).is_ok() {
        sent += 1;
        assert!(sent <= max, "{sent} requests to a cold server");
    }
    assert!(sent > 0);
    let refused = rig.choose(NOW, |req| (req.cold_per_second, req.routers) = (32.0, routers));
    assert_eq!(refused, Err(Unavailable::Cold));
    assert!(rig.choose(NOW + Millis(3_000), |req| req.cold_per_second = 32.0).is_ok(), "the server is warm");
}

#[test]
fn choose_avoids_unreachable_until_pause_ends() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    rig.pool.record_outcome(NOW, &backend(1), Outcome::Unreachable);
    for _ in 0..5 {
        assert_eq!(rig.choose(NOW, |_| {}).unwrap().as_str(), "b2");
    }
    assert_eq!(rig.choose(NOW + Millis(500), |_| {}).unwrap().as_str(), "b1");
}

#[test]
fn choose_probes_failing_server_once_per_interval() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    for _ in 0..10 {
        rig.pool.record_outcome(NOW, &backend(1), Outcome::Failed);
    }
    let later = NOW + Millis(2_000);
    let chosen: Vec<BackendId> = (0..6).map(|_| rig.choose(later, |_| {}).unwrap()).collect();
    assert_eq!(chosen.iter().filter(|id| id.as_str() == "b1").count(), 1, "{chosen:?}");
}

#[test]
fn choose_sends_less_to_slow_server() {
    let mut rig = Rig::with(vec![backend(1), backend(2), backend(3)]);
    for n in 1..=3 {
        let slowness = if n == 1 { 5.0 } else { 1.0 };
        for _ in 0..20 {
            rig.pool.record_outcome(NOW, &backend(n), Outcome::Answered { slowness });
        }
    }
    let slow = (0..30).filter(|_| rig.choose(NOW, |_| {}).unwrap().as_str() == "b1").count();
    assert!(slow <= 4, "{slow} of 30 requests went to the slow server");
}

#[test]
fn choose_version() {
    let new = Backend { version: "v2".into(), ..backend(2) };
    let mut rig = Rig::with(vec![backend(1), new]);
    let v2 = VersionName::from("v2");
    assert_eq!(rig.choose(NOW, |req| req.version = Some(&v2)).unwrap().as_str(), "b2");
    assert_eq!(rig.choose(NOW, |req| req.excluded_version = Some(&v2)).unwrap().as_str(), "b1");
    let tried = [BackendId::from("b1")];
    let refused = rig.choose(NOW, |req| (req.excluded_version, req.tried) = (Some(&v2), &tried));
    assert_eq!(refused, Err(Unavailable::AllTried));
}

#[test]
fn remove_replaced_drops_server() {
    let mut rig = Rig::with(vec![backend(1)]);
    assert!(rig.pool.remove_replaced(NOW, &backend(1), &Unsent::begin().give_up()).is_some());
    assert!(!rig.pool.is_available(NOW, &backend(1)), "a request that waited for a connection must not be sent now");
    assert_eq!(rig.choose(NOW, |_| {}), Err(Unavailable::NoneInService));
    assert_eq!(rig.choose(NOW + Millis(4_999), |_| {}), Err(Unavailable::NoneInService));
}

/// Guards against a sound server that stays out for good after a 421 because the list does not change.
#[test]
fn remove_replaced_ends_after_a_time() {
    let mut rig = Rig::with(vec![backend(1)]);
    rig.pool.remove_replaced(NOW, &backend(1), &Unsent::begin().give_up());
    assert_eq!(rig.choose(NOW + Millis(5_000), |_| {}), Ok("b1".into()));
}

#[test]
fn remove_replaced_ends_with_the_next_list() {
    let mut rig = Rig::with(vec![backend(1)]);
    rig.pool.remove_replaced(NOW, &backend(1), &Unsent::begin().give_up());
    rig.pool.update(NOW, vec![backend(1)], Millis::ZERO);
    assert_eq!(rig.choose(NOW, |_| {}), Ok("b1".into()));
}

/// Guards against a 421 to an earlier send that takes out a server which has moved or started anew since.
#[test_case(Backend { started_at: 2, ..backend(1) }; "next incarnation")]
#[test_case(Backend { address: ([10, 0, 0, 9], 80).into(), ..backend(1) }; "another address")]
fn remove_replaced_concerns_one_incarnation_and_address(listed: Backend) {
    let mut rig = Rig::with(vec![listed]);
    assert_eq!(rig.pool.remove_replaced(NOW, &backend(1), &Unsent::begin().give_up()), None);
    assert_eq!(rig.choose(NOW, |_| {}), Ok("b1".into()));
}

#[test]
fn choose_avoids_server_with_overdue_response() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    let unresponsive = rig.choose(NOW, |_| {}).unwrap();
    for _ in 0..6 {
        assert_ne!(rig.choose(NOW + Millis(300), |req| req.overdue_after = Millis(9_000)).unwrap(), unresponsive);
    }
}

#[test]
fn choose_when_responses_of_all_servers_are_overdue() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    (0..4).for_each(|_| drop(rig.choose(NOW, |_| {}).unwrap()));
    assert!(rig.choose(NOW + Millis(400), |_| {}).is_ok(), "a slow server is better than none");
}

/// Guards against a list that still says that a server is ready and thereby undoes the server's own announcement.
#[test]
fn departure_outlasts_the_list() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    assert!(rig.pool.record_departure(NOW, backend(1).server(), NOW));
    for lists in [vec![backend(1), backend(2)], vec![backend(2)], vec![backend(1), backend(2)]] {
        rig.pool.update(NOW, lists, Millis::ZERO);
        assert!(
            !rig.pool.is_available(NOW, &backend(1)),
            "a request that waited for a connection must not be sent now"
        );
        assert!((0..10).all(|_| rig.choose(NOW, |_| {}) == Ok("b2".into())));
    }
    rig.pool.update(NOW, vec![Backend { started_at: 2, ..backend(1) }], Millis::ZERO);
    assert_eq!(rig.choose(NOW, |_| {}), Ok("b1".into()), "the next incarnation is held back");
}

#[test]
fn departure_of_all() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    for n in 1..=2 {
        rig.pool.record_departure(NOW, backend(n).server(), NOW);
    }
    assert_eq!(rig.choose(NOW, |_| {}), Err(Unavailable::NoneInService));
}

/// A server that does not tell when it started can't be told from its next incarnation once it has been away.
#[test]
fn departure_without_start_time() {
    let unnamed = Backend { started_at: 0, ..backend(1) };
    let mut rig = Rig::with(vec![unnamed.clone()]);
    rig.pool.record_departure(NOW, unnamed.server(), NOW);
    assert!(!rig.pool.is_available(NOW, &unnamed));
    assert!(rig.pool.departures(NOW).is_empty(), "other routers would mark the next incarnation");
    rig.pool.update(NOW, vec![], Millis::ZERO);
    rig.pool.update(NOW, vec![unnamed.clone()], Millis::ZERO);
    assert!(rig.pool.is_available(NOW, &unnamed));
}

#[test]
fn pause_leaves_server_alone() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    rig.pool.record_pause(NOW, &backend(1), Millis(2_000));
    assert!(!rig.pool.is_available(NOW, &backend(1)), "a request that waited for a connection must not be sent now");
    for ms in (0..2_000).step_by(100) {
        assert_eq!(rig.choose(NOW + Millis(ms), |_| {}), Ok("b2".into()));
    }
    assert_eq!(rig.choose(NOW + Millis(2_000), |_| {}), Ok("b1".into()), "it is not asked again after its pause");
}

/// The paths that choose servers which are otherwise left out: the fallback to unhealthy ones, and a list that comes back.
#[test]
fn pause_outlasts_fallbacks() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    rig.pool.record_pause(NOW, &backend(1), Millis(2_000));
    rig.pool.record_outcome(NOW, &backend(1), Outcome::Answered { slowness: 1.0 });
    rig.pool.record_outcome(NOW, &backend(2), Outcome::Unreachable);
    assert_eq!(rig.choose(NOW, |_| {}), Ok("b2".into()));
    rig.pool.update(NOW, vec![backend(2)], Millis::ZERO);
    rig.pool.update(NOW, vec![backend(1), backend(2)], Millis::ZERO);
    assert_eq!(rig.choose(NOW, |_| {}), Ok("b2".into()));
    assert_eq!(rig.choose(NOW, |r| r.shared_prefix = Some(prefix(7, 5_000))), Ok("b2".into()));
}

/// While all servers pause, requests are refused with the time at which the first one may be asked. A server that was tried
/// and did not ask for a pause may be tried again.
#[test]
fn pause_of_all() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    rig.pool.record_pause(NOW, &backend(1), Millis(2_000));
    let tried = ["b2".into()];
    assert_eq!(rig.choose(NOW, |r| r.tried = &tried), Err(Unavailable::AllTried));
    rig.pool.record_pause(NOW, &backend(2), Millis(700));
    let until = NOW + Millis(700);
    assert_eq!(rig.choose(NOW, |_| {}), Err(Unavailable::Paused { until }));
    assert_eq!(rig.choose(NOW, |r| r.tried = &tried), Err(Unavailable::Paused { until }));
    assert_eq!(rig.choose(until, |_| {}), Ok("b2".into()));
}

/// Simulates a service whose servers turn requests away under a burst and state a pause: each router sends at most two
/// requests to a server between half a second after its refusal and the end of its pause.
#[test_case(4; "all turn away")]
#[test_case(2; "half turn away")]
#[test_case(1; "one always turns away")]
fn burst_at_servers_that_pause(refusing: u8) {
    const PAUSE: Millis = Millis(1_500);
    let mut rig = Rig::with((1..=4).map(backend).collect());
    let mut refused_at: HashMap<BackendId, Millis> = HashMap::default();
    let mut in_pause: HashMap<BackendId, usize> = HashMap::default();
    let mut served = 0;
    for ms in (0..10_000).step_by(5) {
        let now = NOW + Millis(ms);
        let Ok(id) = rig.choose(now, |_| {}) else { continue };
        let n: u8 = id.as_str()[1..].parse().unwrap();
        if n > refusing {
            served += 1;
            continue;
        }
        if let Some(&at) = refused_at.get(&id)
            && (at + Millis(500)..at + PAUSE).contains(&now)
        {
            *in_pause.entry(id.clone()).or_default() += 1;
        }
        refused_at.insert(id, now);
        rig.pool.record_pause(now, &backend(n), PAUSE);
    }
    assert!(in_pause.values().all(|&count| count <= 2), "{in_pause:?}");
    let expected = if refusing == 4 { 0 } else { 1_950 };
    assert!(served >= expected, "{served} requests were served");
}

/// Guards against second sends to servers that are loaded above the mean, cold or unhealthy.
#[test]
fn choose_spare_excludes_loaded_servers() {
    let cold = Backend { cold_remaining: Millis(5_000), ..backend(4) };
    let mut rig = Rig::with(vec![backend(1), backend(2), backend(3), cold]);
    rig.pool.set_peer_loads(&HashMap::from_iter([("b2".into(), 6.0), ("b1".into(), 1.0)]));
    rig.pool.record_outcome(NOW, &backend(3), Outcome::Unreachable);
    for _ in 0..20 {
        assert_eq!(rig.choose_spare(&[]), Ok("b1".into()));
    }
    assert_eq!(rig.choose_spare(&["b1".into()]), Err(Unavailable::AllTried));
}

/// Guards against a second send that runs on another version than the first one while a version is on trial.
#[test_case(|req| req.version = Some(&V2), &["b3"]; "on the new version")]
#[test_case(|req| req.excluded_version = Some(&V2), &["b1", "b2"]; "on the others")]
fn choose_spare_keeps_version(rule: fn(&mut Requirements<'_>), allowed: &[&str]) {
    let mut rig = Rig::with(vec![backend(1), backend(2), Backend { version: V2.clone(), ..backend(3) }]);
    for _ in 0..20 {
        let chosen = rig.choose_spare_with(rule).unwrap();
        assert!(allowed.contains(&chosen.as_str()), "{chosen}");
    }
    let tried: Vec<BackendId> = allowed.iter().map(|id| (*id).into()).collect();
    let chosen = rig.choose_spare_with(|req| {
        rule(req);
        req.tried = &tried;
    });
    assert_eq!(chosen, Err(Unavailable::AllTried));
}

/// Guards against servers that are taken for loaded although all have the same load.
#[test]
fn choose_spare_equal_loads() {
    let mut rig = Rig::with((1..=7).map(backend).collect());
    rig.pool.set_peer_loads(&(1..=7).map(|n| (backend(n).id, 0.1)).collect());
    assert!(rig.choose_spare(&[]).is_ok());
}

/// Guards against a server whose requests are given up again and again and which still gets as many, and against one late
/// answer that has this effect.
#[test]
fn record_outcome_slow_server_gets_fewer() {
    let mut rig = Rig::with(vec![backend(1), backend(2), backend(3)]);
    let sends_to_slow = |rig: &mut Rig| (0..100).filter(|_| rig.choose_and_release() == "b1".into()).count();
    for n in [2, 3] {
        rig.pool.record_outcome(NOW, &backend(n), Outcome::Answered { slowness: 1.0 });
    }
    rig.pool.record_outcome(NOW, &backend(1), Outcome::Slow { slowness: 4.0 });
    assert!(sends_to_slow(&mut rig) > 20);
    (0..3).for_each(|_| rig.pool.record_outcome(NOW, &backend(1), Outcome::Slow { slowness: 4.0 }));
    assert_eq!(sends_to_slow(&mut rig), 0);
}

/// Guards against requests that queue at a full server while another one has a free slot. Here the loads say
/// otherwise.
#[test_case(true, "b2"; "avoided")]
#[test_case(false, "b1"; "not asked for")]
fn choose_avoids_full_servers(avoids_full: bool, expected: &str) {
    let small = Backend { slots: 1, ..backend(1) };
    let mut rig = Rig::with(vec![small, backend(2)]);
    rig.pool.set_peer_loads(&HashMap::from_iter([("b2".into(), 5.0)]));
    rig.pool.set_peer_outstanding(&HashMap::from_iter([("b1".into(), 1), ("b2".into(), 5)]));
    assert_eq!(rig.choose(NOW, |r| r.avoids_full = avoids_full), Ok(expected.into()));
    rig.pool.set_peer_outstanding(&HashMap::from_iter([("b1".into(), 1), ("b2".into(), 8)]));
    assert_eq!(rig.choose(NOW, |r| r.avoids_full = true), Ok("b1".into()), "all are full");
}

/// Guards against a server that has left and is used again because an older copy of the list names it, or that stays in use for
/// the grace period of an outage.
#[test]
fn has_left_until_listed_again() {
    let mut rig = Rig::with(vec![backend(1), backend(2)]);
    rig.pool.update(NOW, vec![backend(2)], Millis::ZERO);
    assert!(rig.pool.has_left(NOW, &backend(1)));
    assert!(!rig.pool.has_left(NOW, &backend(2)));
    rig.pool.update(NOW, vec![backend(1), backend(2)], Millis::ZERO);
    assert!(!rig.pool.has_left(NOW, &backend(1)));
    rig.pool.set_gone(NOW, ["b1"]);
    let changes = rig.pool.update(NOW, vec![backend(2)], Millis(2_200));
    assert_eq!(changes.removed, ["b1".into()]);
}
