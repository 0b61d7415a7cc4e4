//! A client of slot leases and its home, with the messages between them in the hands of the test.

use {
    super::{
        Dispatcher, LeaseClient, LeaseServer, PeerSink, PolicySettings, Scheduler, SlotRequest,
    },
    async_executor::Executor,
    clock::{Instant, SystemClock},
    mesh::{Authenticator, LinkMsg, MeshNode},
    parking_lot::Mutex,
    route::Requirements,
    std::{sync::Arc, time::Duration},
    types::{Incarnation, Tier, Tokens, VmId, ZoneId},
    wire::Client,
};

const MODEL: &str = "surveyor-llm";

/// Keeps the messages that are sent.
#[derive(Default)]
struct FakeSink(Mutex<Vec<LinkMsg>>);

impl FakeSink {
    fn take(&self) -> Vec<LinkMsg> {
        std::mem::take(&mut *self.0.lock())
    }
}

impl PeerSink for FakeSink {
    fn queue(&self, _: &VmId, msg: LinkMsg) {
        self.0.lock().push(msg);
    }
}

struct TestVm {
    vm: VmId,
    ex: Arc<Executor<'static>>,
    sink: Arc<FakeSink>,
    client: Arc<LeaseClient>,
    server: Arc<LeaseServer>,
}

fn zone() -> ZoneId {
    "calicut".parse().unwrap()
}

impl TestVm {
    fn new(name: &str) -> Self {
        let clock = SystemClock::shared();
        let vm: VmId = name.parse().unwrap();
        let auth = Authenticator::new(Vec::new());
        let http = Client::new(clock.clone());
        let node = MeshNode::new(vm.clone(), Incarnation(1), auth, http, clock.clone());
        let scheduler = Scheduler::new(clock.clone(), PolicySettings::default());
        let (ex, sink) = (
            Arc::<Executor<'static>>::default(),
            Arc::<FakeSink>::default(),
        );
        let server = LeaseServer::new(
            node.clone(),
            scheduler.clone(),
            sink.clone(),
            ex.clone(),
            clock.clone(),
        );
        let client = LeaseClient::new(zone(), node, scheduler, server.clone(), sink.clone(), clock);
        Self {
            vm,
            ex,
            sink,
            client,
            server,
        }
    }

    fn run(&self) {
        while self.ex.try_tick() {}
    }
}

fn request() -> SlotRequest {
    SlotRequest {
        serves: MODEL.parse().unwrap(),
        org: "rice-mill".parse().unwrap(),
        weight: 1,
        class: "summary".parse().unwrap(),
        tier: Tier(1),
        arrived: Instant::default(),
        deadline: Instant::default() + Duration::from_secs(60),
        prompt_tokens: Tokens(10),
        requirements: Requirements {
            tier: Tier(1),
            idempotent: true,
            prefix_hash: 0,
            inter_token: Duration::from_millis(40),
            avoid: Vec::new(),
        },
        resumed: false,
    }
}

/// A request waited without end at a home that had restarted, or whose reply was lost.
#[test]
fn request_that_its_home_does_not_know_is_sent_again() {
    let (vm, home) = (TestVm::new("vm-1"), TestVm::new("vm-2"));
    let ranking = ((zone(), MODEL.parse().unwrap()), vec![home.vm.clone()]);
    vm.client.set_homes([ranking].into());
    let client = vm.client.clone();
    let waiting = vm.ex.spawn(async move { client.acquire(request()).await });
    vm.run();
    // The home doesn't get this one.
    let asks = vm.sink.take();
    assert!(matches!(asks[..], [LinkMsg::Ask(_)]), "{asks:?}");
    vm.client.send_heartbeats();
    let heartbeats = vm.sink.take();
    assert!(
        matches!(heartbeats[..], [LinkMsg::Held(_)]),
        "{heartbeats:?}"
    );
    for msg in heartbeats {
        home.server.handle(&vm.vm, msg);
    }
    for msg in home.sink.take() {
        vm.client.handle(&home.vm, msg);
    }
    vm.run();
    let asks = vm.sink.take();
    assert!(matches!(asks[..], [LinkMsg::Ask(_)]), "{asks:?}");
    // One that the home knows is not sent again.
    for msg in asks {
        home.server.handle(&vm.vm, msg);
    }
    vm.client.send_heartbeats();
    for msg in vm.sink.take() {
        home.server.handle(&vm.vm, msg);
    }
    assert!(home.sink.take().is_empty());
    drop(waiting);
}
