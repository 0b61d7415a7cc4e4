//! The platform's way of giving new connections to machines: readiness is asked once a second, two misses take a
//! machine out, and while fewer than half are in, all are used.

use {
    crate::node::is_ready,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Debug, Default, Clone, Copy)]
struct Member {
    misses: u32,
}

/// The machines in rotation, and since when the process of each runs undisturbed.
#[derive(Debug, Clone)]
pub struct Vip {
    fronts: Arc<Vec<SocketAddr>>,
    members: Arc<Mutex<Vec<Member>>>,
    calm_since: Arc<Mutex<Vec<Option<Instant>>>>,
}

impl Vip {
    pub fn start(fronts: Vec<SocketAddr>) -> Self {
        let count = fronts.len();
        let vip = Self {
            fronts: Arc::new(fronts),
            members: Arc::new(Mutex::new(vec![Member::default(); count])),
            calm_since: Arc::new(Mutex::new(vec![Some(Instant::now()); count])),
        };
        for at in 0..count {
            let (vip, ip): (Vip, IpAddr) = (vip.clone(), vip.fronts[at].ip());
            thread::spawn(move || {
                loop {
                    let ready = is_ready(ip);
                    let mut members = vip.members.lock().unwrap();
                    members[at].misses = if ready { 0 } else { members[at].misses + 1 };
                    drop(members);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        vip
    }

    /// The machine that a new connection goes to; `draw` is in [0, 1).
    pub fn choose(&self, draw: f64) -> (usize, SocketAddr) {
        let members = self.members.lock().unwrap();
        let mut usable: Vec<_> = (0..members.len())
            .filter(|at| members[*at].misses < 2)
            .collect();
        if usable.len() * 2 < members.len() {
            usable = (0..members.len()).collect();
        }
        let at = usable[(draw * usable.len() as f64) as usize];
        (at, self.fronts[at])
    }

    /// Notes that the process of a machine was started, or ended.
    pub fn set_runs(&self, at: usize, runs: bool) {
        self.calm_since.lock().unwrap()[at] = runs.then(Instant::now);
    }

    /// Whether a machine is in touch: its process has run undisturbed for `contactMs`.
    pub fn in_touch(&self, at: usize) -> bool {
        let since = self.calm_since.lock().unwrap()[at];
        since.is_some_and(|t| t.elapsed() >= Duration::from_millis(3_000))
    }
}
