//! The VMs: `celery-node` processes with the command of the deploy file.

use {
    crate::platform::{DutyCalls, Machine, Store},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, OpenOptions},
        io::{Read, Write},
        net::{IpAddr, SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command},
        thread,
        time::{Duration, Instant},
    },
};

/// What `run` of the deploy file names.
const PROGRAM: &str = "target/release/celery-node";
/// Ports of all VMs, each at its own address.
const FRONT_PORT: u16 = 8740;
const CONTROL_PORT: u16 = 8748;
const READY_PORT: u16 = 8749;
pub(crate) const STORE_PORT: u16 = 8742;
const CLOUD_PORT: u16 = 8743;
const PORT_RANGE: (u16, u16) = (7200, 7215);
/// Address blocks that are looked at for a free one.
const BLOCKS: u32 = 50;
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// The loopback addresses of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Block(u8, u8);

impl Block {
    /// A block in which the ports of the VMs are free.
    pub(crate) fn free() -> Result<Self, String> {
        for _ in 0..BLOCKS {
            let block = Self(fastrand::u8(16..250), fastrand::u8(..));
            let ports = [FRONT_PORT, CONTROL_PORT, READY_PORT, PORT_RANGE.0];
            let free = |port| TcpListener::bind((block.ip(1), port)).is_ok();
            if ports.into_iter().all(free) {
                return Ok(block);
            }
        }
        Err("no free loopback addresses".into())
    }

    /// An address of the block.
    pub(crate) fn ip(self, number: u8) -> IpAddr {
        IpAddr::from([127, self.0, self.1, number])
    }
}

/// One VM, whose process may run or not.
pub(crate) struct Vm {
    pub(crate) name: String,
    ip: IpAddr,
    settings: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
    /// When its present process was started.
    pub(crate) started: Instant,
}

/// What the settings of all VMs share.
pub(crate) struct FleetSpec<'a> {
    pub(crate) block: Block,
    /// Zone of each VM.
    pub(crate) zones: &'a [&'a str],
    pub(crate) dir: &'a Path,
    /// Port of the store at the address of each VM.
    pub(crate) store_port: u16,
}

/// Starts the VMs for the first time.
pub(crate) fn start_vms(spec: &FleetSpec<'_>, store: &Store) -> Result<Vec<Vm>, String> {
    let calls = DutyCalls::default();
    let mut vms = Vec::new();
    for (number, zone) in spec.zones.iter().enumerate() {
        let machine = number as u8 + 1;
        let ip = spec.block.ip(machine);
        store.listen(Machine(machine), SocketAddr::new(ip, STORE_PORT));
        calls.listen(Machine(machine), SocketAddr::new(ip, CLOUD_PORT), None);
        let name = format!("front-{zone}-{machine}");
        vms.push(Vm {
            settings: spec.dir.join(format!("{name}.yaml")),
            dir: spec.dir.to_owned(),
            name,
            ip,
            child: None,
            started: Instant::now(),
        });
    }
    for (vm, zone) in vms.iter_mut().zip(spec.zones) {
        vm.write_settings(spec, zone, true)?;
        vm.spawn()?;
    }
    // The whole system starts for the first time only once. The programs have read their settings by then.
    thread::sleep(Duration::from_secs(1));
    for (vm, zone) in vms.iter().zip(spec.zones) {
        vm.write_settings(spec, zone, false)?;
    }
    Ok(vms)
}

impl Vm {
    pub(crate) fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Address at which the store listens for this VM.
    pub(crate) fn store_addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Writes the settings file anew, as the platform does whenever the settings change.
    pub(crate) fn write_settings(
        &self,
        spec: &FleetSpec<'_>,
        zone: &str,
        first: bool,
    ) -> Result<(), String> {
        let text = settings(spec, &self.name, self.ip, zone, first);
        fs::write(&self.settings, text).map_err(|e| format!("{}: {e}", self.settings.display()))
    }

    fn spawn(&mut self) -> Result<(), String> {
        let log = self.dir.join(format!("{}.log", self.name));
        let log = OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .env("CELERYSTAGE_NODE_FILE", &self.settings)
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.map_err(|e| format!("{PROGRAM}: {e}"))?);
        self.started = Instant::now();
        Ok(())
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process again, as the platform does after a kill.
    pub(crate) fn restart(&mut self) -> Result<(), String> {
        self.kill();
        self.spawn()
    }

    /// Sends the process a signal.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), String> {
        let child = self.child.as_ref().ok_or("the VM isn't running")?;
        kill_process(Pid::from_child(child), signal).map_err(|e| e.to_string())
    }

    /// Whether the VM answers the readiness check with 200.
    pub(crate) fn is_ready(&self) -> bool {
        is_ready(SocketAddr::new(self.ip, READY_PORT)).unwrap_or(false)
    }

    /// Address of the readiness check.
    pub(crate) fn ready_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Whether the process has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether a VM is ready; `None` if it doesn't answer.
pub(crate) fn is_ready(addr: SocketAddr) -> Option<bool> {
    let mut socket = TcpStream::connect_timeout(&addr, READY_TIMEOUT).ok()?;
    socket.set_read_timeout(Some(READY_TIMEOUT)).ok()?;
    let request = format!("GET /ready HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    socket.read_to_string(&mut text).ok()?;
    Some(text.split(' ').nth(1)? == "200")
}

fn settings(spec: &FleetSpec<'_>, name: &str, ip: IpAddr, zone: &str, first: bool) -> String {
    let mut zones: Vec<_> = spec.zones.to_vec();
    zones.sort_unstable();
    zones.dedup();
    let regions: String = zones
        .iter()
        .map(|z| format!("  {z}: \"kerala-west\"\n"))
        .collect();
    let seeds = (1..=spec.zones.len().min(3) as u8)
        .map(|n| format!("  - \"{}:{CONTROL_PORT}\"\n", spec.block.ip(n)));
    let seeds: String = seeds.collect();
    let (first_port, last_port) = PORT_RANGE;
    let store_port = spec.store_port;
    format!(
        r#"nodeName: "{name}"
role: "node"
machineClass: "front"
serves:
  - "front"
  - "control"
ip: "{ip}"
zone: "{zone}"
region: "kerala-west"
zones:
{regions}listen:
  front: "{ip}:{FRONT_PORT}"
  ready: "{ip}:{READY_PORT}"
  control: "{ip}:{CONTROL_PORT}"
portRange:
  - {first_port}
  - {last_port}
seeds:
{seeds}bootstrap: {first}
lossCounts: false
limits:
  cpuShare: 0.25
  cores: 1
  memoryMb: 260
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
beatIntervalMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "leader", "platform"]
faultTolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  maxStretchMs: 5000
  strictRevoke: false
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  budgetExtra: 56
  requireFence: false
  leaseMs: 3000
  thawSlackMs: 300
  reportWindowS: 5
  usageOff: 0.05
  usageLateS: 10
  recoverS: 12
  passMs: 120
  retryAfterS: 8.1
platform:
  address: "{ip}:{store_port}"
  form: "log"
  writesPerS: 400
  readsPerS: 2000
  parts: 12
  appendMs: 2.0
  partitionMbS: 20.0
  readMbS: 80.0
  recordBytes: 262144
  callBytes: 2097152
  keep_s: 300
  partMb: 200
  minTtlMs: 1000
cloud:
  address: "{ip}:{CLOUD_PORT}"
  ratePerS: 50.0
  duties:
    - "usage_report"
    - "autoscale"
  dutyPerS: 50.0
"#
    )
}

/// Waits until all VMs are ready.
pub(crate) fn wait_ready(vms: &[Vm], limit: Duration) -> Result<(), String> {
    let began = Instant::now();
    while !vms.iter().all(Vm::is_ready) {
        if began.elapsed() > limit {
            return Err("the VMs don't get ready".into());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}
