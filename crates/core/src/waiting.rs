//! Decides whether a request is sent now, waits for a free slot, or is refused.
//!
//! The load: more requests than the servers have slots, for some seconds (a burst, a wave of returning callers, half of the
//! servers lost) or for longer (one customer that presses). While there is room, a request is admitted at once. Otherwise it
//! waits, if it can be served in time: the more urgent first, then those of the customer with the fewest admissions within
//! the last 10 s, then those with the least time left to their objective. Requests beyond a customer's usual share come
//! last. The others are refused at once, while their callers still have time to come back.
//!
//! An admitted request counts until `end`. A waiting request is admitted as soon as there is room, so that no request waits
//! or is refused while there is room.

use crate::{
    customer_share::CustomerShares,
    hash::HashMap,
    id::{CustomerId, ServiceName},
    return_time::{Backlog, ReturnTimes},
    room::Room,
    unit::Millis,
};

/// Largest part of the objective that is set aside for the answer itself. While servers are slow, the expected time to the
/// first byte may exceed the objective, and no request could wait at all.
const MAX_ANSWER_SHARE: f64 = 0.5;
/// A waiting request is refused early if its predicted wait exceeds the rest of its time by this factor. The prediction is
/// a mean; a smaller factor drops requests that are served in time when requests end a little faster.
const HOPELESS_FACTOR: f64 = 2.0;

/// Limits of waiting, set by operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// Longest wait of a request.
    pub max_wait: Millis,
    /// Maximum number of waiting requests, of all services together.
    pub max_waiting: usize,
}

/// A request that is to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Service that it goes to.
    pub service: ServiceName,
    /// Customer that sent it; the empty id for all anonymous callers.
    pub customer: CustomerId,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Time of its arrival.
    pub arrived: Millis,
    /// Time from the arrival within which a response has its full value.
    pub objective: Millis,
    /// End of the caller's deadline.
    pub deadline: Millis,
    /// Expected time from its start to the first byte of a response; none if it is not known.
    pub expected: Option<Millis>,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(u64);

/// What happens to a request that has just arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent now.
    Admit,
    /// It waits.
    Wait {
        /// Id of the wait.
        id: WaitId,
        /// Time at which the wait ends without an admission.
        until: Millis,
        /// The last request in the full queue, which this one displaces.
        displaced: Option<Refused>,
    },
    /// It is refused.
    Refuse {
        /// Why.
        why: Why,
        /// Time after which the caller should come back; none if no time fits its deadline.
        retry_after: Option<Millis>,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It could not be served in time.
    Late,
    /// The queue is full of requests that come first.
    QueueFull,
}

/// A waiting request that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Id of the wait.
    pub id: WaitId,
    /// Time after which the caller should come back; none if no time fits its deadline.
    pub retry_after: Option<Millis>,
}

/// A waiting request that is admitted, and its service.
pub type Admitted = (WaitId, ServiceName);

/// Waiting requests whose wait has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ended {
    /// Requests that are admitted, in order.
    pub admitted: Vec<Admitted>,
    /// Requests that are refused.
    pub refused: Vec<Refused>,
}

/// Inputs to the decisions on the requests for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inputs {
    /// Capacity; all zero if it is not known.
    pub room: Room,
    /// Number of this gateway's admitted requests.
    pub own: u32,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Predicted number of requests that end per second; none if none has ended yet.
    pub rate: Option<f64>,
}

/// Admitted and waiting requests of a gateway.
#[derive(Debug)]
pub struct Admission {
    limits: WaitLimits,
    services: HashMap<ServiceName, Service>,
    customers: CustomerShares,
    waiting: usize,
    last_id: u64,
}

#[derive(Debug, Default)]
struct Service {
    /// None while the capacity is not known; requests are then admitted, and fail for want of a server.
    room: Option<Room>,
    own: u32,
    times: ReturnTimes,
    waiters: Vec<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    id: WaitId,
    request: Request,
    /// Latest time at which it is admitted.
    start_by: Millis,
}

/// Place in the queue; the smallest comes first.
type Place = (bool, u8, u32, Millis, WaitId);

impl Admission {
    /// Without any requests.
    pub fn new(limits: WaitLimits) -> Self {
        Self { limits, services: HashMap::default(), customers: CustomerShares::default(), waiting: 0, last_id: 0 }
    }

    /// Replaces the limits. Requests that wait already keep their times.
    pub fn set_limits(&mut self, limits: WaitLimits) {
        self.limits = limits;
    }

    /// Decides on a request that has just arrived.
    pub fn ask(&mut self, now: Millis, request: &Request) -> Decision {
        self.customers.record_arrival(now, &request.customer);
        if !self.services.contains_key(&request.service) {
            self.services.insert(request.service.clone(), Service::default());
        }
        let Some(service) = self.services.get_mut(&request.service) else { return Decision::Admit };
        if service.has_room() {
            service.own += 1;
            self.customers.record_admission(now, &request.customer);
            return Decision::Admit;
        }
        service.times.record_room(now, false);
        let start_by = start_by(now, request, self.limits.max_wait);
        let id = WaitId(self.last_id + 1);
        let place = place(now, &self.customers, request, id);
        let service = &self.services[&request.service];
        let ahead = service.waiters.iter().filter(|waiter| waiter.place(now, &self.customers) < place).count();
        let wait = service.times.wait(now, service.backlog(ahead));
        if start_by <= now || wait.is_some_and(|wait| now + wait > start_by) {
            return self.refuse(now, request, ahead, Why::Late);
        }
        let displaced = if self.waiting >= self.limits.max_waiting {
            match self.displace(now, place) {
                Some(refused) => Some(refused),
                None => return self.refuse(now, request, ahead, Why::QueueFull),
            }
        } else {
            None
        };
        self.last_id += 1;
        let waiter = Waiter { id, request: request.clone(), start_by };
        self.services.entry(request.service.clone()).or_default().waiters.push(waiter);
        self.waiting += 1;
        Decision::Wait { id, until: start_by, displaced }
    }

    /// Ends an admitted request that occupied a slot for `hold`, and returns the requests that are admitted in its place.
    /// `hold` is none for a request that got no answer.
    pub fn end(&mut self, now: Millis, service: &ServiceName, hold: Option<Millis>) -> Vec<Admitted> {
        let Some(entry) = self.services.get_mut(service) else { return Vec::new() };
        entry.own = entry.own.saturating_sub(1);
        if let Some(hold) = hold {
            entry.times.record_end(now, hold);
        }
        self.admit_waiting(now, service)
    }

    /// Removes a waiting request that its caller has abandoned. False if it does not wait any more.
    pub fn cancel(&mut self, service: &ServiceName, id: WaitId) -> bool {
        self.remove(service, id).is_some()
    }

    /// Refuses a request whose wait is over. None if it does not wait any more.
    pub fn give_up(&mut self, now: Millis, service: &ServiceName, id: WaitId) -> Option<Refused> {
        let waiter = self.remove(service, id)?;
        Some(self.refuse_waiter(now, &waiter))
    }

    /// Puts the capacities of all services in force, and returns the requests whose wait ends.
    pub fn refresh(&mut self, now: Millis, mut rooms: HashMap<ServiceName, Room>) -> Ended {
        self.customers.learn(now);
        for (name, service) in &mut self.services {
            service.room = rooms.remove(name);
        }
        for (name, room) in rooms {
            self.services.insert(name, Service { room: Some(room), ..Service::default() });
        }
        self.services.retain(|_, service| !service.is_idle());
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        let mut ended = Ended::default();
        for name in names {
            ended.admitted.extend(self.admit_waiting(now, &name));
            ended.refused.extend(self.refuse_hopeless(now, &name));
        }
        ended
    }

    /// Time after which the caller of `request` should come back, whom no server has accepted; none if no time fits its
    /// deadline.
    pub fn return_time(&mut self, now: Millis, request: &Request) -> Option<Millis> {
        let ahead = self.services.get(&request.service).map_or(0, |service| service.waiters.len());
        self.assign(now, request, ahead)
    }

    /// Inputs to decisions on requests for `service`.
    pub fn inputs(&self, now: Millis, service: &ServiceName) -> Inputs {
        let Some(service) = self.services.get(service) else { return Inputs::default() };
        Inputs {
            room: service.room.unwrap_or_default(),
            own: service.own,
            waiting: service.waiters.len(),
            rate: service.times.rate(now, service.own).map(|rate| rate * 1_000.0),
        }
    }

    /// Number of waiting requests of all services.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    fn admit_waiting(&mut self, now: Millis, name: &ServiceName) -> Vec<Admitted> {
        let mut admitted = Vec::new();
        let Some(service) = self.services.get_mut(name) else { return admitted };
        while service.has_room() {
            let live = service.waiters.iter().enumerate().filter(|(_, waiter)| now <= waiter.start_by);
            let first = live.min_by_key(|(_, waiter)| waiter.place(now, &self.customers)).map(|(index, _)| index);
            let Some(index) = first else { break };
            let waiter = service.waiters.swap_remove(index);
            service.own += 1;
            self.waiting -= 1;
            self.customers.record_admission(now, &waiter.request.customer);
            admitted.push((waiter.id, waiter.request.service));
        }
        service.times.record_room(now, service.has_room());
        admitted
    }

    /// Refuses the waiting requests that can't be served in time by far.
    fn refuse_hopeless(&mut self, now: Millis, name: &ServiceName) -> Vec<Refused> {
        let Some(service) = self.services.get_mut(name).filter(|service| !service.waiters.is_empty()) else {
            return Vec::new();
        };
        let customers = &self.customers;
        service.waiters.sort_by_cached_key(|waiter| waiter.place(now, customers));
        let mut kept = Vec::with_capacity(service.waiters.len());
        let mut hopeless = Vec::new();
        for waiter in std::mem::take(&mut service.waiters) {
            let wait = service.times.wait(now, service.backlog(kept.len()));
            let time_left = waiter.start_by.saturating_sub(now).0 as f64;
            if wait.is_some_and(|wait| wait.0 as f64 > time_left * HOPELESS_FACTOR) {
                hopeless.push(waiter);
            } else {
                kept.push(waiter);
            }
        }
        service.waiters = kept;
        self.waiting -= hopeless.len();
        hopeless.iter().map(|waiter| self.refuse_waiter(now, waiter)).collect()
    }

    /// Removes the last waiting request of all if it comes after `place`, and refuses it.
    fn displace(&mut self, now: Millis, place: Place) -> Option<Refused> {
        let waiters = self.services.values().flat_map(|service| &service.waiters);
        let last = waiters.max_by_key(|waiter| waiter.place(now, &self.customers))?;
        if last.place(now, &self.customers) <= place {
            return None;
        }
        let (service, id) = (last.request.service.clone(), last.id);
        self.give_up(now, &service, id)
    }

    fn remove(&mut self, service: &ServiceName, id: WaitId) -> Option<Waiter> {
        let waiters = &mut self.services.get_mut(service)?.waiters;
        let index = waiters.iter().position(|waiter| waiter.id == id)?;
        self.waiting -= 1;
        Some(waiters.swap_remove(index))
    }

    fn refuse(&mut self, now: Millis, request: &Request, ahead: usize, why: Why) -> Decision {
        Decision::Refuse { why, retry_after: self.assign(now, request, ahead) }
    }

    fn refuse_waiter(&mut self, now: Millis, waiter: &Waiter) -> Refused {
        let place = waiter.place(now, &self.customers);
        let is_ahead = |other: &&Waiter| other.place(now, &self.customers) < place;
        let service = self.services.get(&waiter.request.service);
        let ahead = service.map_or(0, |service| service.waiters.iter().filter(is_ahead).count());
        Refused { id: waiter.id, retry_after: self.assign(now, &waiter.request, ahead) }
    }

    fn assign(&mut self, now: Millis, request: &Request, ahead: usize) -> Option<Millis> {
        let is_excess = self.customers.is_excess(now, &request.customer);
        let service = self.services.get_mut(&request.service)?;
        let backlog = service.backlog(ahead);
        let urgency = if is_excess { u8::MAX } else { request.urgency };
        let time_left = request.deadline.saturating_sub(now);
        service.times.assign(now, backlog, urgency, time_left, request.objective)
    }
}

impl Service {
    fn has_room(&self) -> bool {
        self.room.is_none_or(|room| room.has_room(self.own))
    }

    /// What must end before a request may be sent that has `ahead` others before it.
    fn backlog(&self, ahead: usize) -> Backlog {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let (elsewhere, allowed) = self.room.map_or((0, u32::MAX), |room| (room.elsewhere, room.allowed));
        Backlog { own: self.own.saturating_sub(elsewhere), allowed, ahead }
    }

    fn is_idle(&self) -> bool {
        self.room.is_none() && self.own == 0 && self.waiters.is_empty()
    }
}

impl Waiter {
    fn place(&self, now: Millis, customers: &CustomerShares) -> Place {
        place(now, customers, &self.request, self.id)
    }
}

fn place(now: Millis, customers: &CustomerShares, request: &Request, id: WaitId) -> Place {
    let customer = &request.customer;
    let admitted = customers.admitted(now, customer);
    let is_excess = customers.is_excess(now, customer);
    (is_excess, request.urgency, admitted, request.arrived + request.objective, id)
}

/// Latest time at which `request` can start to meet its objective and its deadline, within the longest wait.
fn start_by(now: Millis, request: &Request, max_wait: Millis) -> Millis {
    let max_answer = Millis((request.objective.0 as f64 * MAX_ANSWER_SHARE) as u64);
    let answer = request.expected.unwrap_or(Millis::ZERO).min(max_answer);
    let in_time = (request.arrived + request.objective).min(request.deadline).saturating_sub(answer);
    in_time.min(now + max_wait)
}
