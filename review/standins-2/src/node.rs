//! The processes of the system, one for each machine, started with the command of the deploy file.

use {
    crate::{Network, record::Record},
    std::{
        fs::{self, File},
        io::{Read, Write},
        net::{IpAddr, SocketAddr, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
};

pub const FRONT_PORT: u16 = 8740;
const READY_PORT: u16 = 8749;
const CONTROL_PORT: u16 = 8748;
pub const STORE_PORT: u16 = 8742;
pub const CLOUD_PORT: u16 = 8743;
pub const REPLICA_PORT: u16 = 8080;
/// Numbers of the platform's address and of the first replica's in a network.
pub const PLATFORM: u8 = 200;
pub const FIRST_REPLICA: u8 = 100;
/// Command of the deploy file.
pub const PROGRAM: &str = "target/release/celery-node";

/// A temporary folder that is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> Self {
        let name = format!("review-2-{}-{}", std::process::id(), crate::unix_ms());
        let path = std::env::temp_dir().join(name);
        if let Err(e) = fs::create_dir_all(&path) {
            crate::fail(&format!("no temporary folder: {e}"));
        }
        crate::FOLDERS.lock().unwrap().push(path.clone());
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        } else {
            println!("logs of the nodes: {}", self.0.display());
        }
    }
}

/// One machine.
pub struct Node {
    pub name: String,
    ip: IpAddr,
    child: Option<Child>,
    /// The program that it runs.
    pub program: String,
    settings: PathBuf,
    log: PathBuf,
    body: String,
}

/// The machines of the system. Their processes are killed at the end.
pub struct Fleet {
    pub nodes: Vec<Node>,
    record: Record,
    _folder: Folder,
}

impl Fleet {
    /// Starts one machine in each entry of `zones`.
    pub fn start(net: Network, zones: &[&str], record: &Record) -> Self {
        Self::start_with(PROGRAM, net, zones, record)
    }

    /// The same with another program at first.
    pub fn start_with(program: &str, net: Network, zones: &[&str], record: &Record) -> Self {
        if !Path::new(PROGRAM).exists() || !Path::new(program).exists() {
            crate::fail("the program isn't built");
        }
        let folder = Folder::create();
        let count = zones.len();
        let seeds: Vec<_> = (1..=count.min(3)).map(|n| net.ip(n as u8)).collect();
        let nodes = zones.iter().enumerate().map(|(at, zone)| {
            let name = format!("front-{zone}-{}", at + 1);
            let ip = net.ip(at as u8 + 1);
            let body = settings(&name, zone, ip, &seeds, net, zones);
            Node {
                settings: folder.0.join(format!("{name}.yaml")),
                log: folder.0.join(format!("{name}.log")),
                name,
                ip,
                child: None,
                program: program.to_owned(),
                body,
            }
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            record: record.clone(),
            _folder: folder,
        };
        for at in 0..count {
            fleet.start_node(at, true);
        }
        fleet
    }

    /// Starts the process of a machine.
    pub fn start_node(&mut self, at: usize, first: bool) {
        let node = &mut self.nodes[at];
        let text = format!("{}bootstrap: {first}\n", node.body);
        let log = File::options().create(true).append(true).open(&node.log);
        let (Ok(()), Ok(log)) = (fs::write(&node.settings, text), log) else {
            crate::fail("cannot write to the temporary folder");
        };
        let Ok(errors) = log.try_clone() else {
            crate::fail("cannot write to the temporary folder");
        };
        let mut command = Command::new(&node.program);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("CELERYSTAGE_NODE_FILE", &node.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        match command.spawn() {
            Ok(child) => {
                crate::STARTED.lock().unwrap().push(child.id());
                node.child = Some(child);
            }
            Err(e) => crate::fail(&format!("cannot start a node: {e}")),
        }
        let name = node.name.clone();
        self.record.say(format!("{name} started"));
    }

    /// SIGKILL.
    pub fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.end();
        let name = node.name.clone();
        self.record.say(format!("{name} killed"));
    }

    /// SIGTERM, then SIGKILL after `graceS` unless the process has ended.
    pub fn stop(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(child) = &mut node.child else {
            return;
        };
        let name = node.name.clone();
        self.record.say(format!("{name}: SIGTERM"));
        crate::signal(child.id(), "TERM");
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(8) {
            if child.try_wait().is_ok_and(|s| s.is_some()) {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill(at);
    }

    /// Waits until all machines say that they are ready.
    pub fn wait_ready(&mut self) {
        for _ in 0..200 {
            if self.nodes.iter().all(Node::is_ready) {
                self.record.say("all nodes are ready");
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.end();
        crate::fail("the nodes don't get ready");
    }
}

impl Fleet {
    /// Ends all processes.
    fn end(&mut self) {
        self.nodes.iter_mut().for_each(Node::end);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

impl Node {
    /// Ends its process.
    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let id = child.id();
            let _ = child.kill();
            let _ = child.wait();
            crate::STARTED.lock().unwrap().retain(|s| *s != id);
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// The platform's readiness check.
    pub fn is_ready(&self) -> bool {
        is_ready(self.ip)
    }

    pub fn ip(&self) -> IpAddr {
        self.ip
    }
}

/// The platform's readiness check of the machine at an address.
pub fn is_ready(ip: IpAddr) -> bool {
    let addr = SocketAddr::new(ip, READY_PORT);
    let limit = Duration::from_millis(500);
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, limit) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let mut answer = [0; 12];
    stream.write_all(request).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.ends_with(b"200")
}

fn settings(
    name: &str,
    zone: &str,
    ip: IpAddr,
    seeds: &[IpAddr],
    net: Network,
    zones: &[&str],
) -> String {
    let seeds = seeds
        .iter()
        .map(|s| format!("  - \"{s}:{CONTROL_PORT}\"\n"));
    let seeds: String = seeds.collect();
    let mut names: Vec<_> = zones.to_vec();
    names.sort_unstable();
    names.dedup();
    let names: String = names.iter().map(|z| format!("  {z}: \"r\"\n")).collect();
    let platform = net.ip(PLATFORM);
    format!(
        r#"nodeName: "{name}"
role: "node"
machineClass: "front"
serves: ["front", "control"]
ip: "{ip}"
zone: "{zone}"
region: "r"
zones:
{names}listen:
  front: "{ip}:{FRONT_PORT}"
  ready: "{ip}:{READY_PORT}"
  control: "{ip}:{CONTROL_PORT}"
portRange: [7200, 7215]
seeds:
{seeds}lossCounts: false
limits: {{cpuShare: 0.25, cores: 1, memoryMb: 260, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}}
dataDir: null
discovery: "platform"
entry: "vip"
beatIntervalMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "leader", "platform"]
faultTolerance: {{machines: 1, zones: 1, regions: 0}}
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
  address: "{platform}:{STORE_PORT}"
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
  address: "{platform}:{CLOUD_PORT}"
  ratePerS: 50.0
  duties: ["usage_report", "autoscale"]
  dutyPerS: 50.0
"#
    )
}
