//! The side that asks: gets slots from the scheduler that is home to a model.

use {
    super::{
        Acquiring, Ask, Dispatch, Home, Lease, Post, Scheduler,
        links::Watch,
        slot::{RemoteSlot, Withdraw},
    },
    async_channel::{Receiver, Sender, bounded},
    clock::{SharedClock, Stamp},
    mesh::{AdoptMsg, AskMsg, LinkMsg, Node, TicketNo},
    parking_lot::{Mutex, RwLock},
    route::RequestOutcome,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    types::{EndpointId, ModelId, Reason, Refusal, VmId, ZoneId},
};

/// Schedulers that one request asks at most, besides the own one.
const MAX_HOMES: u32 = 4;

/// VMs in the order in which they are home to each model, by availability zone.
pub(crate) type Homes = BTreeMap<(ZoneId, ModelId), Vec<VmId>>;

/// What a scheduler answers.
enum Answer {
    Grant(EndpointId, SocketAddr),
    Refuse(Refusal),
    /// The scheduler is gone or leaving.
    Lost,
}

/// What became of an ask.
enum Asked {
    Given(Lease),
    Refused(Refusal),
    Lost,
}

struct Pending {
    home: VmId,
    answer: Sender<Answer>,
}

/// A running request whose slot another VM gave.
struct Running {
    ask: Ask,
    endpoint: EndpointId,
    zone: ZoneId,
}

/// Gets slots from other entries. Lock order: `homes`, then `pending`, then `running`; each is released
/// before messages are sent.
pub(crate) struct Remote {
    zone: ZoneId,
    node: Arc<Node>,
    scheduler: Arc<Scheduler>,
    home: Arc<Home>,
    post: Arc<dyn Post>,
    clock: SharedClock,
    homes: RwLock<Homes>,
    pending: Mutex<HashMap<TicketNo, Pending>>,
    running: Mutex<HashMap<TicketNo, Running>>,
    last: AtomicU64,
}

impl Remote {
    pub(crate) fn new(
        zone: ZoneId,
        node: Arc<Node>,
        scheduler: Arc<Scheduler>,
        home: Arc<Home>,
        post: Arc<dyn Post>,
        clock: SharedClock,
    ) -> Arc<Self> {
        Arc::new(Self {
            zone,
            node,
            scheduler,
            home,
            post,
            clock,
            homes: RwLock::default(),
            pending: Mutex::default(),
            running: Mutex::default(),
            last: AtomicU64::new(0),
        })
    }

    /// Takes over the homes of a new version.
    pub(crate) fn set_homes(&self, homes: Homes) {
        *self.homes.write() = homes;
    }

    /// The VM that schedules a model of `zone` now, if one can be reached.
    fn home_in(&self, zone: &ZoneId, serves: &ModelId) -> Option<VmId> {
        let homes = self.homes.read();
        let ranked = homes.get(&(zone.clone(), serves.clone()))?;
        ranked.iter().find(|vm| self.node.is_usable(vm)).cloned()
    }

    /// The VM that schedules a model of this availability zone now; this one when no other can be
    /// reached.
    fn home_of(&self, serves: &ModelId) -> VmId {
        self.home_in(&self.zone, serves)
            .unwrap_or_else(|| self.node.vm().clone())
    }

    /// The VM that schedules a model of any availability zone now, if one can be reached.
    pub(super) fn home_now(&self, zone: &ZoneId, serves: &ModelId) -> Option<VmId> {
        if *zone == self.zone {
            return Some(self.home_of(serves));
        }
        self.home_in(zone, serves)
    }

    /// Whether this VM schedules a model.
    pub(crate) fn is_home(&self, serves: &ModelId) -> bool {
        self.home_of(serves) == *self.node.vm()
    }

    /// Gets a slot in this availability zone, or in another one that has room where this one has none.
    async fn get(self: &Arc<Self>, ask: Ask) -> Result<Lease, Refusal> {
        if self.spills(&ask)
            && let Some(lease) = self.get_elsewhere(&ask).await
        {
            return Ok(lease);
        }
        let refused = match self.get_here(ask.clone()).await {
            Ok(lease) => return Ok(lease),
            Err(refused) => refused,
        };
        match refused.reason {
            Reason::Overloaded | Reason::Unavailable => {
                self.get_elsewhere(&ask).await.ok_or(refused)
            }
            _ => Err(refused),
        }
    }

    /// Whether a request goes to another availability zone first: requests wait here while no slot is
    /// free. Half of them stay, as all entries see the same figures.
    fn spills(&self, ask: &Ask) -> bool {
        let full = self
            .node
            .headroom()
            .is_full(self.clock.now(), &self.zone, &ask.serves);
        full && fastrand::bool()
    }

    async fn get_elsewhere(self: &Arc<Self>, ask: &Ask) -> Option<Lease> {
        let best =
            self.node
                .headroom()
                .zone_with_most_free(self.clock.now(), &self.zone, &ask.serves);
        let zone = best?;
        let home = self.home_in(&zone, &ask.serves)?;
        if home == *self.node.vm() {
            return None;
        }
        metrics::counter!("celerystage_spilled_total").increment(1);
        match self.ask_home(ask, zone, home).await {
            Asked::Given(lease) => Some(lease),
            Asked::Refused(_) | Asked::Lost => None,
        }
    }

    async fn get_here(self: &Arc<Self>, mut ask: Ask) -> Result<Lease, Refusal> {
        for _ in 0..MAX_HOMES {
            let home = self.home_of(&ask.serves);
            if home == *self.node.vm() {
                return self.scheduler.decide(ask).await;
            }
            match self.ask_home(&ask, self.zone.clone(), home).await {
                Asked::Given(lease) => return Ok(lease),
                Asked::Refused(refusal) if refusal.reason == Reason::Unavailable => {
                    return self.scheduler.decide(ask).await;
                }
                Asked::Refused(refusal) => return Err(refusal),
                Asked::Lost => {
                    metrics::counter!("celerystage_homes_lost_total").increment(1);
                    ask.resumed = true;
                }
            }
        }
        self.scheduler.decide(ask).await
    }

    async fn ask_home(self: &Arc<Self>, ask: &Ask, zone: ZoneId, home: VmId) -> Asked {
        let (ticket, receiver) = self.register(&home);
        let withdraw = Withdraw {
            remote: self.clone(),
            ticket,
            zone,
            home: home.clone(),
        };
        self.post
            .post(&home, LinkMsg::Ask(self.ask_msg(ticket, ask)));
        match receiver.recv().await.unwrap_or(Answer::Lost) {
            Answer::Grant(endpoint, addr) => {
                Asked::Given(self.lease(withdraw, ask, endpoint, addr))
            }
            Answer::Refuse(refusal) => Asked::Refused(refusal),
            Answer::Lost => Asked::Lost,
        }
    }

    fn register(&self, home: &VmId) -> (TicketNo, Receiver<Answer>) {
        let ticket = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let (answer, receiver) = bounded(1);
        let pending = Pending {
            home: home.clone(),
            answer,
        };
        self.pending.lock().insert(ticket, pending);
        (ticket, receiver)
    }

    fn ask_msg(&self, ticket: TicketNo, ask: &Ask) -> AskMsg {
        let now = self.clock.now();
        AskMsg {
            ticket,
            serves: ask.serves.clone(),
            org: ask.org.clone(),
            weight: ask.weight,
            class: ask.class.clone(),
            tier: ask.tier,
            waited: now.since(ask.arrived),
            remaining: ask.deadline.since(now),
            prompt: ask.prompt,
            need: ask.need.clone(),
            resumed: ask.resumed,
        }
    }

    fn lease(
        self: &Arc<Self>,
        withdraw: Withdraw,
        ask: &Ask,
        endpoint: EndpointId,
        addr: SocketAddr,
    ) -> Lease {
        let running = Running {
            ask: ask.clone(),
            endpoint: endpoint.clone(),
            zone: withdraw.zone.clone(),
        };
        self.running.lock().insert(withdraw.ticket, running);
        let slot = RemoteSlot::new(withdraw, ask.serves.clone());
        Lease::new(endpoint, addr, Box::new(slot))
    }

    /// Time now.
    pub(super) fn now(&self) -> Stamp {
        self.clock.now()
    }

    /// Withdraws an ask that was not answered.
    pub(super) fn withdraw(&self, ticket: TicketNo, home: &VmId) {
        if self.pending.lock().remove(&ticket).is_some() {
            self.post.post(home, LinkMsg::Cancel(ticket));
        }
    }

    /// Takes note that a running request ended.
    pub(super) fn ended(&self, ticket: TicketNo) {
        self.running.lock().remove(&ticket);
    }

    /// Takes in a message from a scheduler.
    pub(crate) fn take(&self, from: &VmId, msg: LinkMsg) {
        match msg {
            LinkMsg::Grant(ticket, endpoint, addr) => self.granted(from, ticket, endpoint, addr),
            LinkMsg::Refuse(ticket, refusal) => {
                self.answer(ticket, Answer::Refuse(refusal));
            }
            LinkMsg::Moved(ticket) => {
                self.answer(ticket, Answer::Lost);
            }
            LinkMsg::Unknown(tickets) => self.tell(from, &tickets),
            LinkMsg::Ask(_)
            | LinkMsg::Cancel(_)
            | LinkMsg::Progress(_)
            | LinkMsg::Done(..)
            | LinkMsg::Held(_)
            | LinkMsg::Adopt(_) => {}
        }
    }

    fn granted(&self, from: &VmId, ticket: TicketNo, endpoint: EndpointId, addr: SocketAddr) {
        let wanted = self.answer(ticket, Answer::Grant(endpoint, addr));
        if !wanted && !self.running.lock().contains_key(&ticket) {
            self.post
                .post(from, LinkMsg::Done(ticket, RequestOutcome::Cancelled));
        }
    }

    /// Passes an answer to its request; `false` when none waits for it.
    fn answer(&self, ticket: TicketNo, answer: Answer) -> bool {
        let pending = self.pending.lock().remove(&ticket);
        pending.is_some_and(|p| p.answer.try_send(answer).is_ok())
    }

    /// Tells a scheduler of running requests that it does not know.
    fn tell(&self, to: &VmId, tickets: &[TicketNo]) {
        let running = self.running.lock();
        let known = tickets.iter().filter_map(|t| Some((*t, running.get(t)?)));
        let msgs: Vec<LinkMsg> = known.map(|(t, r)| LinkMsg::Adopt(r.adopt_msg(t))).collect();
        drop(running);
        for msg in msgs {
            self.send(to, msg);
        }
    }

    /// Sends to another VM, or to this VM's own scheduler.
    pub(super) fn send(&self, to: &VmId, msg: LinkMsg) {
        if to == self.node.vm() {
            self.home.take(to, msg);
        } else {
            self.post.post(to, msg);
        }
    }

    /// Lists the running requests to the VMs that schedule their models now, shows the VMs at which
    /// requests wait that this one is alive, and tries suspected VMs again.
    pub(crate) fn beat(&self) {
        let mut lists: BTreeMap<VmId, Vec<TicketNo>> = BTreeMap::new();
        for pending in self.pending.lock().values() {
            lists.entry(pending.home.clone()).or_default();
        }
        for (ticket, zone, serves) in self.places() {
            if let Some(home) = self.home_now(&zone, &serves) {
                lists.entry(home).or_default().push(ticket);
            }
        }
        for vm in self.node.suspected() {
            lists.entry(vm).or_default();
        }
        for (home, tickets) in lists {
            self.send(&home, LinkMsg::Held(tickets));
        }
    }

    fn places(&self) -> Vec<(TicketNo, ZoneId, ModelId)> {
        let running = self.running.lock();
        let place = |(t, r): (&TicketNo, &Running)| (*t, r.zone.clone(), r.ask.serves.clone());
        running.iter().map(place).collect()
    }

    /// Sends the requests that wait at a VM elsewhere.
    fn lose(&self, home: &VmId) {
        let mut pending = self.pending.lock();
        let lost: Vec<TicketNo> = pending
            .iter()
            .filter(|(_, p)| p.home == *home)
            .map(|(t, _)| *t)
            .collect();
        let lost: Vec<Pending> = lost.iter().filter_map(|t| pending.remove(t)).collect();
        drop(pending);
        for p in lost {
            let _ = p.answer.try_send(Answer::Lost);
        }
    }
}

impl Running {
    fn adopt_msg(&self, ticket: TicketNo) -> AdoptMsg {
        AdoptMsg {
            ticket,
            serves: self.ask.serves.clone(),
            endpoint: self.endpoint.clone(),
            org: self.ask.org.clone(),
            weight: self.ask.weight,
            class: self.ask.class.clone(),
        }
    }
}

impl Watch for Remote {
    fn undelivered(&self, to: &VmId, msgs: &[LinkMsg]) {
        self.lose(to);
        self.home.undelivered(to, msgs);
    }

    fn restarted(&self, vm: &VmId) {
        self.lose(vm);
        self.home.forget(vm);
    }
}

impl Dispatch for Arc<Remote> {
    fn acquire(&self, ask: Ask) -> Acquiring<'_> {
        Box::pin(self.get(ask))
    }
}
