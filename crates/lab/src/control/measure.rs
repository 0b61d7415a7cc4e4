//! Runs nodes without requests and measures their resource usage.

use {
    super::{
        ControlPoint, ControlReport,
        applied_versions::{AppliedVersions, propagation_delays},
    },
    crate::sites::{Site, SiteKind},
    async_io::block_on,
    clock::SystemClock,
    conf::{Change, Op},
    eyre::{Result, eyre},
    harness::{ChildProcess, Cluster, ClusterSpec, ClusterVm, ClusterZone, HttpClient, wait_until},
    ports::{Endpoint, EndpointState},
    standin::platform::PlatformCommand,
    std::{net::SocketAddr, time::Duration},
    types::{RequestId, Version, ZoneId},
};

const ZONE: &str = "ernakulam";
/// Items per published change.
const MAX_BATCH: usize = 200;
/// Availability zones over which the endpoints are spread, as at the target size.
const ZONE_COUNT: usize = 13;
/// Endpoints per node, as at the target size.
const ENDPOINTS_PER_NODE: usize = 14;
/// Address of all endpoints: this experiment never calls them.
const UNUSED_ADDR: &str = "127.0.0.1:9";
/// Time for the cluster to settle before the measurement starts.
const SETTLE: Duration = Duration::from_secs(3);
/// Sets the default gossip interval of the product, since the harness sets a shorter one.
const ENTRY_SETTINGS: &str = "gossip_ms: 1000";

/// Parameters of a measurement of the control-plane overhead.
#[derive(Debug, Clone)]
pub struct ControlPlan {
    /// Cluster sizes to measure, in nodes; each node runs an entry and a steward.
    pub nodes: Vec<usize>,
    /// Numbers of organisations besides the site's ten; each is measured at the first cluster size.
    pub orgs: Vec<usize>,
    /// API keys per additional organisation.
    pub keys: usize,
    /// Length of each measurement, in seconds.
    pub seconds: f64,
    /// Configuration changes per second.
    pub rate: f64,
}

/// Cumulative resource usage of one process.
struct ResourceUsage {
    cpu_micros: u64,
    mesh_bytes: f64,
    messages: f64,
    platform_bytes: f64,
}

/// Measures the control-plane overhead at all cluster sizes and numbers of organisations.
pub fn measure_control(plan: &ControlPlan) -> Result<ControlReport> {
    let first_orgs = plan.orgs.first().copied().unwrap_or_default();
    let first_nodes = plan.nodes.first().copied().unwrap_or(1);
    let mut report = ControlReport::default();
    for nodes in &plan.nodes {
        report
            .by_nodes
            .push(measure_point(plan, *nodes, first_orgs)?);
    }
    for orgs in &plan.orgs {
        report
            .by_orgs
            .push(measure_point(plan, first_nodes, *orgs)?);
    }
    Ok(report)
}

fn measure_point(plan: &ControlPlan, nodes: usize, orgs: usize) -> Result<ControlPoint> {
    eprintln!("{nodes} nodes, {orgs} organisations: starting");
    let site = SiteKind::Malabar.site();
    let mut cluster = start_cluster(&site, nodes)?;
    let version = publish_orgs(&cluster, &site, orgs, plan.keys)?;
    block_on(SystemClock::shared().sleep(SETTLE));
    let before = read_cluster_usage(&cluster)?;
    eprintln!(
        "{nodes} nodes, {orgs} organisations: measuring {} s",
        plan.seconds
    );
    let changes = publish_changes(&cluster, &site, plan, version)?;
    let after = read_cluster_usage(&cluster)?;
    let newest = version + changes.len() as u64;
    wait_version(&cluster, newest)?;
    let applied: Vec<AppliedVersions> = cluster
        .vms
        .iter()
        .map(|v| AppliedVersions::from_log(&v.entry))
        .collect();
    let mut point = ControlPoint {
        nodes,
        keys: orgs * plan.keys,
        changes: changes.len() as u64,
        ..ControlPoint::default()
    };
    point.set_delays(propagation_delays(&applied, &changes));
    set_rates(&mut point, plan.seconds, &before, &after);
    point.measure_memory(&cluster)?;
    cluster.vms.iter_mut().try_for_each(kill_vm)?;
    Ok(point)
}

fn start_cluster(site: &Site, nodes: usize) -> Result<Cluster> {
    let mut spec: ClusterSpec = site.cluster_spec(ENTRY_SETTINGS)?;
    spec.zones = vec![ClusterZone {
        zone: ZONE.parse()?,
        vms: nodes,
        engines: 0,
        cheap: 0,
        services: 0,
    }];
    let cluster = Cluster::start(spec)?;
    let addr: SocketAddr = UNUSED_ADDR.parse()?;
    let endpoint = |i: usize| -> Result<Endpoint> {
        Ok(Endpoint {
            id: format!("{}-{i}", site.model).parse()?,
            serves: site.model.parse()?,
            cheap: false,
            addr,
            state: EndpointState::Live,
        })
    };
    for zone in 0..ZONE_COUNT {
        let in_zone = (0..nodes * ENDPOINTS_PER_NODE).filter(|i| i % ZONE_COUNT == zone);
        let endpoints = in_zone.map(endpoint).collect::<Result<_>>()?;
        let zone: ZoneId = match zone {
            0 => ZONE.parse()?,
            _ => format!("zone-{zone}").parse()?,
        };
        cluster.control_platform(&PlatformCommand::Endpoints(zone, endpoints))?;
    }
    Ok(cluster)
}

/// Publishes the additional organisations and keys. Returns the configuration version once it is in
/// force at all entries.
fn publish_orgs(cluster: &Cluster, site: &Site, orgs: usize, keys: usize) -> Result<u64> {
    let items = site.extra_org_items(orgs, keys)?;
    let mut version = 1;
    for batch in items.chunks(MAX_BATCH) {
        cluster.publish(batch.to_vec())?;
        version += 1;
    }
    wait_version(cluster, version)?;
    Ok(version)
}

fn wait_version(cluster: &Cluster, version: u64) -> Result<()> {
    wait_until("every entry has the newest configuration in force", || {
        let newest = |vm: &ClusterVm| AppliedVersions::from_log(&vm.entry).newest();
        cluster.vms.iter().all(|vm| newest(vm) >= version)
    })
}

/// Publishes changes at a constant rate. Returns each version with the Unix time at which it was
/// sent.
fn publish_changes(
    cluster: &Cluster,
    site: &Site,
    plan: &ControlPlan,
    mut version: u64,
) -> Result<Vec<(u64, Duration)>> {
    let clock = SystemClock::shared();
    let start = clock.now();
    let count = (plan.seconds * plan.rate).floor() as u32;
    let mut changes = Vec::new();
    for index in 0..count {
        let due = start + Duration::from_secs_f64(f64::from(index) / plan.rate);
        block_on(clock.sleep(due.since(clock.now())));
        let item = site.key_item(site.orgs[0], &format!("change-{index}"))?;
        let sent = clock.unix_time();
        let op = Op::Put {
            base: Version(0),
            item,
        };
        cluster.append_change(&Change {
            id: RequestId::from_bits(u128::from(index) + 1),
            by: "lab".parse()?,
            ops: vec![op],
        })?;
        version += 1;
        changes.push((version, sent));
    }
    let end = start + Duration::from_secs_f64(plan.seconds);
    block_on(clock.sleep(end.since(clock.now())));
    Ok(changes)
}

fn read_usage(http: &HttpClient, process: &ChildProcess) -> Result<ResourceUsage> {
    let admin = process.wait_addr("admin")?;
    let cpu_micros = process.cpu_micros()?;
    let metric = |name: &str| http.metric(admin, name);
    Ok(ResourceUsage {
        cpu_micros,
        mesh_bytes: metric("celerystage_mesh_bytes_total")?,
        messages: metric("celerystage_mesh_messages_total")?,
        platform_bytes: metric("celerystage_platform_bytes_total")?,
    })
}

/// Resource usage of all entries, and of all stewards.
fn read_cluster_usage(cluster: &Cluster) -> Result<[Vec<ResourceUsage>; 2]> {
    let steward = |v: &ClusterVm| {
        let process = v
            .steward
            .as_ref()
            .ok_or_else(|| eyre!("VM {} has no steward", v.vm))?;
        read_usage(&cluster.http, process)
    };
    let entries = cluster
        .vms
        .iter()
        .map(|v| read_usage(&cluster.http, &v.entry));
    Ok([
        entries.collect::<Result<_>>()?,
        cluster.vms.iter().map(steward).collect::<Result<_>>()?,
    ])
}

fn set_rates(
    point: &mut ControlPoint,
    seconds: f64,
    before: &[Vec<ResourceUsage>; 2],
    after: &[Vec<ResourceUsage>; 2],
) {
    let mean = |role: usize, get: fn(&ResourceUsage) -> f64| {
        let sum = |all: &[Vec<ResourceUsage>; 2]| all[role].iter().map(get).sum::<f64>();
        (sum(after) - sum(before)) / seconds / after[role].len().max(1) as f64
    };
    let core = |s: &ResourceUsage| s.cpu_micros as f64 / 1e6;
    point.entry_core = mean(0, core);
    point.steward_core = mean(1, core);
    point.entry_bytes = mean(0, |s| s.mesh_bytes);
    point.steward_bytes = mean(1, |s| s.mesh_bytes);
    point.messages = mean(0, |s| s.messages);
    point.platform_bytes = mean(1, |s| s.platform_bytes);
}

fn kill_vm(vm: &mut ClusterVm) -> Result<()> {
    if let Some(steward) = &mut vm.steward {
        steward.kill()?;
    }
    vm.entry.kill()
}
