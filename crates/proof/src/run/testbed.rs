//! A running system with its stand-ins, links and load.

use {
    super::{
        balancer::{BalancedEntry, Balancer},
        entry_state::fetch_entry_state,
        executions::Executions,
        proxy_client::{PlacedLink, ProxyClient},
    },
    crate::scenario::ast::{LinkKind, Scenario, Selector, Step},
    compact_str::CompactString,
    conf::Config,
    eyre::Result,
    harness::{
        ChildProcess, Cluster, ClusterSpec, ClusterZone, HttpClient, demo_config, wait_until,
    },
    load::{Flow, Sample},
    ports::{Endpoint, Vm as ListedVm, VmState},
    standin::platform::{PlatformCommand, PlatformFaults},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        thread::JoinHandle,
    },
    types::{EndpointId, RequestId, ZoneId},
};

pub(super) const MODEL: &str = "surveyor-llm";
const SERVICE: &str = "permit-desk";

/// An endpoint, its number within the zone, and its own address even if a link carries its traffic.
#[derive(Debug, Clone)]
pub(super) struct PlacedEndpoint {
    pub(super) kind: LinkKind,
    pub(super) zone: ZoneId,
    pub(super) index: usize,
    pub(super) id: EndpointId,
    pub(super) addr: SocketAddr,
}

/// A request that was sent, and its outcome.
#[derive(Debug, Clone)]
pub(super) struct SentRequest {
    pub(super) flow: CompactString,
    pub(super) spec: Flow,
    pub(super) sample: Sample,
}

/// A running system.
pub(super) struct Testbed {
    pub(super) scenario: Scenario,
    // Fields are dropped in this order, so polling and load end before the processes do.
    pub(super) balancer: Balancer,
    pub(super) loads: Vec<JoinHandle<Vec<SentRequest>>>,
    pub(super) proxy: ProxyClient,
    pub(super) links: Vec<PlacedLink>,
    pub(super) endpoints: Vec<PlacedEndpoint>,
    pub(super) sent: Vec<SentRequest>,
    /// Executions at the scenario's marks.
    pub(super) marks: BTreeMap<CompactString, Executions>,
    pub(super) platform_faults: PlatformFaults,
    /// Indexes of VMs whose entry is stopped, killed or paused.
    pub(super) entries_down: BTreeSet<usize>,
    /// Changes of the last race.
    pub(super) race_changes: Vec<RequestId>,
    /// Configuration that results from the log's changes, as far as they have been read.
    pub(super) log_config: Config,
    pub(super) loads_started: u64,
    pub(super) cluster: Cluster,
    _proxy_proc: ChildProcess,
    _stock_engines: Vec<ChildProcess>,
}

impl Testbed {
    /// Starts what the scenario asks for.
    pub(super) fn start(scenario: Scenario) -> Result<Self> {
        let (proc, proxy) = ProxyClient::start(HttpClient::default())?;
        let mut links = Vec::new();
        let used = used_link_kinds(&scenario);
        let cluster = Cluster::start_with_platform_addrs(
            cluster_spec(&scenario)?,
            |zone, index, platform| {
                if !used.contains(&LinkKind::Platform) {
                    return Ok(platform);
                }
                let opened = proxy.open(vec![platform])?;
                links.push(PlacedLink {
                    kind: LinkKind::Platform,
                    zone: zone.clone(),
                    index,
                    link: opened.link,
                });
                Ok(opened.addr)
            },
        )?;
        let mut endpoints = cluster_endpoints(&cluster);
        let stock = start_stock(&scenario, &cluster, &mut endpoints)?;
        let link_addrs = list_link_addrs(&cluster, &proxy, &used, &mut links)?;
        let entries = balanced_entries(&cluster, &proxy, &used, &mut links)?;
        let balancer = Balancer::start(cluster.http.clone(), proxy.clone(), entries)?;
        let testbed = Self {
            scenario,
            balancer,
            loads: Vec::new(),
            proxy,
            links,
            endpoints,
            sent: Vec::new(),
            marks: BTreeMap::new(),
            platform_faults: PlatformFaults::default(),
            entries_down: BTreeSet::new(),
            race_changes: Vec::new(),
            log_config: Config::default(),
            loads_started: 0,
            cluster,
            _proxy_proc: proc,
            _stock_engines: stock,
        };
        testbed.wait_for_addrs(&link_addrs)?;
        Ok(testbed)
    }

    /// Waits until every entry has these addresses in its lists of VMs and endpoints.
    fn wait_for_addrs(&self, addrs: &[SocketAddr]) -> Result<()> {
        wait_until("every entry has the links' addresses", || {
            self.cluster.vms.iter().all(|vm| {
                let Ok(state) = fetch_entry_state(&self.cluster.http, vm.mesh) else {
                    return false;
                };
                let vms = state.vms.into_iter().flat_map(|l| l.vms).map(|v| v.addr);
                let endpoints = state.zones.into_iter().flat_map(|z| z.endpoints);
                let known: Vec<_> = vms.chain(endpoints.map(|e| e.addr)).collect();
                addrs.iter().all(|a| known.contains(a))
            })
        })
    }

    /// Indexes of the VMs that `selector` selects.
    pub(super) fn vms_at(&self, selector: &Selector) -> Vec<usize> {
        let vms = &self.cluster.vms;
        let number = |at: usize| {
            let up_to = vms[..=at].iter();
            up_to.filter(|v| v.zone == vms[at].zone).count()
        };
        (0..vms.len())
            .filter(|&i| selector.selects(&vms[i].zone, number(i)))
            .collect()
    }
}

fn cluster_spec(scenario: &Scenario) -> Result<ClusterSpec> {
    let zones = scenario.zones.iter().map(|z| ClusterZone {
        zone: z.zone.clone(),
        vms: z.vms,
        engines: z.engines,
        cheap: z.cheap,
        services: z.services,
    });
    Ok(ClusterSpec {
        zones: zones.collect(),
        model: MODEL.parse()?,
        service: SERVICE.parse()?,
        items: demo_config()?,
        engine_args: scenario.engine_args.clone(),
        entry_settings: String::new(),
        steward_settings: scenario.steward_settings.clone(),
    })
}

/// Kinds of links that the scenario's steps put faults on.
fn used_link_kinds(scenario: &Scenario) -> BTreeSet<LinkKind> {
    let kinds = scenario.steps.iter().filter_map(|s| match s.step {
        Step::Link(kind, ..) => Some(kind),
        _ => None,
    });
    kinds.collect()
}

fn kind_of(endpoint: &Endpoint) -> LinkKind {
    if endpoint.serves.as_str() == SERVICE {
        LinkKind::Service
    } else {
        LinkKind::Engine
    }
}

fn cluster_endpoints(cluster: &Cluster) -> Vec<PlacedEndpoint> {
    let mut counts: BTreeMap<(ZoneId, LinkKind), usize> = BTreeMap::new();
    let all = cluster.endpoints.iter();
    all.map(|(zone, e)| {
        let kind = kind_of(e);
        let count = counts.entry((zone.clone(), kind)).or_default();
        *count += 1;
        PlacedEndpoint {
            kind,
            zone: zone.clone(),
            index: *count,
            id: e.id.clone(),
            addr: e.addr,
        }
    })
    .collect()
}

/// Starts the engines that the platform lists when the system orders more.
fn start_stock(
    scenario: &Scenario,
    cluster: &Cluster,
    endpoints: &mut Vec<PlacedEndpoint>,
) -> Result<Vec<ChildProcess>> {
    let mut procs = Vec::new();
    for zone in scenario.zones.iter().filter(|z| z.stock > 0) {
        let count = zone.stock.to_string();
        let mut args = vec!["--count", &count];
        args.extend(scenario.engine_args.iter().map(String::as_str));
        let proc = ChildProcess::start("standin-engine", &args)?;
        let addrs = proc.wait_addrs("engine", zone.stock)?;
        for (i, addr) in addrs.iter().enumerate() {
            endpoints.push(PlacedEndpoint {
                kind: LinkKind::Engine,
                zone: zone.zone.clone(),
                index: zone.engines + i + 1,
                id: format!("stock-{}-{}", zone.zone, i + 1).parse()?,
                addr: *addr,
            });
        }
        cluster.control_platform(&PlatformCommand::Stock(zone.zone.clone(), addrs))?;
        procs.push(proc);
    }
    Ok(procs)
}

/// Opens links in front of endpoints and VMs, lists these on the platform under the links'
/// addresses, and returns the addresses.
fn list_link_addrs(
    cluster: &Cluster,
    proxy: &ProxyClient,
    used: &BTreeSet<LinkKind>,
    links: &mut Vec<PlacedLink>,
) -> Result<Vec<SocketAddr>> {
    let mut addrs = Vec::new();
    let mut open_link = |kind, zone: &ZoneId, index, addr| -> Result<SocketAddr> {
        if !used.contains(&kind) {
            return Ok(addr);
        }
        let opened = proxy.open(vec![addr])?;
        links.push(PlacedLink {
            kind,
            zone: zone.clone(),
            index,
            link: opened.link,
        });
        addrs.push(opened.addr);
        Ok(opened.addr)
    };
    let mut zones: BTreeMap<ZoneId, Vec<Endpoint>> = BTreeMap::new();
    for (placed, (zone, endpoint)) in cluster_endpoints(cluster).iter().zip(&cluster.endpoints) {
        let addr = open_link(placed.kind, zone, placed.index, endpoint.addr)?;
        let listed = Endpoint {
            addr,
            ..endpoint.clone()
        };
        zones.entry(zone.clone()).or_default().push(listed);
    }
    let mut vms = Vec::new();
    let mut counts: BTreeMap<ZoneId, usize> = BTreeMap::new();
    for vm in &cluster.vms {
        let index = counts.entry(vm.zone.clone()).or_default();
        *index += 1;
        vms.push(ListedVm {
            vm: vm.vm.clone(),
            zone: vm.zone.clone(),
            state: VmState::Live,
            addr: open_link(LinkKind::Mesh, &vm.zone, *index, vm.mesh)?,
        });
    }
    if used.contains(&LinkKind::Mesh) {
        cluster.control_platform(&PlatformCommand::Vms(vms))?;
    }
    for (zone, endpoints) in zones {
        cluster.control_platform(&PlatformCommand::Endpoints(zone, endpoints))?;
    }
    Ok(addrs)
}

/// The entries at the addresses under which the balancer reaches them.
fn balanced_entries(
    cluster: &Cluster,
    proxy: &ProxyClient,
    used: &BTreeSet<LinkKind>,
    links: &mut Vec<PlacedLink>,
) -> Result<Vec<BalancedEntry>> {
    let mut entries = Vec::new();
    let mut counts: BTreeMap<ZoneId, usize> = BTreeMap::new();
    for vm in &cluster.vms {
        let index = counts.entry(vm.zone.clone()).or_default();
        *index += 1;
        let mut callers = vm.callers;
        if used.contains(&LinkKind::Callers) {
            let opened = proxy.open(vec![callers])?;
            callers = opened.addr;
            links.push(PlacedLink {
                kind: LinkKind::Callers,
                zone: vm.zone.clone(),
                index: *index,
                link: opened.link,
            });
        }
        entries.push(BalancedEntry {
            admin: vm.admin,
            callers,
        });
    }
    Ok(entries)
}
