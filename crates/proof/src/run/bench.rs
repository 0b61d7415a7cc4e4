//! A running system with its stand-ins, links and load.

use {
    super::{
        balancer::{Balancer, Member},
        links::{Placement, Proxy},
        peek::peek,
        record::Mark,
    },
    crate::scenario::ast::{Line, Place, Scenario, Step},
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

/// An endpoint's place and its own address, whatever link stands before it.
#[derive(Debug, Clone)]
pub(super) struct Site {
    pub(super) line: Line,
    pub(super) zone: ZoneId,
    pub(super) index: usize,
    pub(super) id: EndpointId,
    pub(super) addr: SocketAddr,
}

/// One request that was sent.
#[derive(Debug, Clone)]
pub(super) struct Sent {
    pub(super) flow: CompactString,
    pub(super) spec: Flow,
    pub(super) sample: Sample,
}

/// A running system.
pub(super) struct Bench {
    pub(super) scenario: Scenario,
    // Dropped in this order: nothing polls or sends when the processes go.
    pub(super) balancer: Balancer,
    pub(super) loads: Vec<JoinHandle<Vec<Sent>>>,
    pub(super) proxy: Proxy,
    pub(super) links: Vec<Placement>,
    pub(super) sites: Vec<Site>,
    pub(super) sent: Vec<Sent>,
    pub(super) marks: BTreeMap<CompactString, Mark>,
    pub(super) fault: PlatformFaults,
    /// VMs whose entry is stopped, killed or paused.
    pub(super) away: BTreeSet<usize>,
    /// Changes of the last race.
    pub(super) raced: Vec<RequestId>,
    /// The configuration that the log folds to.
    pub(super) folded: Config,
    /// Loads started.
    pub(super) started: u64,
    pub(super) cluster: Cluster,
    _proxy_proc: ChildProcess,
    _stock: Vec<ChildProcess>,
}

impl Bench {
    /// Starts what the scenario asks for.
    pub(super) fn start(scenario: Scenario) -> Result<Self> {
        let (proc, proxy) = Proxy::start(HttpClient::default())?;
        let mut links = Vec::new();
        let wanted = wanted_lines(&scenario);
        let cluster =
            Cluster::start_with_platform_addrs(shape(&scenario)?, |zone, index, platform| {
                if !wanted.contains(&Line::Platform) {
                    return Ok(platform);
                }
                let opened = proxy.open(vec![platform])?;
                links.push(Placement {
                    line: Line::Platform,
                    zone: zone.clone(),
                    index,
                    link: opened.link,
                });
                Ok(opened.addr)
            })?;
        let mut sites = sites(&cluster);
        let stock = stock(&scenario, &cluster, &mut sites)?;
        let relisted = relist(&cluster, &proxy, &wanted, &mut links)?;
        let members = members(&cluster, &proxy, &wanted, &mut links)?;
        let balancer = Balancer::start(cluster.http.clone(), proxy.clone(), members)?;
        let bench = Self {
            scenario,
            balancer,
            loads: Vec::new(),
            proxy,
            links,
            sites,
            sent: Vec::new(),
            marks: BTreeMap::new(),
            fault: PlatformFaults::default(),
            away: BTreeSet::new(),
            raced: Vec::new(),
            folded: Config::default(),
            started: 0,
            cluster,
            _proxy_proc: proc,
            _stock: stock,
        };
        bench.wait_listed(&relisted)?;
        Ok(bench)
    }

    /// Waits until every entry holds these addresses.
    fn wait_listed(&self, addrs: &[SocketAddr]) -> Result<()> {
        wait_until("every entry has the links' addresses", || {
            self.cluster.vms.iter().all(|vm| {
                let Ok(state) = peek(&self.cluster.http, vm.mesh) else {
                    return false;
                };
                let vms = state.vms.into_iter().flat_map(|l| l.vms).map(|v| v.addr);
                let endpoints = state.zones.into_iter().flat_map(|z| z.endpoints);
                let held: Vec<_> = vms.chain(endpoints.map(|e| e.addr)).collect();
                addrs.iter().all(|a| held.contains(a))
            })
        })
    }

    /// Indexes of the VMs that a place means.
    pub(super) fn vms(&self, place: &Place) -> Vec<usize> {
        let vms = &self.cluster.vms;
        let index = |at: usize| {
            let before = vms[..=at].iter();
            before.filter(|v| v.zone == vms[at].zone).count()
        };
        (0..vms.len())
            .filter(|&i| place.holds(&vms[i].zone, index(i)))
            .collect()
    }
}

fn shape(scenario: &Scenario) -> Result<ClusterSpec> {
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
        engine_args: scenario.engines.clone(),
        entry_settings: String::new(),
        steward_settings: scenario.stewards.clone(),
    })
}

fn wanted_lines(scenario: &Scenario) -> BTreeSet<Line> {
    let lines = scenario.steps.iter().filter_map(|p| match p.step {
        Step::Link(line, ..) => Some(line),
        _ => None,
    });
    lines.collect()
}

fn line_of(endpoint: &Endpoint) -> Line {
    if endpoint.serves.as_str() == SERVICE {
        Line::Service
    } else {
        Line::Engine
    }
}

fn sites(cluster: &Cluster) -> Vec<Site> {
    let mut counts: BTreeMap<(ZoneId, Line), usize> = BTreeMap::new();
    let all = cluster.endpoints.iter();
    all.map(|(zone, e)| {
        let line = line_of(e);
        let count = counts.entry((zone.clone(), line)).or_default();
        *count += 1;
        Site {
            line,
            zone: zone.clone(),
            index: *count,
            id: e.id.clone(),
            addr: e.addr,
        }
    })
    .collect()
}

/// Starts the engines that the platform hands out on order.
fn stock(
    scenario: &Scenario,
    cluster: &Cluster,
    sites: &mut Vec<Site>,
) -> Result<Vec<ChildProcess>> {
    let mut procs = Vec::new();
    for zone in scenario.zones.iter().filter(|z| z.stock > 0) {
        let count = zone.stock.to_string();
        let mut args = vec!["--count", &count];
        args.extend(scenario.engines.iter().map(String::as_str));
        let proc = ChildProcess::start("standin-engine", &args)?;
        let addrs = proc.wait_addrs("engine", zone.stock)?;
        for (i, addr) in addrs.iter().enumerate() {
            sites.push(Site {
                line: Line::Engine,
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

/// Lists endpoints and VMs to the system under their links' addresses.
fn relist(
    cluster: &Cluster,
    proxy: &Proxy,
    wanted: &BTreeSet<Line>,
    links: &mut Vec<Placement>,
) -> Result<Vec<SocketAddr>> {
    let mut addrs = Vec::new();
    let mut place = |line, zone: &ZoneId, index, addr| -> Result<SocketAddr> {
        if !wanted.contains(&line) {
            return Ok(addr);
        }
        let opened = proxy.open(vec![addr])?;
        links.push(Placement {
            line,
            zone: zone.clone(),
            index,
            link: opened.link,
        });
        addrs.push(opened.addr);
        Ok(opened.addr)
    };
    let mut zones: BTreeMap<ZoneId, Vec<Endpoint>> = BTreeMap::new();
    for (site, (zone, endpoint)) in sites(cluster).iter().zip(&cluster.endpoints) {
        let addr = place(site.line, zone, site.index, endpoint.addr)?;
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
            addr: place(Line::Mesh, &vm.zone, *index, vm.mesh)?,
        });
    }
    if wanted.contains(&Line::Mesh) {
        cluster.control_platform(&PlatformCommand::Vms(vms))?;
    }
    for (zone, endpoints) in zones {
        cluster.control_platform(&PlatformCommand::Endpoints(zone, endpoints))?;
    }
    Ok(addrs)
}

/// Entries as the balancer reaches them.
fn members(
    cluster: &Cluster,
    proxy: &Proxy,
    wanted: &BTreeSet<Line>,
    links: &mut Vec<Placement>,
) -> Result<Vec<Member>> {
    let mut members = Vec::new();
    let mut counts: BTreeMap<ZoneId, usize> = BTreeMap::new();
    for vm in &cluster.vms {
        let index = counts.entry(vm.zone.clone()).or_default();
        *index += 1;
        let mut callers = vm.callers;
        if wanted.contains(&Line::Callers) {
            let opened = proxy.open(vec![callers])?;
            callers = opened.addr;
            links.push(Placement {
                line: Line::Callers,
                zone: vm.zone.clone(),
                index: *index,
                link: opened.link,
            });
        }
        members.push(Member {
            admin: vm.admin,
            callers,
        });
    }
    Ok(members)
}
