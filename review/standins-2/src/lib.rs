//! Stand-ins of the users' platform for the scripts of the second review: the store, the duty calls, replicas,
//! and clients, which speak to `celery-node` processes over loopback. Standard library only.

pub mod client;
pub mod http;
pub mod node;
pub mod record;
pub mod replica;
pub mod store;
pub mod streams;
pub mod vip;

use std::{
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{self, Command},
    sync::{Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Whether the script runs with its disruption: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or(Duration::ZERO).as_millis() as u64
}

/// A loopback network of its own for one run: its addresses end with the number given.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    high: u8,
    low: u8,
}

impl Network {
    /// Finds a block in which nothing listens.
    pub fn new() -> Self {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_nanos() as u64);
        let mut seed = (u64::from(process::id()) << 40) ^ nanos;
        for _ in 0..200 {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let net = Self {
                high: 1 + (seed >> 33) as u8 % 250,
                low: (seed >> 45) as u8,
            };
            let free = (1..=3).all(|n| TcpListener::bind(net.at(n, node::FRONT_PORT)).is_ok())
                && TcpListener::bind(net.at(node::PLATFORM, node::STORE_PORT)).is_ok();
            if free {
                return net;
            }
        }
        fail("no free loopback addresses");
    }

    /// An address of the block.
    pub fn ip(self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.high, self.low, number))
    }

    /// An address and port of the block.
    pub fn at(self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(number), port)
    }
}

impl Default for Network {
    fn default() -> Self {
        Self::new()
    }
}

/// Processes that run, and folders that have to go, by the end of the run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends the run because the case couldn't run, and all processes that it has started.
pub fn fail(text: &str) -> ! {
    println!("cannot run: {text}");
    let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    started.iter().for_each(|id| signal(*id, "KILL"));
    let folders = FOLDERS.lock().unwrap_or_else(PoisonError::into_inner);
    for folder in folders.iter() {
        let _ = fs::remove_dir_all(folder);
    }
    process::exit(2)
}

/// Sends a signal to a process that this one has started.
fn signal(id: u32, name: &str) {
    let _ = Command::new("sh")
        .args(["-c", &format!("kill -{name} {id}")])
        .status();
}

/// Numbers in [0, 1) that look drawn.
#[derive(Debug, Clone)]
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0x2545_F491_4F6C_DD1D)
    }

    pub fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}
