//! The router under test.

use {
    super::{
        endpoint::FIRST_START,
        fakes::{FakeDutyApi, FakeFeed, FakeHeaderCodec, FakeLog},
    },
    clock::SystemClock,
    daemon::{AdminPages, Readiness},
    futures_lite::FutureExt,
    relay::{
        Adapter, CallerLimits, Config, ConfigDoc, Endpoint, EngineSpec, FeedChange, FeedKind,
        NodeProcess, NodeSettings, Org, PlatformBounds, Route, RouteKind, Service, run_node,
    },
    std::{
        io::{Read, Write},
        net::{IpAddr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, LazyLock,
            atomic::{AtomicU16, Ordering::SeqCst},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    types::{Bytes, Tier, Tokens, Version},
    wire::StopSignal,
};

/// Timeout of all waits in the tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The port after the last one that was given out. Ports are below the range of which the system
/// gives ports to sockets that ask for any, so that none is taken before the router listens.
/// Each test process begins at another port, as several may run at the same time.
static NEXT_PORT: LazyLock<AtomicU16> = LazyLock::new(|| {
    let block = std::process::id() % PORT_BLOCKS;
    AtomicU16::new(FIRST_PORT + BLOCK_PORTS * block as u16)
});
const FIRST_PORT: u16 = 10_000;
const PORT_BLOCKS: u32 = 88;
const BLOCK_PORTS: u16 = 250;

/// An address that nothing listens on.
pub(crate) fn free_addr() -> SocketAddr {
    loop {
        let port = NEXT_PORT.fetch_add(1, SeqCst);
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// A route for all paths of host `h`.
pub(crate) fn route(kind: RouteKind) -> Route {
    Route {
        id: "r".parse().unwrap(),
        host: "h".into(),
        prefix: "/".into(),
        kind,
        timeout: Duration::from_secs(8),
        target: Duration::from_millis(400),
        pause: Some(Duration::from_millis(200)),
        tier: Tier(1),
        split: vec![("s".parse().unwrap(), 1.0)],
        attempts: 2,
        open: true,
    }
}

/// A configuration with one route and its services.
pub(crate) fn config_change(version: u64, route: Route) -> FeedChange {
    let engine = route.kind.is_stream().then_some(EngineSpec {
        slots: 8,
        memory: Tokens(100_000),
        stride: 3,
    });
    let service = Service {
        engine,
        ..Service::default()
    };
    let org = Org {
        id: "acme".parse().unwrap(),
        tier: None,
        keys: vec!["secret".into()],
    };
    FeedChange::Config(Arc::new(Config::new(ConfigDoc {
        version: Version(version),
        services: route
            .split
            .iter()
            .map(|(id, _)| (id.clone(), service.clone()))
            .collect(),
        routes: vec![route],
        orgs: Some(vec![org]),
        limits: CallerLimits::default(),
    })))
}

/// An endpoint of service `s`.
pub(crate) fn endpoint(id: &str, addr: SocketAddr) -> Endpoint {
    Endpoint {
        id: id.parse().unwrap(),
        service: "s".parse().unwrap(),
        addr,
        zone: "z".parse().unwrap(),
        slots: 8,
        leaving: false,
        cheap: false,
        cold: Duration::ZERO,
        born: FIRST_START,
        release: Some("r1".parse().unwrap()),
        sequence: None,
    }
}

/// What a router is started with.
pub(crate) struct RouterSpec {
    pub(crate) config: Option<FeedChange>,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) feed: Arc<FakeFeed>,
    pub(crate) log: Arc<FakeLog>,
    pub(crate) name: &'static str,
    /// Availability zone of the VM.
    pub(crate) zone: &'static str,
    /// Address of the VM. The VMs of one fleet have different addresses and the same ports.
    pub(crate) ip: IpAddr,
    pub(crate) ports: Ports,
    /// Time after which a leaving endpoint may receive no more requests.
    pub(crate) drain: Duration,
    /// Whether the whole system starts for the first time.
    pub(crate) first_start: bool,
}

/// The ports that all VMs of a fleet listen on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ports([u16; 5]);

impl Ports {
    pub(crate) fn free() -> Self {
        Self(std::array::from_fn(|_| free_addr().port()))
    }
}

impl RouterSpec {
    pub(crate) fn new(kind: RouteKind, endpoints: Vec<Endpoint>) -> Self {
        Self {
            config: Some(config_change(1, route(kind))),
            endpoints,
            seeds: Vec::new(),
            feed: Arc::default(),
            log: Arc::default(),
            name: "vm-1",
            zone: "z",
            ip: IpAddr::from([127, 0, 0, 1]),
            ports: Ports::free(),
            drain: Duration::from_secs(2),
            first_start: true,
        }
    }
}

/// A running router.
pub(crate) struct Router {
    pub(crate) front: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) feed: Arc<FakeFeed>,
    pub(crate) duty_api: Arc<FakeDutyApi>,
    pub(crate) stop: StopSignal,
    killed: StopSignal,
    thread: Option<JoinHandle<()>>,
}

impl Router {
    /// Starts a router with these endpoints and waits until it is ready.
    pub(crate) fn with(kind: RouteKind, endpoints: Vec<Endpoint>) -> Self {
        let router = Self::start(RouterSpec::new(kind, endpoints));
        router.wait_ready();
        router
    }

    pub(crate) fn start(spec: RouterSpec) -> Self {
        let feed = spec.feed;
        if let Some(config) = spec.config {
            feed.push(FeedKind::Configuration, config);
        }
        for endpoint in spec.endpoints {
            feed.push(FeedKind::Endpoints, FeedChange::Listed(endpoint));
        }
        let mut settings = settings(spec.name, spec.seeds, (spec.ip, spec.ports));
        settings.zone = spec.zone.parse().unwrap();
        settings.bounds.endpoint_drain = spec.drain;
        settings.first_start = spec.first_start;
        let duty_api: Arc<FakeDutyApi> = Arc::default();
        let (stop, killed) = (StopSignal::default(), StopSignal::default());
        let router = Self {
            front: settings.front,
            ready: settings.ready,
            control: settings.control,
            peers: settings.peers,
            feed: feed.clone(),
            duty_api: duty_api.clone(),
            stop: stop.clone(),
            killed: killed.clone(),
            thread: None,
        };
        let adapter = Adapter {
            settings,
            codec: Arc::new(FakeHeaderCodec),
            feed,
            log: spec.log,
            duty_api,
        };
        let process = NodeProcess {
            ex: Arc::default(),
            clock: SystemClock::shared(),
            stop,
            ready: Readiness::default(),
            pages: AdminPages::default(),
        };
        let thread = thread::spawn(move || {
            let ex = process.ex.clone();
            let kill = async {
                killed.wait().await;
                Ok(())
            };
            async_io::block_on(ex.run(run_node(process, adapter).or(kill))).unwrap();
        });
        Self {
            thread: Some(thread),
            ..router
        }
    }

    pub(crate) fn wait_ready(&self) {
        self.wait_for(|| self.readiness() == Some(200));
    }

    /// Status of the readiness check.
    pub(crate) fn readiness(&self) -> Option<u16> {
        let mut socket = TcpStream::connect(self.ready).ok()?;
        socket
            .write_all(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
            .ok()?;
        let mut text = String::new();
        socket.read_to_string(&mut text).ok()?;
        text.split(' ').nth(1)?.parse().ok()
    }

    pub(crate) fn wait_for(&self, mut done: impl FnMut() -> bool) {
        let begun = Instant::now();
        while !done() {
            assert!(begun.elapsed() < WAIT_TIMEOUT, "waited too long");
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.front).unwrap();
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        socket
    }

    /// Sends bytes on a new connection and reads until the router closes it.
    pub(crate) fn exchange(&self, bytes: &[u8]) -> String {
        let mut socket = self.connect();
        socket.write_all(bytes).unwrap();
        let mut response = Vec::new();
        // After a reset, what was read so far is kept.
        let _ = socket.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Ends the router abruptly: none of its tasks runs any more. Its sockets stay open, like those
    /// of a VM that has lost power.
    pub(crate) fn kill(self) {
        self.killed.trigger();
        self.join();
    }

    /// Waits until a stopped router has ended.
    pub(crate) fn join(mut self) {
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

/// Head of a successful response of a scripted endpoint, with the request id that it echoes.
pub(crate) fn response_head(id: &str, fields: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\n{fields}\r\n")
}

fn settings(name: &str, seeds: Vec<SocketAddr>, (ip, ports): (IpAddr, Ports)) -> NodeSettings {
    let addr = |at: usize| SocketAddr::new(ip, ports.0[at]);
    NodeSettings {
        vm: name.parse().unwrap(),
        zone: "z".parse().unwrap(),
        front: addr(0),
        ready: addr(1),
        control: addr(2),
        peers: addr(3),
        metrics: addr(4),
        seeds,
        millicores: 1_000,
        max_fds: 1_000,
        memory: Bytes(100 << 20),
        bounds: PlatformBounds {
            stop_grace: Duration::from_secs(4),
            config_apply: Duration::from_secs(2),
            endpoint_drain: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_reserve: 56.0,
            lease: Duration::from_secs(3),
            usage_window: Duration::from_secs(5),
            report_due: Duration::from_secs(10),
        },
        first_start: true,
        reports_usage: true,
        orders_capacity: false,
    }
}
