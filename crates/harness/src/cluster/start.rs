//! Starts a cluster, changes its lists and configuration, and stops it.

use {
    super::{ClusterSpec, ClusterVm, ClusterZone},
    crate::process::{ChildProcess, HttpClient, wait_until},
    conf::{Change, Item, Op},
    eyre::{Result, ensure, eyre},
    ports::{AppendBody, Endpoint, EndpointState, Vm as ListedVm, VmState},
    serde::Serialize,
    standin::platform::PlatformCommand,
    std::{
        collections::{BTreeMap, BTreeSet},
        env, fs,
        net::SocketAddr,
        path::PathBuf,
        process,
    },
    types::{EndpointId, ModelId, RequestId, Version, ZoneId},
};

/// A whole system as processes on the loopback interface.
pub struct Cluster {
    /// Process of the platform.
    pub platform: ChildProcess,
    /// Address on which the platform listens.
    pub platform_addr: SocketAddr,
    /// Processes of engines and services. The cheap engines of a zone share one process, its other
    /// engines another; each service replica has its own.
    pub backends: Vec<ChildProcess>,
    /// Index in `backends` of the process that serves each endpoint.
    backend_of: BTreeMap<SocketAddr, usize>,
    /// Indexes of the backends that were killed on purpose.
    killed: BTreeSet<usize>,
    /// All endpoints and their availability zones.
    pub endpoints: Vec<(ZoneId, Endpoint)>,
    /// All VMs.
    pub vms: Vec<ClusterVm>,
    /// Client for calls to the processes.
    pub http: HttpClient,
    spec: ClusterSpec,
    /// Folder of the settings files.
    folder: PathBuf,
}

impl Cluster {
    /// Starts all processes and waits until every entry is ready.
    pub fn start(spec: ClusterSpec) -> Result<Self> {
        Self::start_with_platform_addrs(spec, |_, _, platform| Ok(platform))
    }

    /// As [`Cluster::start`], but `platform_addr_of` gives the address at which each VM reaches the
    /// platform. It takes the VM's availability zone, its number in the zone from 1, and the
    /// platform's own address.
    pub fn start_with_platform_addrs(
        spec: ClusterSpec,
        mut platform_addr_of: impl FnMut(&ZoneId, usize, SocketAddr) -> Result<SocketAddr>,
    ) -> Result<Self> {
        let nonce = fastrand::u64(..);
        let folder = env::temp_dir().join(format!("celerystage-{}-{nonce:x}", process::id()));
        fs::create_dir_all(&folder)?;
        let platform = ChildProcess::start("standin-platform", &["--threads", "2"])?;
        let platform_addr = platform.wait_addr("platform")?;
        let mut cluster = Self {
            platform,
            platform_addr,
            backends: Vec::new(),
            backend_of: BTreeMap::new(),
            killed: BTreeSet::new(),
            endpoints: Vec::new(),
            vms: Vec::new(),
            http: HttpClient::default(),
            spec: spec.clone(),
            folder,
        };
        for zone in &spec.zones {
            cluster.start_backends(zone)?;
            cluster.start_vms(zone, &mut platform_addr_of)?;
        }
        cluster.list_vms()?;
        cluster.publish(spec.items)?;
        for vm in &mut cluster.vms {
            vm.start_steward(vm.platform, &spec.steward_settings)?;
        }
        for vm in &cluster.vms {
            vm.wait_ready(&cluster.http)?;
        }
        cluster.wait_endpoints()?;
        Ok(cluster)
    }

    fn start_backends(&mut self, zone: &ClusterZone) -> Result<()> {
        let mut endpoints = Vec::new();
        let cheap = zone.cheap.min(zone.engines);
        for (first, count) in [(0, cheap), (cheap, zone.engines - cheap)] {
            let model = self.spec.model.clone();
            for (i, addr) in self.start_engines(count)?.into_iter().enumerate() {
                let index = first + i;
                endpoints.push(endpoint(&zone.zone, &model, index, addr, index < cheap)?);
            }
        }
        for i in 0..zone.services {
            let proc = ChildProcess::start("standin-service", &[])?;
            let addr = proc.wait_addr("service")?;
            endpoints.push(endpoint(&zone.zone, &self.spec.service, i, addr, false)?);
            self.add_backend(proc, &[addr]);
        }
        let listed = endpoints.iter().cloned().map(|e| (zone.zone.clone(), e));
        self.endpoints.extend(listed);
        self.control_platform(&PlatformCommand::Endpoints(zone.zone.clone(), endpoints))
    }

    /// Starts `count` engines in one process and returns their addresses.
    fn start_engines(&mut self, count: usize) -> Result<Vec<SocketAddr>> {
        if count == 0 {
            return Ok(Vec::new());
        }
        let count_text = count.to_string();
        let mut args = vec!["--threads", "2", "--count", &count_text];
        args.extend(self.spec.engine_args.iter().map(String::as_str));
        let proc = ChildProcess::start("standin-engine", &args)?;
        let addrs = proc.wait_addrs("engine", count)?;
        self.add_backend(proc, &addrs);
        Ok(addrs)
    }

    fn add_backend(&mut self, proc: ChildProcess, addrs: &[SocketAddr]) {
        let index = self.backends.len();
        self.backend_of.extend(addrs.iter().map(|a| (*a, index)));
        self.backends.push(proc);
    }

    /// Kills the process that serves `addr`, and with it the other endpoints of that process.
    pub fn kill_backend(&mut self, addr: SocketAddr) -> Result<()> {
        let index = self.backend_of.get(&addr).copied();
        let index = index.ok_or_else(|| eyre!("no process serves {addr}"))?;
        if self.killed.insert(index) {
            self.backends[index].kill()?;
        }
        Ok(())
    }

    fn start_vms(
        &mut self,
        zone: &ClusterZone,
        platform_addr_of: &mut impl FnMut(&ZoneId, usize, SocketAddr) -> Result<SocketAddr>,
    ) -> Result<()> {
        for i in 0..zone.vms {
            let vm = format!("vm-{}-{}", zone.zone, i + 1).parse()?;
            let platform = platform_addr_of(&zone.zone, i + 1, self.platform_addr)?;
            let settings = &self.spec.entry_settings;
            self.vms.push(ClusterVm::start(
                self.folder.clone(),
                vm,
                zone.zone.clone(),
                platform,
                settings,
            )?);
        }
        Ok(())
    }

    /// Replaces the platform's VM list with all VMs of the cluster, as live.
    pub fn list_vms(&self) -> Result<()> {
        let listed = |v: &ClusterVm| ListedVm {
            vm: v.vm.clone(),
            zone: v.zone.clone(),
            state: VmState::Live,
            addr: v.mesh,
        };
        self.control_platform(&PlatformCommand::Vms(self.vms.iter().map(listed).collect()))
    }

    /// Publishes items that the configuration does not have yet.
    pub fn publish(&self, items: Vec<Item>) -> Result<()> {
        let put = |item| Op::Put {
            base: Version(0),
            item,
        };
        let ops = items.into_iter().map(put).collect();
        self.append_change(&Change {
            id: new_change_id(),
            by: "harness".parse()?,
            ops,
        })
    }

    /// Appends a change to the log's configuration stream.
    pub fn append_change(&self, change: &Change) -> Result<()> {
        let body = AppendBody {
            data: serde_json::to_string(change)?.into(),
        };
        self.http.post(self.platform_addr, "/log/config", &body)?;
        Ok(())
    }

    /// Sends a command to the platform.
    pub fn control_platform(&self, command: &PlatformCommand) -> Result<()> {
        self.http.post(self.platform_addr, "/control", command)?;
        Ok(())
    }

    /// Sends a command to an endpoint.
    pub fn control_endpoint(&self, addr: SocketAddr, command: &impl Serialize) -> Result<()> {
        self.http.post(addr, "/control", command)?;
        Ok(())
    }

    /// Endpoints that serve a model or service.
    pub fn endpoints_serving(&self, serves: &ModelId) -> Vec<Endpoint> {
        let all = self.endpoints.iter().filter(|(_, e)| e.serves == *serves);
        all.map(|(_, e)| e.clone()).collect()
    }

    /// All engines.
    pub fn engines(&self) -> Vec<Endpoint> {
        self.endpoints_serving(&self.spec.model)
    }

    /// All replicas of the plain service.
    pub fn services(&self) -> Vec<Endpoint> {
        self.endpoints_serving(&self.spec.service)
    }

    /// Addresses on which the entries serve callers.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|v| v.callers).collect()
    }

    /// Waits until every entry knows at least as many endpoints as its availability zone has.
    fn wait_endpoints(&self) -> Result<()> {
        wait_until("every entry knows its endpoints", || {
            self.vms.iter().all(|v| {
                let known = self.http.metric(v.admin, "celerystage_endpoints");
                let in_zone = self
                    .endpoints
                    .iter()
                    .filter(|(zone, _)| *zone == v.zone)
                    .count();
                known.is_ok_and(|n| n as usize >= in_zone)
            })
        })
    }

    /// Stops all of the system's processes gracefully, then the stand-ins.
    pub fn stop(mut self) -> Result<()> {
        for vm in &mut self.vms {
            ensure!(vm.entry.stop()?.success(), "{} did not stop cleanly", vm.vm);
            if let Some(steward) = &mut vm.steward {
                ensure!(
                    steward.stop()?.success(),
                    "steward of {} did not stop cleanly",
                    vm.vm
                );
            }
        }
        let backends = self.backends.iter_mut().enumerate();
        for (_, backend) in backends.filter(|(i, _)| !self.killed.contains(i)) {
            ensure!(
                backend.stop()?.success(),
                "a stand-in of an endpoint did not stop cleanly"
            );
        }
        ensure!(
            self.platform.stop()?.success(),
            "the platform did not stop cleanly"
        );
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A random id for a change.
fn new_change_id() -> RequestId {
    RequestId::from_bits(u128::from(fastrand::u64(..)) << 64 | u128::from(fastrand::u64(..)))
}

fn endpoint(
    zone: &ZoneId,
    serves: &ModelId,
    index: usize,
    addr: SocketAddr,
    cheap: bool,
) -> Result<Endpoint> {
    let id: EndpointId = format!("{serves}-{zone}-{}", index + 1).parse()?;
    Ok(Endpoint {
        id,
        serves: serves.clone(),
        cheap,
        addr,
        state: EndpointState::Live,
    })
}
