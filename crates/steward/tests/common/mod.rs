//! A zone with real processes whose pool is filled by orders.

#![allow(dead_code)]

use {
    conf::{Item, PoolBounds},
    coord::{LeaseRecord, LeaseStep},
    eyre::{Result, eyre},
    harness::{Cluster, ClusterSpec, ClusterZone, demo_config, wait_until},
    ports::{Page, Record as LogRecord},
    rustix::process::Signal,
    standin::platform::{PlatformCommand, PlatformFaults, ReceivedCalls, ReceivedOrder},
    std::collections::{BTreeMap, BTreeSet},
    types::{Epoch, VmId},
};

/// Endpoints at the start, fewer than the pool requires.
pub(crate) const INITIAL_ENDPOINTS: usize = 1;
/// Endpoints that the pool requires.
pub(crate) const POOL_SIZE: u32 = 6;
/// Lease term in these tests, in milliseconds.
pub(crate) const TERM_MS: u64 = 2_000;
/// Longest time of an order in flight in these tests, in milliseconds.
const FLIGHT_MS: u64 = 1_000;

/// Additional settings of the stewards.
fn steward_settings(term_ms: u64) -> String {
    format!(
        "leases: {{term_ms: {term_ms}, early_ms: 300, flight_ms: {FLIGHT_MS}, spread_ms: 0}}\n\
         poll_ms: 60000\n\
         fleet: {{round_ms: 50, cooldown_ms: 100, step: 5, start_ms: 60000}}\n"
    )
}

pub(crate) struct TestZone {
    pub(crate) cluster: Cluster,
}

impl TestZone {
    /// Starts `vms` VMs in one zone; no pool is configured yet.
    pub(crate) fn start(vms: usize, term_ms: u64) -> Result<Self> {
        Self::start_with(vms, term_ms, &[])
    }

    /// Like [`TestZone::start`], with additional arguments for the engines.
    pub(crate) fn start_with(vms: usize, term_ms: u64, engine: &[&str]) -> Result<Self> {
        let zone = ClusterZone {
            zone: "ernakulam".parse()?,
            vms,
            engines: INITIAL_ENDPOINTS,
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

    /// Publishes a pool of [`POOL_SIZE`] endpoints, and gives the platform enough addresses for
    /// them.
    pub(crate) fn request_endpoints(&self) -> Result<()> {
        self.publish_pool(POOL_SIZE, POOL_SIZE)
    }

    /// Publishes a pool with these bounds, and gives the platform enough addresses for it.
    pub(crate) fn publish_pool(&self, min: u32, max: u32) -> Result<()> {
        let (zone, engine) = &self.cluster.endpoints[0];
        let stock = vec![engine.addr; 2 * POOL_SIZE as usize];
        self.cluster
            .control_platform(&PlatformCommand::Stock(zone.clone(), stock))?;
        self.cluster.publish(vec![Item::Pool(PoolBounds {
            serves: engine.serves.clone(),
            zone: zone.clone(),
            min,
            max,
            cheap: 0.0,
            spare: 0,
        })])
    }

    pub(crate) fn inject_fault(&self, fault: PlatformFaults) -> Result<()> {
        self.cluster
            .control_platform(&PlatformCommand::Fault(fault))
    }

    pub(crate) fn orders(&self) -> Result<Vec<ReceivedOrder>> {
        let addr = self.cluster.platform_addr;
        let record: ReceivedCalls = self.cluster.http.get(addr, "/control/record")?;
        Ok(record.orders)
    }

    pub(crate) fn wait_orders(&self, what: &str, count: usize) -> Result<()> {
        wait_until(what, || {
            self.orders().is_ok_and(|o| distinct_orders(&o) >= count)
        })
    }

    /// Waits until the pool has been filled by orders.
    pub(crate) fn wait_filled(&self) -> Result<()> {
        self.wait_orders("the pool is filled", POOL_SIZE as usize - INITIAL_ENDPOINTS)
    }

    /// Keeps the zone running until three more lease records are appended, so that a late order
    /// would be seen.
    pub(crate) fn keep_running(&self) -> Result<()> {
        let before = self.leases()?.len();
        wait_until("three more lease records", || {
            self.leases().is_ok_and(|l| l.len() >= before + 3)
        })
    }

    /// Returns the records of the orders lease, with the log records that hold them.
    pub(crate) fn leases(&self) -> Result<Vec<(LogRecord, LeaseRecord)>> {
        let addr = self.cluster.platform_addr;
        let page: Page = self.cluster.http.get(addr, "/log/leases?from=0")?;
        let parse = |r: LogRecord| {
            let lease: LeaseRecord = serde_json::from_str(&r.data).ok()?;
            (lease.lease.role == "orders").then_some((r, lease))
        };
        Ok(page.records.into_iter().filter_map(parse).collect())
    }

    /// Waits until a VM has renewed the orders lease, and returns that VM.
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

    /// Waits until a VM other than `old` has renewed the lease, and returns when the platform
    /// appended the claim that it renewed, in milliseconds since the Unix epoch.
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

/// Number of orders with different ids.
pub(crate) fn distinct_orders(orders: &[ReceivedOrder]) -> usize {
    let ids: BTreeSet<_> = orders.iter().map(|o| o.order.id).collect();
    ids.len()
}

/// Checks that fencing tokens never decrease in order of arrival, that each belongs to one sender,
/// and that exactly the required endpoints were ordered.
pub(crate) fn check_orders(orders: &[ReceivedOrder]) {
    let mut senders: BTreeMap<Epoch, &VmId> = BTreeMap::new();
    let mut last = Epoch(0);
    for seen in orders {
        let order = &seen.order;
        assert!(
            order.epoch >= last,
            "order of {} arrived late: {orders:#?}",
            order.sender
        );
        last = order.epoch;
        let sender = senders.entry(order.epoch).or_insert(&order.sender);
        assert_eq!(**sender, order.sender);
    }
    assert_eq!(
        distinct_orders(orders),
        POOL_SIZE as usize - INITIAL_ENDPOINTS
    );
}
