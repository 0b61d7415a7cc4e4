//! The side that schedules: gives slots of this availability zone's endpoints to other entries.
//!
//! An ask is served by the scheduler of the VM that received it and never passed on, so that no loop can
//! form.

use {
    super::{Ask, Lease, Post, Running, Scheduler},
    async_executor::{Executor, Task},
    clock::{Instant, SharedClock},
    mesh::{AdoptMsg, AskMsg, LinkMsg, Node, ProgressMsg, TicketNo},
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    types::VmId,
};

/// Time without a message after which an entry's requests are no longer counted.
const SILENCE: Duration = Duration::from_secs(4);
/// Age from which a slot that its entry does not list is taken back.
const UNLISTED: Duration = Duration::from_millis(1500);

/// What is kept of another entry's request.
enum Slotted {
    /// It waits; dropping the task withdraws it.
    Waiting { _task: Task<()> },
    /// It runs.
    Running { lease: Lease, since: Instant },
}

/// Another entry's requests.
#[derive(Default)]
struct Guest {
    heard: Instant,
    tickets: BTreeMap<TicketNo, Slotted>,
}

/// Schedules for other entries. Lock order: `guests` before the scheduler's groups. Leases are dropped
/// after the lock is released.
pub(crate) struct Home {
    node: Arc<Node>,
    scheduler: Arc<Scheduler>,
    post: Arc<dyn Post>,
    ex: Arc<Executor<'static>>,
    clock: SharedClock,
    guests: Mutex<BTreeMap<VmId, Guest>>,
}

impl Home {
    pub(crate) fn new(
        node: Arc<Node>,
        scheduler: Arc<Scheduler>,
        post: Arc<dyn Post>,
        ex: Arc<Executor<'static>>,
        clock: SharedClock,
    ) -> Arc<Self> {
        Arc::new(Self {
            node,
            scheduler,
            post,
            ex,
            clock,
            guests: Mutex::default(),
        })
    }

    /// Takes in a message from an entry.
    pub(crate) fn take(self: &Arc<Self>, from: &VmId, msg: LinkMsg) {
        self.guests.lock().entry(from.clone()).or_default().heard = self.clock.now();
        match msg {
            LinkMsg::Ask(ask) => self.ask(from, ask),
            LinkMsg::Cancel(ticket) => drop(self.remove(from, ticket)),
            LinkMsg::Progress(progress) => self.progress(from, &progress),
            LinkMsg::Done(ticket, ending) => {
                if let Some(Slotted::Running { lease, .. }) = self.remove(from, ticket) {
                    lease.end(ending);
                }
            }
            LinkMsg::Held(tickets) => self.held(from, tickets),
            LinkMsg::Adopt(adopt) => self.adopt(from, adopt),
            LinkMsg::Grant(..) | LinkMsg::Refuse(..) | LinkMsg::Moved(_) | LinkMsg::Unknown(_) => {}
        }
    }

    fn ask(self: &Arc<Self>, from: &VmId, msg: AskMsg) {
        let ticket = msg.ticket;
        if self.node.is_leaving() {
            self.post.post(from, LinkMsg::Moved(ticket));
            return;
        }
        let mut guests = self.guests.lock();
        let guest = guests.entry(from.clone()).or_default();
        if guest.tickets.contains_key(&ticket) {
            return;
        }
        let (home, vm) = (self.clone(), from.clone());
        let ask = to_ask(msg, self.clock.now());
        let task = self
            .ex
            .spawn(async move { home.wait(vm, ticket, ask).await });
        guest
            .tickets
            .insert(ticket, Slotted::Waiting { _task: task });
    }

    async fn wait(self: Arc<Self>, vm: VmId, ticket: TicketNo, ask: Ask) {
        let decided = self.scheduler.decide(ask).await;
        let since = self.clock.now();
        let mut guests = self.guests.lock();
        let Some(guest) = guests.get_mut(&vm) else {
            return;
        };
        let Some(last) = guest.tickets.remove(&ticket) else {
            return;
        };
        let msg = match decided {
            Ok(lease) => {
                let grant = LinkMsg::Grant(ticket, lease.endpoint.clone(), lease.addr);
                guest
                    .tickets
                    .insert(ticket, Slotted::Running { lease, since });
                grant
            }
            Err(refusal) => LinkMsg::Refuse(ticket, refusal),
        };
        drop(guests);
        self.post.post(&vm, msg);
        drop(last);
    }

    fn remove(&self, from: &VmId, ticket: TicketNo) -> Option<Slotted> {
        self.guests.lock().get_mut(from)?.tickets.remove(&ticket)
    }

    fn progress(&self, from: &VmId, msg: &ProgressMsg) {
        let guests = self.guests.lock();
        let slotted = guests.get(from).and_then(|g| g.tickets.get(&msg.ticket));
        if let Some(Slotted::Running { lease, .. }) = slotted {
            if let Some(first) = msg.first {
                lease.first_token(first);
            }
            lease.progress(msg.tokens, msg.span);
        }
    }

    /// Takes back the slots that an entry no longer lists, and asks for those that are not known here.
    fn held(&self, from: &VmId, tickets: Vec<TicketNo>) {
        let now = self.clock.now();
        let listed: BTreeSet<TicketNo> = tickets.into_iter().collect();
        let mut guests = self.guests.lock();
        let Some(guest) = guests.get_mut(from) else {
            return;
        };
        let unknown: Vec<TicketNo> = listed
            .iter()
            .filter(|t| !guest.tickets.contains_key(t))
            .copied()
            .collect();
        let gone: Vec<TicketNo> = guest
            .tickets
            .iter()
            .filter(|(ticket, slotted)| match slotted {
                Slotted::Running { since, .. } => {
                    !listed.contains(ticket) && now.since(*since) > UNLISTED
                }
                Slotted::Waiting { .. } => false,
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        let taken: Vec<_> = gone
            .iter()
            .filter_map(|t| guest.tickets.remove(t))
            .collect();
        drop(guests);
        drop(taken);
        if !unknown.is_empty() {
            self.post.post(from, LinkMsg::Unknown(unknown));
        }
    }

    fn adopt(&self, from: &VmId, msg: AdoptMsg) {
        let running = Running {
            class: msg.class,
            org: msg.org,
            weight: msg.weight,
        };
        let Some(lease) = self.scheduler.adopt(&msg.serves, &msg.endpoint, running) else {
            return;
        };
        let since = self.clock.now();
        let mut guests = self.guests.lock();
        let guest = guests.entry(from.clone()).or_default();
        let last = guest
            .tickets
            .insert(msg.ticket, Slotted::Running { lease, since });
        drop(guests);
        drop(last);
    }

    /// Forgets a VM whose process was started anew.
    pub(crate) fn forget(&self, vm: &VmId) {
        let guest = self.guests.lock().remove(vm);
        drop(guest);
    }

    /// Takes back slots of which the entry was not told.
    pub(crate) fn undelivered(&self, to: &VmId, msgs: &[LinkMsg]) {
        for msg in msgs {
            if let LinkMsg::Grant(ticket, ..) = msg {
                drop(self.remove(to, *ticket));
            }
        }
    }

    /// Takes back the slots of entries that have been silent for too long.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let mut silent = Vec::new();
        let mut guests = self.guests.lock();
        guests.retain(|vm, guest| {
            let keep = now.since(guest.heard) <= SILENCE;
            if !keep && !guest.tickets.is_empty() {
                log::warn!(vm:% = vm, tickets = guest.tickets.len(); "entry silent, slots taken back");
                silent.push(std::mem::take(&mut guest.tickets));
            }
            keep
        });
        drop(guests);
        drop(silent);
    }

    /// Sends waiting requests elsewhere, before this process stops.
    pub(crate) fn move_out(&self) {
        let mut moved = Vec::new();
        let mut guests = self.guests.lock();
        for (vm, guest) in guests.iter_mut() {
            let waits = |s: &Slotted| matches!(s, Slotted::Waiting { .. });
            let tickets: Vec<TicketNo> = guest
                .tickets
                .iter()
                .filter(|(_, s)| waits(s))
                .map(|(t, _)| *t)
                .collect();
            for ticket in tickets {
                moved.push((vm.clone(), ticket, guest.tickets.remove(&ticket)));
            }
        }
        drop(guests);
        for (vm, ticket, slotted) in moved {
            self.post.post(&vm, LinkMsg::Moved(ticket));
            drop(slotted);
        }
    }
}

fn to_ask(msg: AskMsg, now: Instant) -> Ask {
    Ask {
        serves: msg.serves,
        org: msg.org,
        weight: msg.weight,
        class: msg.class,
        tier: msg.tier,
        arrived: now - msg.waited,
        deadline: now + msg.remaining,
        prompt: msg.prompt,
        need: msg.need,
        resumed: msg.resumed,
    }
}
