//! VMs, each with a `celery-node` process started as the deploy file says, and the platform.

use {
    crate::{
        process,
        record::Record,
        replica::{Replica, ReplicaSpec, Runs, Work},
        store::{Store, listen_cloud},
    },
    std::{
        fs::{self, File},
        io::{Read, Write},
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        path::PathBuf,
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
pub const TENANT: &str = "huka270";
/// A key that an operator takes away, and its tenant.
pub const OTHER_KEY: &str = "wsjnbanfqasnmgkcuyj8";
pub const OTHER_TENANT: &str = "puhu251";
/// `contactMs`, `configApplyMs` and `drainMs` of the site file.
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
pub const DRAIN: Duration = Duration::from_millis(2_000);

const FRONT: u16 = 8740;
const CONTROL: u16 = 8748;
const READY: u16 = 8749;

pub struct Vm {
    pub ip: IpAddr,
    zone: String,
    name: String,
    child: Option<Child>,
}

impl Vm {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }
}

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub runs: Runs,
    pub vms: Vec<Vm>,
    block: [u8; 2],
    dir: PathBuf,
}

impl Fleet {
    /// Prepares a fleet with a VM in each of `zones`; nothing runs yet but the platform.
    pub fn prepare(record: &Record, zones: &[&str], config: &str) -> Self {
        let block = free_block();
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("no temporary folder");
        let ip = |n: u8| IpAddr::V4(Ipv4Addr::new(127, block[0], block[1], n));
        let fleet = Self {
            record: record.clone(),
            store: Store::default(),
            runs: Runs::default(),
            vms: zones
                .iter()
                .enumerate()
                .map(|(number, zone)| Vm {
                    ip: ip(10 + number as u8),
                    zone: (*zone).into(),
                    name: format!("front-{zone}-{}", zones.len() - number),
                    child: None,
                })
                .collect(),
            block,
            dir,
        };
        fleet.store.put("keyed.op", "config", config);
        for number in 0..fleet.vms.len() {
            let store = fleet.store_addr(number);
            fleet
                .store
                .listen(number, store)
                .expect("the store can't listen");
            let cloud = fleet.cloud_addr(number);
            listen_cloud(number, cloud, record).expect("the platform can't listen");
        }
        fleet
    }

    pub fn ip(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.block[0], self.block[1], number))
    }

    fn store_addr(&self, vm: usize) -> SocketAddr {
        SocketAddr::new(self.ip(100 + vm as u8), 8742)
    }

    fn cloud_addr(&self, vm: usize) -> SocketAddr {
        SocketAddr::new(self.ip(130 + vm as u8), 8743)
    }

    /// What a replica with this number is started with.
    pub fn replica_spec(
        &self,
        number: u8,
        service: &'static str,
        zone: &str,
        work: Work,
    ) -> ReplicaSpec {
        ReplicaSpec {
            id: format!("i-7f3a91{number:02x}"),
            service,
            zone: zone.into(),
            addr: SocketAddr::new(self.ip(160 + number), 8625),
            work,
            unframed: false,
        }
    }

    pub fn start_replica(&self, spec: ReplicaSpec) -> Replica {
        Replica::start(spec, &self.record, &self.runs, &self.store)
    }

    fn settings(&self, vm: usize, bootstrap: bool) -> String {
        let machine = &self.vms[vm];
        let (ip, zone, name) = (machine.ip, &machine.zone, &machine.name);
        let seeds: Vec<String> = self
            .vms
            .iter()
            .take(3)
            .map(|v| format!("  - \"{}:{CONTROL}\"\n", v.ip))
            .collect();
        let mut zones: Vec<String> = self
            .vms
            .iter()
            .map(|v| format!("  {}: \"r1\"\n", v.zone))
            .collect();
        zones.sort();
        zones.dedup();
        format!(
            "nodeName: \"{name}\"\nrole: \"node\"\nmachineClass: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"r1\"\nzones:\n{}listen:\n  front: \"{ip}:{FRONT}\"\n  ready: \"{ip}:{READY}\"\n  control: \"{ip}:{CONTROL}\"\n\
             portRange:\n  - 7200\n  - 7215\nseeds:\n{}bootstrap: {bootstrap}\nlossCounts: false\n\
             limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n\
             dataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nbeatIntervalMs: 1200\n\
             faultTolerance:\n  machines: 1\n  zones: 1\n  regions: 0\n\
             bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 3000\n  ackMs: 4000\n  catchUpS: 4\n  drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n  \
             configApplyMs: 2000\n  rollbackSlackMs: 250\n  maxStretchMs: 5000\n  strictRevoke: false\n  revokeMs: 5000\n  retryBudgetRatio: 0.2\n  \
             budgetWindowS: 10\n  budgetExtra: 56\n  requireFence: false\n  leaseMs: 3000\n  thawSlackMs: 300\n  reportWindowS: 5\n  usageOff: 0.05\n  \
             usageLateS: 10\n  recoverS: 12\n  passMs: 120\n  retryAfterS: 8.1\n\
             platform:\n  address: \"{}\"\n  form: \"log\"\n  writesPerS: 400\n  readsPerS: 2000\n  parts: 12\n  appendMs: 2.0\n  partitionMbS: 20.0\n  \
             readMbS: 80.0\n  recordBytes: 262144\n  callBytes: 2097152\n  keep_s: 300\n  partMb: 200\n  minTtlMs: 1000\n\
             cloud:\n  address: \"{}\"\n  ratePerS: 50.0\n  duties:\n    - \"usage_report\"\n    - \"autoscale\"\n  dutyPerS: 50.0\n",
            zones.concat(),
            seeds.concat(),
            self.store_addr(vm),
            self.cloud_addr(vm),
        )
    }

    /// Starts the process of a VM.
    pub fn start_vm(&mut self, vm: usize, bootstrap: bool) {
        let name = self.vms[vm].name.clone();
        let path = self.dir.join(format!("{name}.yaml"));
        fs::write(&path, self.settings(vm, bootstrap)).expect("settings can't be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")));
        let log = log.expect("no log file");
        let mut command = Command::new("target/release/celery-node");
        command
            .env_clear()
            .env("CELERYSTAGE_NODE_FILE", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("no log file"))
            .stderr(log);
        let child = process::spawn(&mut command);
        self.vms[vm].child = Some(child.expect("target/release/celery-node can't be started"));
        self.record.note(format!("{name} started"));
    }

    /// Starts all VMs for the first time and waits until they are ready.
    pub fn start_all(&mut self) {
        self.start_first(self.vms.len());
    }

    /// The same for the first `vms` of them; the others may be added later.
    pub fn start_first(&mut self, vms: usize) {
        for vm in 0..vms {
            self.start_vm(vm, true);
        }
        for vm in 0..vms {
            assert!(
                self.wait_ready(vm, Duration::from_secs(15)),
                "a VM isn't ready"
            );
        }
        self.record.note(format!("{vms} VMs are ready"));
    }

    pub fn wait_ready(&self, vm: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready(vm) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self, vm: usize) -> bool {
        let addr = SocketAddr::new(self.vms[vm].ip, READY);
        let Ok(mut socket) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) else {
            return false;
        };
        let _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
        let asked =
            socket.write_all(b"GET /ready HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n");
        let mut answer = [0_u8; 12];
        asked.is_ok() && socket.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
    }

    pub fn signal(&self, vm: usize, signal: i32) {
        let machine = &self.vms[vm];
        self.record
            .note(format!("{}: signal {signal}", machine.name));
        if let Some(child) = &machine.child {
            process::signal(child, signal);
        }
    }

    /// Kills the process of a VM.
    pub fn kill(&mut self, vm: usize) {
        if let Some(mut child) = self.vms[vm].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(format!("{} killed", self.vms[vm].name));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in 0..self.vms.len() {
            self.kill(vm);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Two middle bytes of loopback addresses whose ports are free.
fn free_block() -> [u8; 2] {
    let id = std::process::id();
    for turn in 0..200_u32 {
        let number = id.wrapping_add(turn * 7919);
        let block = [1 + (number >> 8 & 0x7f) as u8, 1 + (number % 250) as u8];
        let ip = IpAddr::V4(Ipv4Addr::new(127, block[0], block[1], 10));
        if [FRONT, READY, CONTROL, 7200, 7201]
            .iter()
            .all(|p| TcpListener::bind((ip, *p)).is_ok())
        {
            return block;
        }
    }
    panic!("no free loopback addresses");
}
