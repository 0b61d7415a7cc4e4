//! Leases slots from the home VM of a model: the VM whose scheduler holds the queue for the model's
//! endpoints in an availability zone.

use {
    super::{
        AcquireFuture, Dispatcher, LeaseServer, PeerSink, Scheduler, SlotLease, SlotRequest,
        outbox::DeliveryObserver,
        remote_slot::{RemoteSlot, TicketGuard},
    },
    async_channel::{Receiver, Sender, bounded},
    clock::{Instant, SharedClock},
    mesh::{AdoptMsg, AskMsg, LinkMsg, MeshNode, TicketNo},
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

/// Most home VMs that are tried for one request.
const MAX_HOMES: u32 = 4;

/// VMs by preference as home of each model, by availability zone. The first that is reachable is
/// home.
pub(crate) type HomeRankings = BTreeMap<(ZoneId, ModelId), Vec<VmId>>;

/// A home VM's response to a request for a slot.
enum HomeReply {
    Grant(EndpointId, SocketAddr),
    Refuse(Refusal),
    /// No response: the home VM is unreachable, has restarted or is leaving.
    Lost,
}

/// Outcome of requesting a slot from a home VM.
enum SlotOutcome {
    Granted(SlotLease),
    Refused(Refusal),
    Lost,
}

struct PendingRequest {
    home: VmId,
    reply: Sender<HomeReply>,
}

/// A running request that holds a slot leased from another VM.
struct RunningRequest {
    request: SlotRequest,
    endpoint: EndpointId,
    zone: ZoneId,
}

/// Client side of slot leases. Lock order: `homes`, then `pending`, then `running`; each is
/// released before messages are sent.
pub(crate) struct LeaseClient {
    zone: ZoneId,
    node: Arc<MeshNode>,
    scheduler: Arc<Scheduler>,
    server: Arc<LeaseServer>,
    sink: Arc<dyn PeerSink>,
    clock: SharedClock,
    homes: RwLock<HomeRankings>,
    pending: Mutex<HashMap<TicketNo, PendingRequest>>,
    running: Mutex<HashMap<TicketNo, RunningRequest>>,
    last_ticket: AtomicU64,
}

impl LeaseClient {
    pub(crate) fn new(
        zone: ZoneId,
        node: Arc<MeshNode>,
        scheduler: Arc<Scheduler>,
        server: Arc<LeaseServer>,
        sink: Arc<dyn PeerSink>,
        clock: SharedClock,
    ) -> Arc<Self> {
        Arc::new(Self {
            zone,
            node,
            scheduler,
            server,
            sink,
            clock,
            homes: RwLock::default(),
            pending: Mutex::default(),
            running: Mutex::default(),
            last_ticket: AtomicU64::new(0),
        })
    }

    /// Replaces the home rankings by those of a new view.
    pub(crate) fn set_homes(&self, homes: HomeRankings) {
        *self.homes.write() = homes;
    }

    /// The home VM of a model in `zone`, if any candidate is reachable.
    fn home_in_zone(&self, zone: &ZoneId, serves: &ModelId) -> Option<VmId> {
        let homes = self.homes.read();
        let ranked = homes.get(&(zone.clone(), serves.clone()))?;
        ranked.iter().find(|vm| self.node.is_usable(vm)).cloned()
    }

    /// The home VMs of a model in the other availability zones that have endpoints of it.
    fn other_homes(&self, serves: &ModelId) -> BTreeMap<ZoneId, VmId> {
        let homes = self.homes.read();
        let others = homes
            .iter()
            .filter(|((zone, s), _)| *zone != self.zone && s == serves);
        let home = |((zone, _), ranked): (&(ZoneId, ModelId), &Vec<VmId>)| {
            let vm = ranked.iter().find(|vm| self.node.is_usable(vm))?;
            Some((zone.clone(), vm.clone()))
        };
        others.filter_map(home).collect()
    }

    /// The home VM of a model in this availability zone; this VM if no candidate is reachable.
    fn local_home(&self, serves: &ModelId) -> VmId {
        self.home_in_zone(&self.zone, serves)
            .unwrap_or_else(|| self.node.vm().clone())
    }

    /// The current home VM of a model in any availability zone, if one is reachable.
    pub(super) fn current_home(&self, zone: &ZoneId, serves: &ModelId) -> Option<VmId> {
        if *zone == self.zone {
            return Some(self.local_home(serves));
        }
        self.home_in_zone(zone, serves)
    }

    /// Whether this VM is home to a model.
    pub(crate) fn is_home(&self, serves: &ModelId) -> bool {
        self.local_home(serves) == *self.node.vm()
    }

    /// Acquires a slot in this availability zone or, if it has none, in another one that has free
    /// slots.
    async fn acquire_in_any_zone(
        self: &Arc<Self>,
        request: SlotRequest,
    ) -> Result<SlotLease, Refusal> {
        if self.should_spill(&request)
            && let Some(lease) = self.acquire_in_other_zone(&request).await
        {
            return Ok(lease);
        }
        let refusal = match self.acquire_in_zone(request.clone()).await {
            Ok(lease) => return Ok(lease),
            Err(refusal) => refusal,
        };
        match refusal.reason {
            Reason::Overloaded => self.acquire_in_other_zone(&request).await.ok_or(refusal),
            Reason::Unavailable => self.wait_in_other_zone(request, refusal).await,
            _ => Err(refusal),
        }
    }

    /// Whether to try another availability zone first, because requests here wait and no slot is
    /// free. Only every second request spills, at random: all entries see the same figures, and
    /// would otherwise all spill at once.
    fn should_spill(&self, request: &SlotRequest) -> bool {
        let full = self
            .node
            .headroom()
            .is_full(self.clock.now(), &self.zone, &request.serves);
        full && fastrand::bool()
    }

    async fn acquire_in_other_zone(self: &Arc<Self>, request: &SlotRequest) -> Option<SlotLease> {
        let best =
            self.node
                .headroom()
                .zone_with_most_free(self.clock.now(), &self.zone, &request.serves);
        let zone = best?;
        let home = self.home_in_zone(&zone, &request.serves)?;
        if home == *self.node.vm() {
            return None;
        }
        metrics::counter!("celerystage_spilled_total").increment(1);
        match self.request_from_home(request, zone, home).await {
            SlotOutcome::Granted(lease) => Some(lease),
            SlotOutcome::Refused(_) | SlotOutcome::Lost => None,
        }
    }

    /// Waits for a slot in another availability zone, as this one has no endpoint. Ends with `refusal` if no
    /// other one has.
    async fn wait_in_other_zone(
        self: &Arc<Self>,
        mut request: SlotRequest,
        refusal: Refusal,
    ) -> Result<SlotLease, Refusal> {
        for _ in 0..MAX_HOMES {
            let (now, mut homes) = (self.clock.now(), self.other_homes(&request.serves));
            let zone = {
                let headroom = self.node.headroom();
                headroom
                    .best_of(now, &request.serves, homes.keys())
                    .cloned()
            };
            let Some((zone, home)) = zone.and_then(|z| homes.remove_entry(&z)) else {
                break;
            };
            metrics::counter!("celerystage_spilled_total").increment(1);
            match self.request_from_home(&request, zone, home).await {
                SlotOutcome::Granted(lease) => return Ok(lease),
                SlotOutcome::Refused(refusal) => return Err(refusal),
                SlotOutcome::Lost => {
                    metrics::counter!("celerystage_homes_lost_total").increment(1);
                    request.resumed = true;
                }
            }
        }
        Err(refusal)
    }

    async fn acquire_in_zone(
        self: &Arc<Self>,
        mut request: SlotRequest,
    ) -> Result<SlotLease, Refusal> {
        for _ in 0..MAX_HOMES {
            let home = self.local_home(&request.serves);
            if home == *self.node.vm() {
                return self.scheduler.wait_for_slot(request).await;
            }
            match self
                .request_from_home(&request, self.zone.clone(), home)
                .await
            {
                SlotOutcome::Granted(lease) => return Ok(lease),
                SlotOutcome::Refused(refusal) if refusal.reason == Reason::Unavailable => {
                    return self.scheduler.wait_for_slot(request).await;
                }
                SlotOutcome::Refused(refusal) => return Err(refusal),
                SlotOutcome::Lost => {
                    metrics::counter!("celerystage_homes_lost_total").increment(1);
                    request.resumed = true;
                }
            }
        }
        self.scheduler.wait_for_slot(request).await
    }

    async fn request_from_home(
        self: &Arc<Self>,
        request: &SlotRequest,
        zone: ZoneId,
        home: VmId,
    ) -> SlotOutcome {
        let (ticket, receiver) = self.register_pending(&home);
        let guard = TicketGuard {
            client: self.clone(),
            ticket,
            zone,
            home: home.clone(),
        };
        self.sink
            .queue(&home, LinkMsg::Ask(self.ask_msg(ticket, request)));
        match receiver.recv().await.unwrap_or(HomeReply::Lost) {
            HomeReply::Grant(endpoint, addr) => {
                SlotOutcome::Granted(self.lease(guard, request, endpoint, addr))
            }
            HomeReply::Refuse(refusal) => SlotOutcome::Refused(refusal),
            HomeReply::Lost => SlotOutcome::Lost,
        }
    }

    fn register_pending(&self, home: &VmId) -> (TicketNo, Receiver<HomeReply>) {
        let ticket = self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1;
        let (reply, receiver) = bounded(1);
        let pending = PendingRequest {
            home: home.clone(),
            reply,
        };
        self.pending.lock().insert(ticket, pending);
        (ticket, receiver)
    }

    fn ask_msg(&self, ticket: TicketNo, request: &SlotRequest) -> AskMsg {
        let now = self.clock.now();
        AskMsg {
            ticket,
            serves: request.serves.clone(),
            org: request.org.clone(),
            weight: request.weight,
            class: request.class.clone(),
            tier: request.tier,
            waited: now.since(request.arrived),
            remaining: request.deadline.since(now),
            prompt_tokens: request.prompt_tokens,
            requirements: request.requirements.clone(),
            resumed: request.resumed,
        }
    }

    fn lease(
        self: &Arc<Self>,
        guard: TicketGuard,
        request: &SlotRequest,
        endpoint: EndpointId,
        addr: SocketAddr,
    ) -> SlotLease {
        let running = RunningRequest {
            request: request.clone(),
            endpoint: endpoint.clone(),
            zone: guard.zone.clone(),
        };
        self.running.lock().insert(guard.ticket, running);
        let slot = RemoteSlot::new(guard, request.serves.clone());
        SlotLease::new(endpoint, addr, Box::new(slot))
    }

    /// The current time.
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Cancels a request for a slot if it is still pending.
    pub(super) fn cancel(&self, ticket: TicketNo, home: &VmId) {
        if self.pending.lock().remove(&ticket).is_some() {
            self.sink.queue(home, LinkMsg::Cancel(ticket));
        }
    }

    /// Removes a running request that has ended.
    pub(super) fn remove_running(&self, ticket: TicketNo) {
        self.running.lock().remove(&ticket);
    }

    /// Handles a message from a home VM.
    pub(crate) fn handle(&self, from: &VmId, msg: LinkMsg) {
        match msg {
            LinkMsg::Grant(ticket, endpoint, addr) => {
                self.handle_grant(from, ticket, endpoint, addr);
            }
            LinkMsg::Refuse(ticket, refusal) => {
                self.resolve(ticket, HomeReply::Refuse(refusal));
            }
            LinkMsg::Moved(ticket) => {
                self.resolve(ticket, HomeReply::Lost);
            }
            LinkMsg::Unknown(tickets) => {
                self.fail_over_unknown(from, &tickets);
                self.send_adoptions(from, &tickets);
            }
            LinkMsg::Ask(_)
            | LinkMsg::Cancel(_)
            | LinkMsg::Progress(_)
            | LinkMsg::Done(..)
            | LinkMsg::Held(_)
            | LinkMsg::Adopt(_) => {}
        }
    }

    fn handle_grant(&self, from: &VmId, ticket: TicketNo, endpoint: EndpointId, addr: SocketAddr) {
        let resolved = self.resolve(ticket, HomeReply::Grant(endpoint, addr));
        if !resolved && !self.running.lock().contains_key(&ticket) {
            self.sink
                .queue(from, LinkMsg::Done(ticket, RequestOutcome::Cancelled));
        }
    }

    /// Passes a reply to its pending request. Returns `false` if there is none.
    fn resolve(&self, ticket: TicketNo, reply: HomeReply) -> bool {
        let pending = self.pending.lock().remove(&ticket);
        pending.is_some_and(|p| p.reply.try_send(reply).is_ok())
    }

    /// Describes running requests to a scheduler that doesn't know their tickets, so that it adopts
    /// them.
    fn send_adoptions(&self, to: &VmId, tickets: &[TicketNo]) {
        let running = self.running.lock();
        let found = tickets.iter().filter_map(|t| Some((*t, running.get(t)?)));
        let msgs: Vec<LinkMsg> = found.map(|(t, r)| LinkMsg::Adopt(r.adopt_msg(t))).collect();
        drop(running);
        for msg in msgs {
            self.send(to, msg);
        }
    }

    /// Sends to another VM, or directly to this VM's own lease server.
    pub(super) fn send(&self, to: &VmId, msg: LinkMsg) {
        if to == self.node.vm() {
            self.server.handle(to, msg);
        } else {
            self.sink.queue(to, msg);
        }
    }

    /// Sends the tickets of running requests to the VMs that are now home to their models, and those of
    /// waiting requests to the VMs at which they wait, which tell the ones that they don't know. Suspected
    /// VMs get a message too, to find out whether they are reachable again.
    pub(crate) fn send_heartbeats(&self) {
        let mut lists: BTreeMap<VmId, Vec<TicketNo>> = BTreeMap::new();
        for (ticket, pending) in self.pending.lock().iter() {
            let list = lists.entry(pending.home.clone()).or_default();
            list.push(*ticket);
        }
        for (ticket, zone, serves) in self.running_places() {
            if let Some(home) = self.current_home(&zone, &serves) {
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

    fn running_places(&self) -> Vec<(TicketNo, ZoneId, ModelId)> {
        let running = self.running.lock();
        let place =
            |(t, r): (&TicketNo, &RunningRequest)| (*t, r.zone.clone(), r.request.serves.clone());
        running.iter().map(place).collect()
    }

    /// Makes requests that wait at `home` without its knowledge try again: its reply was lost, or it has
    /// restarted.
    fn fail_over_unknown(&self, home: &VmId, tickets: &[TicketNo]) {
        for ticket in tickets {
            let pending = self.pending.lock();
            let waits = pending.get(ticket).is_some_and(|p| p.home == *home);
            drop(pending);
            if waits {
                log::info!(ticket = ticket, home:% = home; "request for a slot unknown at its home");
                self.resolve(*ticket, HomeReply::Lost);
            }
        }
    }

    /// Makes the requests that wait at `home` try another VM.
    fn fail_over(&self, home: &VmId) {
        let mut pending = self.pending.lock();
        let tickets: Vec<TicketNo> = pending
            .iter()
            .filter(|(_, p)| p.home == *home)
            .map(|(t, _)| *t)
            .collect();
        let lost: Vec<PendingRequest> = tickets.iter().filter_map(|t| pending.remove(t)).collect();
        drop(pending);
        for p in lost {
            let _ = p.reply.try_send(HomeReply::Lost);
        }
    }
}

impl RunningRequest {
    fn adopt_msg(&self, ticket: TicketNo) -> AdoptMsg {
        AdoptMsg {
            ticket,
            serves: self.request.serves.clone(),
            endpoint: self.endpoint.clone(),
            org: self.request.org.clone(),
            weight: self.request.weight,
            class: self.request.class.clone(),
        }
    }
}

impl DeliveryObserver for LeaseClient {
    fn undelivered(&self, to: &VmId, msgs: &[LinkMsg]) {
        self.fail_over(to);
        self.server.undelivered(to, msgs);
    }

    fn restarted(&self, vm: &VmId) {
        self.fail_over(vm);
        self.server.forget_vm(vm);
    }
}

impl Dispatcher for Arc<LeaseClient> {
    fn acquire(&self, request: SlotRequest) -> AcquireFuture<'_> {
        Box::pin(self.acquire_in_any_zone(request))
    }
}
