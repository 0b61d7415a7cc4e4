//! A zone whose pool is to be filled by orders.

#![allow(dead_code)]

use {
    conf::{Item, Pool},
    coord::{LeaseRecord, LeaseStep},
    eyre::{Result, eyre},
    harness::{Cluster, ClusterSpec, ClusterZone, demo_config, wait_until},
    ports::{Page, Record as LogRecord},
    rustix::process::Signal,
    standin::platform::{PlatformCommand, PlatformFaults, ReceivedCalls, ReceivedOrder},
    std::collections::{BTreeMap, BTreeSet},
    types::{Epoch, VmId},
};

/// Endpoints at the start; the pool wants more.
pub(crate) const ENGINES: usize = 1;
/// Endpoints that the pool wants.
pub(crate) const WANTED: u32 = 6;
/// Lapse of a lease and longest order in these tests, in milliseconds.
pub(crate) const TERM_MS: u64 = 2_000;
const FLIGHT_MS: u64 = 1_000;

/// Further settings of the stewards.
fn steward_settings(term_ms: u64) -> String {
    format!(
        "leases: {{term_ms: {term_ms}, early_ms: 300, flight_ms: {FLIGHT_MS}, spread_ms: 0}}\n\
         poll_ms: 60000\n\
         fleet: {{round_ms: 50, cooldown_ms: 100, step: 5, start_ms: 60000}}\n"
    )
}

pub(crate) struct Zone {
    pub(crate) cluster: Cluster,
}

impl Zone {
    /// Starts `vms` VMs in one zone with a pool that wants nothing yet.
    pub(crate) fn start(vms: usize, term_ms: u64) -> Result<Self> {
        Self::start_with(vms, term_ms, &[])
    }

    /// As [`Zone::start`], with further arguments of the engines.
    pub(crate) fn start_with(vms: usize, term_ms: u64, engine: &[&str]) -> Result<Self> {
        let zone = ClusterZone {
            zone: "ernakulam".parse()?,
            vms,
            engines: ENGINES,
            cheap: 0,
            services: 0,
        };
        let shape = ClusterSpec {
            zones: vec![zone],
            model: "surveyor-llm".parse()?,
            service: "permit-desk".parse()?,
            items: demo_config()?,
            engine_args: engine.iter().map(|a| (*a).to_owned()).collect(),
            entry_settings: String::new(),
            steward_settings: steward_settings(term_ms),
        };
        Ok(Self {
            cluster: Cluster::start(shape)?,
        })
    }

    /// Publishes a pool that wants [`WANTED`] endpoints, with addresses in stock.
    pub(crate) fn want(&self) -> Result<()> {
        self.want_between(WANTED, WANTED)
    }

    /// Publishes a pool, with addresses in stock.
    pub(crate) fn want_between(&self, min: u32, max: u32) -> Result<()> {
        let (zone, engine) = &self.cluster.endpoints[0];
        let stock = vec![engine.addr; 2 * WANTED as usize];
        self.cluster
            .control_platform(&PlatformCommand::Stock(zone.clone(), stock))?;
        self.cluster.publish(vec![Item::Pool(Pool {
            serves: engine.serves.clone(),
            zone: zone.clone(),
            min,
            max,
            cheap: 0.0,
            spare: 0,
        })])
    }

    pub(crate) fn fault(&self, fault: PlatformFaults) -> Result<()> {
        self.cluster
            .control_platform(&PlatformCommand::Fault(fault))
    }

    pub(crate) fn orders(&self) -> Result<Vec<ReceivedOrder>> {
        let addr = self.cluster.platform_addr;
        let record: ReceivedCalls = self.cluster.http.get(addr, "/control/record")?;
        Ok(record.orders)
    }

    pub(crate) fn wait_orders(&self, what: &str, count: usize) -> Result<()> {
        wait_until(what, || self.orders().is_ok_and(|o| distinct(&o) >= count))
    }

    /// Waits until the pool has what it wants.
    pub(crate) fn wait_filled(&self) -> Result<()> {
        self.wait_orders("the pool is filled", WANTED as usize - ENGINES)
    }

    /// Runs on for a while, so that a late order would be seen.
    pub(crate) fn run_on(&self) -> Result<()> {
        let before = self.leases()?.len();
        wait_until("three more lease records", || {
            self.leases().is_ok_and(|l| l.len() >= before + 3)
        })
    }

    /// Lease records of the zone's orders, with what the platform says of them.
    pub(crate) fn leases(&self) -> Result<Vec<(LogRecord, LeaseRecord)>> {
        let addr = self.cluster.platform_addr;
        let page: Page = self.cluster.http.get(addr, "/log/leases?from=0")?;
        let parse = |r: LogRecord| {
            let lease: LeaseRecord = serde_json::from_str(&r.data).ok()?;
            (lease.lease.role == "orders").then_some((r, lease))
        };
        Ok(page.records.into_iter().filter_map(parse).collect())
    }

    /// VM that renews the lease for orders.
    pub(crate) fn holder(&self) -> Result<VmId> {
        let mut found = None;
        wait_until("someone holds the lease", || {
            let renewals = self.leases().unwrap_or_default();
            let last = renewals.into_iter().rev();
            found = last
                .filter(|(_, r)| matches!(r.step, LeaseStep::Renew(_)))
                .map(|(_, r)| r.holder.vm)
                .next();
            found.is_some()
        })?;
        found.ok_or_else(|| eyre!("no holder"))
    }

    /// When the platform took the first claim or renewal of another VM that is valid, counting from
    /// the record at `after`, in milliseconds since the Unix epoch.
    pub(crate) fn next_renewal(&self, old: &VmId) -> Result<u64> {
        let mut found = None;
        wait_until("another VM holds the lease", || {
            let records = self.leases().unwrap_or_default();
            let epochs = records.iter().filter_map(|(_, r)| match r.step {
                LeaseStep::Renew(epoch) if r.holder.vm != *old => Some(epoch),
                _ => None,
            });
            let last = epochs.max();
            found = last.and_then(|epoch| {
                let mut claims = records.iter().filter(|(r, _)| Epoch(r.offset) == epoch);
                claims.next().map(|(r, _)| r.at_ms)
            });
            found.is_some()
        })?;
        found.ok_or_else(|| eyre!("no claim"))
    }

    pub(crate) fn signal(&self, vm: &VmId, signal: Signal) -> Result<()> {
        let mut vms = self.cluster.vms.iter();
        let steward = vms.find(|v| v.vm == *vm).and_then(|v| v.steward.as_ref());
        steward.ok_or_else(|| eyre!("no such VM"))?.signal(signal)
    }
}

/// Orders with different ids.
pub(crate) fn distinct(orders: &[ReceivedOrder]) -> usize {
    let ids: BTreeSet<_> = orders.iter().map(|o| o.order.id).collect();
    ids.len()
}

/// Checks that fencing numbers never go down in order of arrival, that each belongs to one sender, and
/// that nothing was ordered beyond what was wanted.
pub(crate) fn check_orders(orders: &[ReceivedOrder]) {
    let mut senders: BTreeMap<Epoch, &VmId> = BTreeMap::new();
    let mut last = Epoch(0);
    for seen in orders {
        let order = &seen.order;
        assert!(
            order.epoch >= last,
            "order of {} came late: {orders:#?}",
            order.sender
        );
        last = order.epoch;
        let sender = senders.entry(order.epoch).or_insert(&order.sender);
        assert_eq!(**sender, order.sender);
    }
    assert_eq!(distinct(orders), WANTED as usize - ENGINES);
}
