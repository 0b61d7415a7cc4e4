//! News of configuration and endpoints from VM to VM.
//!
//! One VM of each availability zone reads the platform; the others hold a call open to it and get what
//! changed. Whoever gets no fresh news reads the platform itself. Counts of requests travel the other way,
//! so that one VM of a zone stores them for all.

use {
    super::{Node, follow::FRESH},
    crate::{
        fleet::{Endpoint, ListChange},
        port::FeedKind,
        version::{Catalog, CatalogDoc},
    },
    clock::{Stamp, within},
    h1::{Headers, RequestHead, call},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    types::{Bytes, EndpointId, Incarnation, Version},
    usage::WindowCountRecord,
};

/// Path of the call.
pub(super) const NEWS_PATH: &str = "/news";
/// Time that the call waits for changes, and its limit beyond that: together they leave time for a read of
/// the platform within the shortest bound of a change.
const WAIT: Duration = Duration::from_millis(450);
const LIMIT: Duration = Duration::from_millis(450);
/// Largest accepted answer.
const MOST: Bytes = Bytes(8 * 1024 * 1024);
/// Pause between two looks whether the own news are fresh.
const FRESH_LOOK: Duration = Duration::from_millis(40);
/// Pause between two looks at who reads the platform.
const LOOK: Duration = Duration::from_millis(150);
/// Time that a VM reads the platform itself after it got no fresh news.
const ALONE: Duration = Duration::from_secs(4);
/// Shortest drain bound for which a second reader is asked: two calls without an answer and a read of the
/// platform take less.
const DEPUTY_DRAIN: Duration = Duration::from_millis(2_800);
/// Time that the platform gets at the start before any VM is asked.
const PLATFORM_FIRST: Duration = Duration::from_millis(600);
/// Pause between two rounds at the start.
const START_PAUSE: Duration = Duration::from_millis(700);

/// What a VM asks.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Ask {
    /// The process and number of the last change that the asker has.
    since: Option<(Incarnation, u64)>,
    /// The asker's configuration.
    version: Version,
    /// Its counts that changed.
    tallies: Vec<WindowCountRecord>,
    /// Whether to wait for changes.
    waits: bool,
}

/// What it is told.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Told {
    inc: Incarnation,
    next: u64,
    /// A newer configuration.
    catalog: Option<CatalogDoc>,
    /// All endpoints, unless the changes tell it.
    all: Option<Vec<Endpoint>>,
    changes: Vec<ListChange>,
    /// Milliseconds since the teller read configuration and endpoints from the platform; without bound
    /// while its list holds entries that lapsed in an outage.
    ages: [u64; 2],
}

/// Answers another VM.
pub(super) async fn tell(node: Arc<Node>, body: Vec<u8>) -> (u16, Vec<u8>) {
    let Ok(ask) = rmp_serde::from_slice::<Ask>(&body) else {
        return (400, Vec::new());
    };
    if node.catalog().is_none() {
        return (503, Vec::new());
    }
    if !ask.tallies.is_empty() {
        node.relayed.lock().extend(ask.tallies.iter().cloned());
    }
    if ask.waits {
        let waiting = async {
            // A VM that has just become its zone's reader has asked the platform, and will know in a moment.
            while !is_fresh(&node) {
                node.clock.sleep(FRESH_LOOK).await;
            }
            loop {
                let news = node.news.listen();
                if has_news(&node, &ask) {
                    return;
                }
                news.await;
            }
        };
        // Without news the answer tells how fresh the teller's view is.
        let waited = within(&*node.clock, WAIT, waiting).await;
        metrics::counter!("celerystage_news_told_total", "changed" => waited.is_ok().to_string())
            .increment(1);
    }
    match rmp_serde::to_vec(&told(&node, &ask)) {
        Ok(bytes) => (200, bytes),
        Err(e) => {
            log::error!(error:% = e; "news cannot be encoded");
            (500, Vec::new())
        }
    }
}

fn is_fresh(node: &Node) -> bool {
    let now = node.clock.now();
    let fresh = node.fresh.lock();
    let young = FeedKind::ALL.map(|kind| fresh.age(now, kind) < FRESH);
    young == [true; 2]
}

fn has_news(node: &Node, ask: &Ask) -> bool {
    let next = node.history.lock().next();
    let version = node.catalog().map(|c| c.doc.version);
    ask.since != Some((node.inc, next)) || version > Some(ask.version)
}

fn told(node: &Node, ask: &Ask) -> Told {
    let catalog = node.catalog();
    let newer = catalog.filter(|c| c.doc.version > ask.version);
    let registry = node.registry.lock();
    let history = node.history.lock();
    let since = ask.since.filter(|(inc, _)| *inc == node.inc);
    let changes = since.and_then(|(_, from)| history.since(from));
    let all = changes.is_none().then(|| registry.all().cloned().collect());
    let now = node.clock.now();
    let settled = registry.is_settled();
    let ages = FeedKind::ALL.map(|kind| {
        if !settled {
            return u64::MAX;
        }
        let age = node.fresh.lock().age(now, kind);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    });
    Told {
        inc: node.inc,
        next: history.next(),
        catalog: newer.map(|c| c.doc.clone()),
        all,
        changes: changes.unwrap_or_default(),
        ages,
    }
}

/// Which of a zone's readers is followed.
#[derive(Debug, Default)]
struct Turn {
    /// Place in the order of readers.
    at: usize,
    /// When the first one is tried again.
    until: Stamp,
}

impl Turn {
    fn pick(&mut self, now: Stamp, readers: &[SocketAddr]) -> Option<SocketAddr> {
        if now >= self.until || self.at >= readers.len() {
            self.at = 0;
        }
        readers.get(self.at).copied()
    }

    /// Turns to the next reader; false if none is left.
    fn pass(&mut self, now: Stamp, readers: usize) -> bool {
        self.at = (self.at + 1) % readers.max(1);
        self.until = now + ALONE;
        self.at != 0
    }
}

/// Follows the readers of this zone until it is dropped.
///
/// Answers this load: the store or the link of a zone's reader fails, and all VMs of the zone turn to the
/// store in the same moment. They turn to the next reader first, which does so alone.
pub(super) async fn follow_readers(node: Arc<Node>) {
    let drain = node.settings.rules.drain;
    let most = if drain >= DEPUTY_DRAIN { 2 } else { 1 };
    let mut since = None;
    let mut turn = Turn::default();
    loop {
        let now = node.clock.now();
        let mut readers = node.peers.lock().readers(now);
        readers.truncate(most);
        let picked = turn.pick(now, &readers);
        let (Some(reader), false) = (picked, node.reads_platform(now)) else {
            since = None;
            node.clock.sleep(LOOK).await;
            continue;
        };
        let addr = SocketAddr::new(reader.ip(), node.settings.control.port());
        let asked = ask(&node, addr, since, true).await;
        let fresh = |age: &u64| u128::from(*age) < FRESH.as_millis();
        match asked {
            Ok(told) if told.ages.iter().all(fresh) => {
                since = Some((told.inc, told.next));
                take_in(&node, told);
                continue;
            }
            Ok(told) => log::info!(reader:% = addr, ages:? = told.ages; "reader's news are old"),
            Err(cause) => log::info!(reader:% = addr, cause = cause.as_str(); "reader lost"),
        }
        if turn.pass(node.clock.now(), readers.len()) {
            // The next reader notices at the same time and needs a moment to read.
            node.clock.sleep(LOOK).await;
        } else {
            log::info!(readers = readers.len(); "no fresh news, reading the platform");
            node.read_alone(now + ALONE);
        }
    }
}

/// Asks other VMs at the start until this one knows a configuration and endpoints, however old.
pub(super) async fn fetch_first(node: Arc<Node>) {
    node.clock.sleep(PLATFORM_FIRST).await;
    while !node.is_ready() {
        for addr in sources(&node) {
            match ask(&node, addr, None, false).await {
                Ok(told) => {
                    log::info!(peer:% = addr, ages:? = told.ages; "configuration and endpoints taken from another VM");
                    take_in(&node, told);
                    return;
                }
                Err(cause) => {
                    log::debug!(peer:% = addr, cause = cause.as_str(); "VM tells nothing");
                }
            }
        }
        node.clock.sleep(START_PAUSE).await;
    }
}

/// Control addresses of seeds and of VMs that were heard.
fn sources(node: &Node) -> Vec<SocketAddr> {
    let own = node.settings.control;
    let heard = node.peers.lock().sample(node.clock.now());
    let heard = heard.iter().map(|a| SocketAddr::new(a.ip(), own.port()));
    let mut all: Vec<_> = node.settings.seeds.iter().copied().chain(heard).collect();
    all.retain(|a| *a != own);
    all.dedup();
    all
}

async fn ask(
    node: &Node,
    addr: SocketAddr,
    since: Option<(Incarnation, u64)>,
    waits: bool,
) -> Result<Told, String> {
    let changed = if waits {
        node.tally.lock().take_changed()
    } else {
        Vec::new()
    };
    let windows: Vec<u64> = changed.iter().map(|(window, _)| *window).collect();
    let ask = Ask {
        since,
        version: node.catalog().map_or(Version::default(), |c| c.doc.version),
        tallies: node.tally_records(changed),
        waits,
    };
    let body = rmp_serde::to_vec(&ask).map_err(|e| e.to_string())?;
    let head = RequestHead {
        method: "POST".into(),
        target: NEWS_PATH.into(),
        minor_version: 1,
        headers: Headers::default(),
    };
    let limits = (WAIT + LIMIT, MOST);
    let answer = call(&*node.clock, &node.pool, addr, (head, &body), limits).await;
    let told = match answer {
        Ok(answer) if answer.head.status == 200 => {
            rmp_serde::from_slice(&answer.body).map_err(|e| e.to_string())
        }
        Ok(answer) => Err(format!("status {}", answer.head.status)),
        Err(e) => Err(e.to_string()),
    };
    if told.is_err() {
        let mut tally = node.tally.lock();
        windows
            .into_iter()
            .for_each(|window| tally.mark_changed(window));
    }
    told
}

fn take_in(node: &Node, told: Told) {
    if let Some(doc) = told.catalog {
        node.apply(Arc::new(Catalog::new(doc)));
    }
    if let Some(all) = told.all {
        let listed: Vec<EndpointId> = all.iter().map(|e| e.id.clone()).collect();
        all.into_iter().for_each(|e| node.list(e));
        node.missing(&listed).iter().for_each(|id| node.forget(id));
    }
    for change in told.changes {
        match change {
            ListChange::Listed(endpoint) => node.list(endpoint),
            ListChange::Gone(id) => node.forget(&id),
        }
    }
}
