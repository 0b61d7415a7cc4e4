//! The platform's state.

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

/// Records of one read.
const MAX_PAGE: usize = 500;

#[derive(Default)]
struct Records {
    first: u64,
    kept: VecDeque<LogRecord>,
}

#[derive(Default)]
pub(super) struct State {
    streams: BTreeMap<Stream, Records>,
    vms: VmList,
    zones: BTreeMap<ZoneId, ZoneEndpoints>,
    stock: BTreeMap<ZoneId, VecDeque<SocketAddr>>,
    no_cheap: bool,
    seen_ids: BTreeSet<OrderId>,
    started: u64,
    orders: Vec<ReceivedOrder>,
    reports: Vec<ReceivedReport>,
    pub(super) fault: PlatformFaults,
}

impl State {
    pub(super) fn append(&mut self, stream: Stream, data: &str, at_ms: u64) -> u64 {
        let records = self.streams.entry(stream).or_default();
        let offset = records.first + records.kept.len() as u64;
        records.kept.push_back(LogRecord {
            offset,
            at_ms,
            data: data.into(),
        });
        offset
    }

    pub(super) fn read(&self, stream: Stream, from: u64) -> Page {
        let Some(records) = self.streams.get(&stream) else {
            return Page {
                first: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        let skip = usize::try_from(from.saturating_sub(records.first)).unwrap_or(usize::MAX);
        let page = records
            .kept
            .iter()
            .skip(skip)
            .take(MAX_PAGE)
            .cloned()
            .collect();
        let next = records.first + records.kept.len() as u64;
        Page {
            first: records.first,
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

    /// Carries out an order; `false` when it cannot be met.
    pub(super) fn order(&mut self, order: &Order, at_ms: u64) -> bool {
        let repeated = self.seen_ids.contains(&order.id);
        self.orders.push(ReceivedOrder {
            at_ms,
            order: order.clone(),
            repeated,
        });
        if repeated {
            return true;
        }
        let met = match &order.action {
            OrderAction::Start { serves, cheap } => {
                let (serves, cheap) = (serves.clone(), *cheap);
                self.start(&order.zone, serves, cheap)
            }
            OrderAction::Release { endpoint } => {
                self.leave(std::slice::from_ref(endpoint));
                true
            }
        };
        if met {
            self.seen_ids.insert(order.id);
        }
        met
    }

    fn start(&mut self, zone: &ZoneId, serves: types::ModelId, cheap: bool) -> bool {
        if cheap && self.no_cheap {
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
        let entry = self.zone(zone);
        entry.endpoints.push(endpoint);
        entry.revision += 1;
        true
    }

    fn zone(&mut self, zone: &ZoneId) -> &mut ZoneEndpoints {
        self.zones
            .entry(zone.clone())
            .or_insert_with(|| ZoneEndpoints {
                zone: zone.clone(),
                revision: 0,
                endpoints: Vec::new(),
            })
    }

    fn leave(&mut self, ids: &[EndpointId]) {
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

    pub(super) fn report(&mut self, report: UsageReport, at_ms: u64) {
        self.reports.push(ReceivedReport { at_ms, report });
    }

    pub(super) fn control(&mut self, control: PlatformCommand) {
        match control {
            PlatformCommand::Vms(vms) => {
                let revision = self.vms.revision + 1;
                self.vms = VmList { revision, vms };
            }
            PlatformCommand::Endpoints(zone, endpoints) => {
                let entry = self.zone(&zone);
                entry.endpoints = endpoints;
                entry.revision += 1;
            }
            PlatformCommand::Leave(ids) => self.leave(&ids),
            PlatformCommand::Remove(ids) => self.remove(&ids),
            PlatformCommand::Stock(zone, addrs) => {
                self.stock.entry(zone).or_default().extend(addrs);
            }
            PlatformCommand::Cheap(can_be_had) => self.no_cheap = !can_be_had,
            PlatformCommand::Fault(fault) => self.fault = fault,
            PlatformCommand::Retain(stream, keep) => self.retain(stream, keep),
        }
    }

    fn retain(&mut self, stream: Stream, keep: usize) {
        let records = self.streams.entry(stream).or_default();
        while records.kept.len() > keep {
            records.kept.pop_front();
            records.first += 1;
        }
    }

    pub(super) fn record(&self) -> ReceivedCalls {
        let appends = self.streams.iter().map(|(stream, r)| {
            let count = r.first + r.kept.len() as u64;
            (stream.as_str().into(), count)
        });
        ReceivedCalls {
            orders: self.orders.clone(),
            reports: self.reports.clone(),
            appends: appends.collect(),
        }
    }
}
