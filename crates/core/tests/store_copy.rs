//! Guards against a copy of the store that misses a change, goes back, or confirms what it should not, over schedules of writes,
//! reads, watches, drills, late responses, copies of another router and restarts (review/12).

use std::collections::BTreeMap;

use compact_str::CompactString;
use eelgrasswell_core::{
    confirmation::{Confirmation, Confirmed},
    id::Era,
    place::Place,
    store_copy::{Change, Lacking, PeerCopy, StoreCopy, StoreObject},
    unit::Millis,
};
use proptest::prelude::*;

/// Number of events in the schedules that are all played.
const SCHEDULE_LENGTH: u32 = 5;

/// An object whose content is a version.
#[derive(Clone, Debug, PartialEq)]
struct Doc {
    name: CompactString,
    place: Place,
    version: u64,
}

impl StoreObject for Doc {
    fn name(&self) -> &CompactString {
        &self.name
    }

    fn place(&self) -> Place {
        self.place
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The operator writes the next version, and it is acknowledged.
    Write,
    /// The store comes back from a copy that lacks the last two changes.
    Drill,
    /// The operator writes the newest version again.
    WriteAgain,
    /// A server enters or leaves, which raises the revision.
    Other,
    /// A router lists the objects.
    List(usize),
    /// The first router sends a list, the second one a watch, of which the response is late.
    Send(usize),
    /// The late response arrives.
    LateResponse(usize),
    /// A router watches.
    Watch(usize),
    /// A router gets the copy of the other one. The second one leaves its objects to the store.
    Follow(usize),
    /// A router starts again, and learns what the other one has in force.
    Restart(usize),
}

const EVENTS: [Event; 16] = [
    Event::Write,
    Event::Drill,
    Event::WriteAgain,
    Event::Other,
    Event::List(0),
    Event::List(1),
    Event::Send(0),
    Event::Send(1),
    Event::LateResponse(0),
    Event::LateResponse(1),
    Event::Watch(0),
    Event::Watch(1),
    Event::Follow(0),
    Event::Follow(1),
    Event::Restart(0),
    Event::Restart(1),
];

#[derive(Clone, Default)]
struct State {
    revision: u64,
    docs: BTreeMap<CompactString, Doc>,
    history: Vec<Change<Doc>>,
}

#[derive(Default)]
struct Store {
    era: Era,
    state: State,
    /// States before each change.
    earlier: Vec<State>,
    /// Newest version that was acknowledged.
    acknowledged: u64,
}

impl Store {
    fn place(&self) -> Place {
        Place::new(self.era, self.state.revision)
    }

    fn put(&mut self, name: &str, version: u64) {
        self.earlier.push(self.state.clone());
        self.state.revision += 1;
        let object = Doc { name: name.into(), place: self.place(), version };
        self.state.docs.insert(name.into(), object.clone());
        self.state.history.push(Change { object, deleted: false });
    }

    fn toggle_other(&mut self) {
        let Some(mut object) = self.state.docs.get("other").cloned() else { return self.put("other", 1) };
        self.earlier.push(self.state.clone());
        self.state.docs.remove("other");
        self.state.revision += 1;
        object.place = self.place();
        self.state.history.push(Change { object, deleted: true });
    }

    fn drill(&mut self) {
        for _ in 0..2 {
            self.state = self.earlier.pop().unwrap_or_else(|| self.state.clone());
        }
        self.era.0 += 1;
        // The store names its present era for all objects.
        let era = self.era;
        let renew = |object: &mut Doc| object.place = Place::new(era, object.place.revision());
        for state in self.earlier.iter_mut().chain([&mut self.state]) {
            state.docs.values_mut().for_each(renew);
            state.history.iter_mut().for_each(|change| renew(&mut change.object));
        }
    }

    fn version(&self) -> u64 {
        self.state.docs.get("main").map_or(0, |doc| doc.version)
    }

    fn list(&self) -> (Vec<Doc>, Place) {
        (self.state.docs.values().cloned().collect(), self.place())
    }

    /// Response to a watch after `place`, of which the store knows the revision only; none for 410.
    fn watch(&self, place: Place) -> Option<(Vec<Change<Doc>>, Place)> {
        let is_new = |change: &&Change<Doc>| change.object.place.revision() > place.revision();
        let changes = self.state.history.iter().filter(is_new).cloned().collect();
        (place.revision() <= self.state.revision).then_some((changes, self.place()))
    }
}

#[derive(Default)]
struct Router {
    copy: StoreCopy<Doc>,
    confirmation: Confirmation,
    config: Option<Confirmed<u64>>,
    /// Version below which no confirmation counts, since another router has it in force.
    floor: u64,
    /// Highest version that this process had in force.
    highest: u64,
    late: Option<Late>,
}

/// A response that has not arrived yet, and the time of the call.
enum Late {
    List((Vec<Doc>, Place), Millis),
    /// With the place from which the router watches.
    Watch(Place, Option<(Vec<Change<Doc>>, Place)>, Millis),
}

impl Router {
    /// Applies the copy as a gateway does, after a response that confirms it at `at`.
    fn apply(&mut self, at: Option<Millis>) {
        if let Some(at) = at {
            self.confirmation.confirm_at(at);
        }
        let version = self.copy.get_listed("main").map(|doc| doc.version);
        let changed = self.copy.changed();
        match &mut self.config {
            Some(config) => drop(config.offer_value(version, changed, |version| *version)),
            None => self.config = version.map(|version| Confirmed::new(version, changed)),
        }
        let Some(config) = &mut self.config else { return };
        self.highest = self.highest.max(*config.value());
        if *config.value() >= self.floor {
            config.confirm(changed, self.confirmation);
        }
    }

    fn list(&mut self, (docs, place): (Vec<Doc>, Place), sent: Millis) {
        let is_replaced = self.copy.replace(docs, place);
        self.apply(is_replaced.then_some(sent));
    }

    /// Applies the response to a watch from `place`. Returns whether it counts.
    fn watched(&mut self, place: Place, response: Option<(Vec<Change<Doc>>, Place)>, sent: Millis) -> bool {
        let Some((changes, at)) = response.filter(|(_, at)| place.era() == at.era()) else { return false };
        let is_applied = self.copy.apply_changes(changes, at);
        self.apply(is_applied.then_some(sent));
        is_applied
    }

    fn watch(&mut self, store: &Store, now: Millis) {
        let counts = self.copy.place().is_some_and(|place| self.watched(place, store.watch(place), now));
        if !counts {
            self.list(store.list(), now);
        }
    }

    /// Gets the copy of `other`, which was asked with what this router knew, with its objects or without.
    fn follow(&mut self, other: &Self, with_objects: bool, now: Millis) {
        let Some(place) = other.copy.place() else { return };
        let changed = other.copy.changed();
        let lacks = self.copy.changed() < changed || self.copy.place().is_none();
        let objects = || other.copy.changed_since(self.copy.changed()).into_iter().cloned().collect();
        let names = || other.copy.listed().map(|doc| doc.name.to_string()).collect();
        let lacking = (lacks && with_objects).then(|| Lacking { objects: objects(), names: names() });
        let outcome = self.copy.merge(PeerCopy { place, changed, lacking });
        let counts = outcome != eelgrasswell_core::store_copy::MergeOutcome::Ignored;
        let confirmed = other.confirmation.age(now).map(|age| now - age);
        self.apply(confirmed.filter(|_| counts));
    }
}

fn play(schedule: &[Event]) {
    let mut store = Store { era: Era(1), ..Store::default() };
    let mut routers = [Router::default(), Router::default()];
    // Version that the store held at each time.
    let mut held = vec![0];
    let start = [Event::Write, Event::Other, Event::List(0), Event::Write, Event::List(1)];
    for (step, event) in start.iter().chain(schedule).enumerate() {
        let now = Millis(step as u64 + 1);
        let before = [0, 1].map(|router| {
            let Router { copy, config, .. } = &routers[router];
            (copy.place(), config.as_ref().and_then(|config| config.age(now)))
        });
        match *event {
            Event::Write => {
                store.acknowledged += 1;
                store.put("main", store.acknowledged);
            }
            Event::WriteAgain if store.version() < store.acknowledged => store.put("main", store.acknowledged),
            Event::WriteAgain => {}
            Event::Other => store.toggle_other(),
            Event::Drill => store.drill(),
            Event::List(router) => routers[router].list(store.list(), now),
            Event::Send(0) => routers[0].late = Some(Late::List(store.list(), now)),
            Event::Send(router) => {
                let place = routers[router].copy.place();
                routers[router].late = place.map(|place| Late::Watch(place, store.watch(place), now));
            }
            Event::LateResponse(router) => match routers[router].late.take() {
                Some(Late::List(list, sent)) => routers[router].list(list, sent),
                Some(Late::Watch(place, response, sent)) => drop(routers[router].watched(place, response, sent)),
                None => {}
            },
            Event::Watch(router) => routers[router].watch(&store, now),
            Event::Follow(router) => {
                let [a, b] = &mut routers;
                let (follower, other) = if router == 0 { (a, &*b) } else { (b, &*a) };
                follower.follow(other, router == 1, now);
            }
            Event::Restart(router) => {
                let floor = routers[1 - router].config.as_ref().map_or(0, |config| *config.value());
                routers[router] = Router { floor, ..Router::default() };
            }
        }
        held.push(store.version());
        let context = || format!("step {step} of {schedule:?}");
        for (number, router) in routers.iter().enumerate() {
            let (place_before, age_before) = before[number];
            if !matches!(event, Event::Restart(_)) {
                assert!(router.copy.place() >= place_before, "router {number} went back: {}", context());
            }
            let Some(config) = &router.config else { continue };
            assert!(*config.value() >= router.highest, "router {number} undid a version: {}", context());
            let Some(age) = config.age(now) else { continue };
            let confirmed = (now - age).0 as usize;
            assert!(*config.value() >= held[confirmed], "router {number} confirms an old version: {}", context());
            // A store that has forgotten the version in force can't confirm that there is no newer one.
            let is_confirmed_now = age_before != Some(age);
            let is_held = held[confirmed] >= *config.value();
            assert!(!is_confirmed_now || is_held, "router {number} is confirmed by an older copy: {}", context());
            assert!(*config.value() >= router.floor, "router {number} is behind the other: {}", context());
        }
        if let Event::List(router) | Event::Watch(router) = *event {
            let listed: Vec<&Doc> = routers[router].copy.listed().collect();
            assert_eq!(listed, store.state.docs.values().collect::<Vec<_>>(), "{}", context());
            assert_eq!(routers[router].copy.place(), Some(store.place()), "{}", context());
        }
    }
}

#[test]
fn all_short_schedules() {
    let count = EVENTS.len();
    for number in 0..count.pow(SCHEDULE_LENGTH) {
        let event = |position: u32| EVENTS[number / count.pow(position) % count];
        let schedule: Vec<Event> = (0..SCHEDULE_LENGTH).map(event).collect();
        play(&schedule);
    }
}

/// A watch that waits through two drills and a list of the new era, and then brings an object that the store has forgotten.
#[test]
fn late_watch_of_an_earlier_era() {
    use Event::*;
    play(&[Other, Other, Send(1), Drill, Drill, List(1), LateResponse(1), Watch(1)]);
}

/// A watch whose response names an object that was deleted since, as the copy of another router has shown meanwhile.
#[test]
fn late_watch_after_a_newer_copy() {
    use Event::*;
    play(&[Other, Other, Send(1), Other, List(1), LateResponse(1), Watch(1)]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_096))]
    #[test]
    fn long_schedules(schedule in prop::collection::vec(prop::sample::select(EVENTS.to_vec()), 6..60)) {
        play(&schedule);
    }
}
