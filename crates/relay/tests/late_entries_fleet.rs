//! Late heartbeats in fleets: endpoints that leave, start again and lose their entries, readers that
//! change, and outages of the platform, at random.

mod common;

use {
    clock::Instant,
    common::endpoint,
    relay::{Endpoint, Registry, RegistryChange},
    std::collections::BTreeMap,
    types::EndpointId,
};

/// Step of the simulation, interval of heartbeats and time without one after which the platform
/// removes an entry, in milliseconds.
const STEP_MS: u64 = 100;
const BEAT_MS: u64 = 1_200;
const EXPIRY_MS: u64 = 3 * BEAT_MS;
/// Delay of a call that is done late.
const LATE_MS: std::ops::Range<u64> = 1_000..6_500;
/// Time without a fault of the platform after which an acknowledged removal binds all VMs, and the
/// time that they have.
const CALM_MS: u64 = 3_000;
const DRAIN_MS: u64 = 2_000;
/// Time in which a running endpoint that has been listed without a gap is used by all VMs: a read,
/// and a second heartbeat where the VM that reads has changed.
const LISTED_MS: u64 = 2 * BEAT_MS + 2_000;
const RUN_MS: u64 = 60_000;
const ENDPOINTS: usize = 6;

fn at(ms: u64) -> Instant {
    Instant::from_nanos((1_000_000 + ms) * 1_000_000)
}

/// An endpoint process.
struct Server {
    id: EndpointId,
    born: u64,
    sequence: u64,
    next_beat: u64,
    /// Its newest heartbeat that was done without delay.
    written: u64,
    /// When its removal was acknowledged, if it has left.
    left: Option<u64>,
    /// Whether it left with a late heartbeat that is newer than all that were done: no number tells
    /// that from one of a running endpoint.
    untold: bool,
    /// Whether its heartbeats reach the platform, and until when not.
    cut_until: u64,
    /// Since when it has been listed without a gap, with an entry of its own start.
    listed_since: Option<u64>,
}

/// The platform's log of entries.
#[derive(Default)]
struct Store {
    log: Vec<(EndpointId, Option<Endpoint>)>,
    newest: BTreeMap<EndpointId, (Endpoint, u64)>,
    /// Writes that are done later.
    late: Vec<(u64, Endpoint)>,
    down_until: u64,
}

impl Store {
    fn write(&mut self, now: u64, entry: Endpoint) {
        self.newest.insert(entry.id.clone(), (entry.clone(), now));
        self.log.push((entry.id.clone(), Some(entry)));
    }

    fn remove(&mut self, id: &EndpointId) {
        if self.newest.remove(id).is_some() {
            self.log.push((id.clone(), None));
        }
    }

    fn step(&mut self, now: u64) {
        if now < self.down_until {
            return;
        }
        let (due, late) = self.late.drain(..).partition(|(at, _)| *at <= now);
        self.late = late;
        due.into_iter().for_each(|(_, e)| self.write(now, e));
        let expired = self
            .newest
            .iter()
            .filter(|(_, (_, written))| now - written > EXPIRY_MS);
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| self.remove(id));
    }
}

/// A VM; the first of a zone reads the platform, the others apply what it has applied.
#[derive(Default)]
struct Vm {
    registry: Registry,
    read: Option<usize>,
}

impl Vm {
    /// Reads the log, or a snapshot; returns the changes for the VMs that follow.
    fn read(&mut self, now: u64, store: &Store) -> Vec<(EndpointId, Option<Endpoint>)> {
        let t = at(now);
        if now < store.down_until {
            self.registry.read_failed(t);
            return Vec::new();
        }
        self.registry.read_succeeded(t, false);
        let mut told = Vec::new();
        let mut records: Vec<(EndpointId, Option<Endpoint>)> = Vec::new();
        match self.read {
            Some(from) => records.extend(store.log[from..].iter().cloned()),
            None => {
                let newest = store.newest.iter();
                records.extend(newest.map(|(id, (e, _))| (id.clone(), Some(e.clone()))));
                let listed: Vec<_> = store.newest.keys().cloned().collect();
                for id in self.registry.absent_from(&listed) {
                    let change = self.registry.remove_absent(t, &id);
                    self.tell(id, &change, &mut told);
                }
            }
        }
        self.read = Some(store.log.len());
        for (id, entry) in records {
            let change = match entry {
                Some(entry) => self.registry.upsert(t, entry),
                None => self.registry.remove(t, &id),
            };
            self.tell(id, &change, &mut told);
        }
        self.registry.read_applied();
        told
    }

    fn sweep(&mut self, now: u64) -> Vec<(EndpointId, Option<Endpoint>)> {
        let mut told = Vec::new();
        let expired = self.registry.expire(at(now)).into_iter();
        told.extend(expired.map(|id| (id, None)));
        for (id, change) in self.registry.list_confirmed(at(now)) {
            self.tell(id, &change, &mut told);
        }
        self.registry.expire_notices(at(now));
        told
    }

    fn tell(
        &self,
        id: EndpointId,
        change: &RegistryChange,
        told: &mut Vec<(EndpointId, Option<Endpoint>)>,
    ) {
        match change {
            RegistryChange::Added | RegistryChange::Changed | RegistryChange::Leaving => {
                let entry = self.registry.get(&id).cloned().unwrap();
                let sequence = None;
                told.push((id, Some(Endpoint { sequence, ..entry })));
            }
            RegistryChange::Removed => told.push((id, None)),
            RegistryChange::None | RegistryChange::Lapsed | RegistryChange::Outdated => {}
        }
    }

    /// Applies the whole list of a reader that this VM hasn't followed before.
    fn apply_all(&mut self, now: u64, reader: &Registry) {
        let all: Vec<_> = reader.endpoints().cloned().collect();
        let listed: Vec<_> = all.iter().map(|e| e.id.clone()).collect();
        for entry in all {
            let sequence = None;
            self.registry
                .upsert(at(now), Endpoint { sequence, ..entry });
        }
        for id in self.registry.absent_from(&listed) {
            self.registry.remove_now(at(now), &id);
        }
    }

    fn apply(&mut self, now: u64, told: &[(EndpointId, Option<Endpoint>)]) {
        for (id, entry) in told {
            match entry {
                Some(entry) => drop(self.registry.upsert(at(now), entry.clone())),
                None => drop(self.registry.remove_now(at(now), id)),
            }
        }
    }
}

/// Late heartbeats, departures, and those of them that no number tells.
type Counts = [usize; 3];

struct Fleet {
    rng: fastrand::Rng,
    store: Store,
    servers: Vec<Server>,
    zones: Vec<Vec<Vm>>,
    /// When the platform last had a fault.
    fault: u64,
    late_done: usize,
    departures: usize,
    untold: usize,
}

impl Fleet {
    fn new(seed: u64, vms: usize, zones: usize) -> Self {
        let servers = (0..ENDPOINTS).map(|n| Server {
            id: format!("e{n}").parse().unwrap(),
            born: 1_000 + n as u64,
            sequence: 0,
            next_beat: 0,
            written: 0,
            left: None,
            untold: false,
            cut_until: 0,
            listed_since: None,
        });
        let zone = |z| {
            (0..(vms + zones - 1 - z) / zones)
                .map(|_| Vm::default())
                .collect()
        };
        Self {
            rng: fastrand::Rng::with_seed(seed),
            store: Store::default(),
            servers: servers.collect(),
            zones: (0..zones).map(zone).collect(),
            fault: 0,
            late_done: 0,
            departures: 0,
            untold: 0,
        }
    }

    fn disturb(&mut self, now: u64) {
        let dice = self.rng.u32(..1_000);
        if dice < 4 && now > self.store.down_until + 12_000 {
            self.store.down_until = now + self.rng.u64(500..8_000);
        }
        if now < self.store.down_until {
            self.fault = now;
        }
        let server = self.rng.usize(..ENDPOINTS);
        let server = &mut self.servers[server];
        match self.rng.u32(..1_000) {
            0..6 => server.cut_until = now + self.rng.u64(1_000..8_000),
            // A planned departure, acknowledged by a platform without faults.
            6..14 if server.left.is_none() && now >= self.fault + CALM_MS => {
                self.store.remove(&server.id);
                server.left = Some(now);
                let late = self.store.late.iter().map(|(_, e)| e);
                let mut own = late.filter(|e| e.id == server.id && e.born == server.born);
                server.untold = own.any(|e| e.sequence > Some(server.written));
                self.departures += 1;
                self.untold += usize::from(server.untold);
            }
            14..40 if server.left.is_some_and(|left| now > left + 300) => {
                *server = Server {
                    id: server.id.clone(),
                    born: server.born + 1 + now,
                    sequence: 0,
                    next_beat: now,
                    written: 0,
                    left: None,
                    untold: false,
                    cut_until: 0,
                    listed_since: None,
                };
            }
            _ => {}
        }
        // The VM that reads for a zone ends, or is rejected for a time.
        if self.rng.u32(..1_000) < 4 {
            let zone = self.rng.usize(..self.zones.len());
            let zone = &mut self.zones[zone];
            zone[0].read = None;
            zone.rotate_left(1);
            zone[0].read = None;
        }
    }

    fn beat(&mut self, now: u64) {
        for server in &mut self.servers {
            if server.left.is_some() || now < server.next_beat {
                continue;
            }
            server.next_beat = now + BEAT_MS - 100 + self.rng.u64(..200);
            server.sequence += 1;
            let entry = Endpoint {
                id: server.id.clone(),
                born: server.born,
                sequence: Some(server.sequence),
                ..endpoint("e", "127.0.0.1:1".parse().unwrap())
            };
            if now < self.store.down_until || now < server.cut_until {
                continue;
            }
            if self.rng.u32(..100) < 6 {
                self.fault = now;
                self.store.late.push((now + self.rng.u64(LATE_MS), entry));
                self.late_done += 1;
            } else {
                self.store.write(now, entry);
                server.written = server.sequence;
            }
        }
    }

    fn check(&mut self, now: u64, seed: u64) {
        for server in &mut self.servers {
            let entry = self.store.newest.get(&server.id);
            let own = entry.is_some_and(|(e, _)| e.born == server.born);
            // A late heartbeat in the store isn't a word of the endpoint that runs now.
            let fresh = entry.is_some_and(|(e, _)| e.sequence == Some(server.sequence));
            let listed = own && now >= self.store.down_until && server.left.is_none();
            server.listed_since = match server.listed_since {
                Some(since) if listed => Some(since),
                _ => (listed && fresh).then_some(now),
            };
            let uses = |vm: &Vm| {
                let accepted = vm.registry.accepting(&server.id);
                accepted.is_some_and(|e| e.born == server.born)
            };
            let mut vms = self.zones.iter().flatten();
            // No VM can know of a removal before it can read the platform.
            let readable = self.store.down_until;
            let due = server.left.map(|left| left.max(readable) + DRAIN_MS);
            if due.is_some_and(|due| now > due) && !server.untold {
                assert!(!vms.any(uses), "seed {seed}: {} has left, {now}", server.id);
            } else if server
                .listed_since
                .is_some_and(|since| now > since + LISTED_MS)
            {
                assert!(vms.all(uses), "seed {seed}: {} is listed, {now}", server.id);
            }
        }
    }

    fn run(mut self, seed: u64) -> Counts {
        for now in (0..RUN_MS).step_by(STEP_MS as usize) {
            self.disturb(now);
            self.store.step(now);
            self.beat(now);
            for zone in &mut self.zones {
                let (reader, others) = zone.split_first_mut().unwrap();
                // A read every half a second, and the sweep between.
                let is_new = reader.read.is_none();
                let told = if now % 500 == 0 {
                    reader.read(now, &self.store)
                } else {
                    reader.sweep(now)
                };
                let is_new = is_new && reader.read.is_some();
                for vm in others {
                    if is_new {
                        vm.apply_all(now, &reader.registry);
                    } else {
                        vm.apply(now, &told);
                    }
                    vm.sweep(now);
                }
            }
            self.check(now, seed);
        }
        [self.late_done, self.departures, self.untold]
    }
}

fn run_seeds(vms: usize, zones: usize, seeds: std::ops::Range<u64>) {
    let counts = seeds.map(|s| Fleet::new(s, vms, zones).run(s));
    let sums = counts.reduce(|a, b| std::array::from_fn(|n| a[n] + b[n]));
    let [late, departures, untold] = sums.unwrap();
    println!("{late} late heartbeats, {departures} departures, {untold} of them can't be told");
    assert!(late > 100 && departures > 20);
    assert!(untold * 20 < departures);
}

#[test]
fn late_heartbeats_list_no_endpoint_that_has_left_with_8_vms() {
    run_seeds(8, 3, 0..3_000);
}

#[test]
fn late_heartbeats_list_no_endpoint_that_has_left_with_60_vms() {
    run_seeds(60, 6, 0..200);
}

#[test]
fn late_heartbeats_list_no_endpoint_that_has_left_with_300_vms() {
    run_seeds(300, 13, 0..40);
}
