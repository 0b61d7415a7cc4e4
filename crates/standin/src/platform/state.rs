//! State of the stand-in platform.

use {
    super::control::{
        PlatformCommand, PlatformFaults, ReceivedCalls, ReceivedOrder, ReceivedReport,
    },
    ports::{
        Endpoint, EndpointState, Order, OrderAction, OrderId, Page, Record as LogRecord, Stream,
        UsageReport, VmList, ZoneEndpoints,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
    },
    types::{EndpointId, ZoneId},
};

/// Most records that one read returns.
const MAX_PAGE_RECORDS: usize = 500;

/// Records of one stream of the log.
#[derive(Default)]
struct StreamLog {
    /// Offset of the oldest record that is retained.
    first: u64,
    retained: VecDeque<LogRecord>,
}

/// Lists, logs, faults and received calls of the platform.
#[derive(Default)]
pub(super) struct State {
    streams: BTreeMap<Stream, StreamLog>,
    vms: VmList,
    zones: BTreeMap<ZoneId, ZoneEndpoints>,
    /// Addresses for the endpoints that orders start.
    stock: BTreeMap<ZoneId, VecDeque<SocketAddr>>,
    cheap_unavailable: bool,
    /// Ids of the orders that were accepted.
    accepted_orders: BTreeSet<OrderId>,
    /// Number of endpoints started.
    started: u64,
    orders: Vec<ReceivedOrder>,
    reports: Vec<ReceivedReport>,
    pub(super) faults: PlatformFaults,
}

impl State {
    /// Appends a record to a stream and returns its offset.
    pub(super) fn append(&mut self, stream: Stream, data: &str, at_ms: u64) -> u64 {
        let log = self.streams.entry(stream).or_default();
        let offset = log.first + log.retained.len() as u64;
        log.retained.push_back(LogRecord {
            offset,
            at_ms,
            data: data.into(),
        });
        offset
    }

    /// Reads a page of a stream from offset `from`.
    pub(super) fn read(&self, stream: Stream, from: u64) -> Page {
        let Some(log) = self.streams.get(&stream) else {
            return Page {
                first: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        let skip = usize::try_from(from.saturating_sub(log.first)).unwrap_or(usize::MAX);
        let page = log
            .retained
            .iter()
            .skip(skip)
            .take(MAX_PAGE_RECORDS)
            .cloned()
            .collect();
        let next = log.first + log.retained.len() as u64;
        Page {
            first: log.first,
            next,
            records: page,
        }
    }

    pub(super) fn vms(&self) -> &VmList {
        &self.vms
    }

    pub(super) fn endpoints(&self) -> Vec<ZoneEndpoints> {
        self.zones.values().cloned().collect()
    }

    /// Executes an order; `false` if it can't be satisfied. An order that repeats the id of an
    /// accepted one has no effect.
    pub(super) fn execute_order(&mut self, order: &Order, at_ms: u64) -> bool {
        let repeated = self.accepted_orders.contains(&order.id);
        self.orders.push(ReceivedOrder {
            at_ms,
            order: order.clone(),
            repeated,
        });
        if repeated {
            return true;
        }
        let accepted = match &order.action {
            OrderAction::Start { serves, cheap } => {
                let (serves, cheap) = (serves.clone(), *cheap);
                self.start_endpoint(&order.zone, serves, cheap)
            }
            OrderAction::Release { endpoint } => {
                self.mark_leaving(std::slice::from_ref(endpoint));
                true
            }
        };
        if accepted {
            self.accepted_orders.insert(order.id);
        }
        accepted
    }

    /// Lists a new endpoint under an address of the stock; `false` if there is none.
    fn start_endpoint(&mut self, zone: &ZoneId, serves: types::ModelId, cheap: bool) -> bool {
        if cheap && self.cheap_unavailable {
            return false;
        }
        let Some(addr) = self.stock.get_mut(zone).and_then(VecDeque::pop_front) else {
            return false;
        };
        self.started += 1;
        let Ok(id) = format!("{serves}-started-{}", self.started).parse() else {
            return false;
        };
        let endpoint = Endpoint {
            id,
            serves,
            cheap,
            addr,
            state: EndpointState::Live,
        };
        let listed = self.zone_mut(zone);
        listed.endpoints.push(endpoint);
        listed.revision += 1;
        true
    }

    fn zone_mut(&mut self, zone: &ZoneId) -> &mut ZoneEndpoints {
        self.zones
            .entry(zone.clone())
            .or_insert_with(|| ZoneEndpoints {
                zone: zone.clone(),
                revision: 0,
                endpoints: Vec::new(),
            })
    }

    fn mark_leaving(&mut self, ids: &[EndpointId]) {
        for zone in self.zones.values_mut() {
            for endpoint in zone.endpoints.iter_mut().filter(|e| ids.contains(&e.id)) {
                endpoint.state = EndpointState::Leaving;
                zone.revision += 1;
            }
        }
    }

    fn remove(&mut self, ids: &[EndpointId]) {
        for zone in self.zones.values_mut() {
            let before = zone.endpoints.len();
            zone.endpoints.retain(|e| !ids.contains(&e.id));
            zone.revision += u64::from(zone.endpoints.len() != before);
        }
    }

    pub(super) fn add_report(&mut self, report: UsageReport, at_ms: u64) {
        self.reports.push(ReceivedReport { at_ms, report });
    }

    pub(super) fn apply(&mut self, command: PlatformCommand) {
        match command {
            PlatformCommand::Vms(vms) => {
                let revision = self.vms.revision + 1;
                self.vms = VmList { revision, vms };
            }
            PlatformCommand::Endpoints(zone, endpoints) => {
                let listed = self.zone_mut(&zone);
                listed.endpoints = endpoints;
                listed.revision += 1;
            }
            PlatformCommand::Leave(ids) => self.mark_leaving(&ids),
            PlatformCommand::Remove(ids) => self.remove(&ids),
            PlatformCommand::Stock(zone, addrs) => {
                self.stock.entry(zone).or_default().extend(addrs);
            }
            PlatformCommand::Cheap(available) => self.cheap_unavailable = !available,
            PlatformCommand::Fault(faults) => self.faults = faults,
            PlatformCommand::Retain(stream, keep) => self.retain(stream, keep),
        }
    }

    fn retain(&mut self, stream: Stream, keep: usize) {
        let log = self.streams.entry(stream).or_default();
        while log.retained.len() > keep {
            log.retained.pop_front();
            log.first += 1;
        }
    }

    pub(super) fn received_calls(&self) -> ReceivedCalls {
        let appends = self.streams.iter().map(|(stream, log)| {
            let count = log.first + log.retained.len() as u64;
            (stream.as_str().into(), count)
        });
        ReceivedCalls {
            orders: self.orders.clone(),
            reports: self.reports.clone(),
            appends: appends.collect(),
        }
    }
}
