//! What one VM knows of the releases that streams began at, and what it tells others of them.

use {
    super::{
        Known, Origin, OriginAsk, OriginNews, OriginRecord, OriginTable, ReleaseHistory, StreamKey,
        askers::Askers, assignments::Assignments, doubt_queue::DoubtQueue, origin_log::OriginLog,
        origin_queries::OriginQueries, relay_queue::RelayQueue, reweighted::Reweighted,
        weights::Weights,
    },
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::{Release, ServiceId},
};

/// Most origins told at a time: about as many as a datagram holds.
const MAX_TOLD: usize = 48;
/// Shortest interval of news.
const TELL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of news for each VM that it is sent to, so that a VM sends 200 datagrams a second at most.
const SEND_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which streams are told again: a hub hears of those of all its zone.
const RETELL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a first hub tells the hubs of the next zone, and most origins at a time.
const RELAY_INTERVAL: Duration = Duration::from_millis(50);
const MAX_RELAYED: usize = 8 * MAX_TOLD;
/// Most asks in one datagram that are passed on or answered.
const MAX_ASKS: usize = 64;

/// What is known of the stream that a caller takes up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// It began at this release.
    Release(Release),
    /// Other VMs may know. If none says so in time, it is unknown.
    Ask,
    /// Nobody can know it.
    Unknown,
}

/// What has to be sent after news has arrived.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reaction {
    /// Answers, to the VMs that asked.
    pub answers: Vec<(SocketAddr, OriginNews)>,
    /// Questions to the hubs of other zones; empty unless this VM is a hub.
    pub forwarded: OriginNews,
}

/// Streams of unknown origin that a hub tells of, so that no VM infers a release for them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Doubts {
    /// For all other VMs of the hub's zone.
    pub near: OriginNews,
    /// For the hubs of all other zones.
    pub far: OriginNews,
}

/// Origins of streams, releases of services, and what others have to be told.
#[derive(Debug, Default)]
pub struct Origins {
    pub(super) table: OriginTable,
    pub(super) history: ReleaseHistory,
    /// The services that had only one release when it was last looked at.
    only: BTreeMap<ServiceId, Release>,
    relays: RelayQueue,
    doubts: DoubtQueue,
    askers: Askers,
    pub(super) assignments: Assignments,
    pub(super) reweighted: Reweighted,
    pub(super) weights: Weights,
    pub(super) queries: OriginQueries,
    pub(super) log: OriginLog,
    /// Whether this VM reads the platform's records, and its replies from them.
    pub(super) reads_records: bool,
    pub(super) answers: Vec<(SocketAddr, OriginNews)>,
    next_tell: Instant,
    next_retell: Instant,
    next_relay: Instant,
}

impl Origins {
    /// Sets the time for which a service's releases matter; see [`ReleaseHistory::set_window`].
    pub fn set_window(&mut self, now: Instant, service: &ServiceId, window: Duration) {
        self.history.set_window(now, service, window);
        self.update_only(now);
    }

    /// Notes that the whole system starts for the first time.
    pub fn begin_system(&mut self) {
        self.history.begin_system();
    }

    /// Notes that the whole list, as it was at `read` or later, hasn't changed. To be called at each
    /// read, more often than every [`crate::MAX_LIST_AGE`].
    pub fn confirm_list(&mut self, now: Instant, read: Instant) {
        self.history.confirm(now, read);
        self.update_only(now);
    }

    /// Applies the whole list as it was at `read` or later: service and release of each endpoint.
    pub fn replace_list<'a>(
        &mut self,
        now: Instant,
        read: Instant,
        endpoints: impl IntoIterator<Item = (&'a ServiceId, Option<&'a Release>)>,
    ) {
        self.history.replace(now, read, endpoints);
        self.update_only(now);
    }

    /// Has others told again of the own streams of services that no longer have only one release, as far
    /// as this VM can know: VMs that can infer it now soon can't any more.
    pub(super) fn update_only(&mut self, now: Instant) {
        let is_current = self.history.is_current(now);
        let services = self.history.services().filter(|_| is_current);
        let services = services.filter(|s| !self.reweighted.contains(now, s));
        let only: BTreeMap<_, _> = services
            .filter_map(|s| Some((s.clone(), self.history.sole(now, s)?)))
            .collect();
        let lost: BTreeSet<_> = self
            .only
            .iter()
            .filter(|(service, release)| only.get(*service) != Some(*release))
            .map(|(service, _)| service)
            .collect();
        if !lost.is_empty() {
            self.table.mark_untold(now, |s| lost.contains(s));
        }
        self.only = only;
    }

    /// Has others told again of the own streams: there are other hubs.
    pub fn hubs_changed(&mut self, now: Instant) {
        let Self { table, only, .. } = self;
        table.mark_untold(now, |s| !only.contains_key(s));
    }

    /// The release that all streams of a service began at which may be resumed; `None` unless the
    /// list is current.
    pub fn sole(&self, now: Instant, service: &ServiceId) -> Option<Release> {
        let is_current = self.history.is_current(now);
        is_current
            .then(|| self.history.sole(now, service))
            .flatten()
    }

    /// Whether new streams may begin at a release; see [`ReleaseHistory::is_settled`].
    pub fn is_settled(&self, now: Instant, service: &ServiceId, release: Option<&Release>) -> bool {
        self.history.is_settled(now, service, release)
    }

    /// The listed releases at which new streams may not begin yet.
    pub fn unsettled(&self, now: Instant, service: &ServiceId) -> Vec<Release> {
        if self.only.contains_key(service) {
            return Vec::new();
        }
        self.history.unsettled(now, service)
    }

    /// Whether there is nothing to send now or later.
    pub fn is_quiet(&self) -> bool {
        self.news_due().is_none()
            && self.relays.is_empty()
            && self.doubts.is_empty()
            && self.answers.is_empty()
    }

    /// Records that a stream brought its first event to a caller, or that it goes on: `key` is that of
    /// its first attempt.
    pub fn began(&mut self, now: Instant, key: StreamKey, origin: &Origin, until: Instant) {
        // Nobody infers a release while endpoints of unknown release are listed.
        let is_expected = origin.release.is_none()
            && self.table.find(now, &key).is_none()
            && self.history.has_unknown(now, &origin.service);
        self.table.record(now, key, origin, until);
        if is_expected {
            self.table.withhold(&key);
        }
    }

    /// The release that a stream began at.
    pub fn look_up(&self, now: Instant, key: &StreamKey, service: &ServiceId) -> Lookup {
        match self.table.find(now, key) {
            Some(Known::Release(release)) => Lookup::Release(release),
            Some(Known::Unknown) => Lookup::Unknown,
            None if self.history.is_nothing_known(now, service) => Lookup::Unknown,
            None => {
                let sole = self.sole(now, service);
                sole.map_or(Lookup::Ask, Lookup::Release)
            }
        }
    }

    /// The question for the origin of a stream, to all VMs of a small fleet or to the hubs.
    pub fn ask(key: StreamKey, service: &ServiceId) -> OriginNews {
        let service = service.clone();
        OriginNews {
            asks: vec![OriginAsk { key, service }],
            relay: true,
            ..OriginNews::default()
        }
    }

    /// Whether there may be news to take now.
    pub fn has_news(&self, now: Instant) -> bool {
        now >= self.next_tell && self.table.has_untold(now >= self.next_retell)
    }

    /// When there may be news to take; `None` if there is nothing to tell.
    pub fn news_due(&self) -> Option<Instant> {
        if self.table.has_untold(false) {
            Some(self.next_tell)
        } else {
            let is_retold = self.table.has_untold(true);
            is_retold.then_some(self.next_tell.max(self.next_retell))
        }
    }

    /// Takes the news that has to be sent to so many VMs now: all live ones in a small fleet, the hubs
    /// of the zone other than this VM in a large one. A hub relays it too, so that it is to be taken
    /// even if there is no other one.
    pub fn take_news(&mut self, now: Instant, targets: usize) -> OriginNews {
        if !self.has_news(now) {
            return OriginNews::default();
        }
        self.update_only(now);
        let again = now >= self.next_retell;
        let only = &self.only;
        let origins = self.table.take_untold(now, MAX_TOLD, again, |origin| {
            origin.release.is_some() && only.get(&origin.service) == origin.release.as_ref()
        });
        for record in &origins {
            self.relays.push(now, record.key);
            if record.release.is_none() {
                self.doubts.push(now, record.key, true);
            }
        }
        if !origins.is_empty() {
            let sends = u32::try_from(targets).unwrap_or(u32::MAX);
            self.next_tell = now + TELL_INTERVAL.max(SEND_INTERVAL.saturating_mul(sends));
            if again {
                self.next_retell = now + RETELL_INTERVAL;
            }
        }
        OriginNews {
            origins,
            relay: true,
            ..OriginNews::default()
        }
    }

    /// Takes the news that a first hub has to send to the hubs of the next zone now. To be called on
    /// each VM, so that a second hub can take over and others don't keep it.
    pub fn take_relayed(&mut self, now: Instant, is_first_hub: bool) -> OriginNews {
        if !is_first_hub {
            self.relays.expire(now);
            return OriginNews::default();
        }
        if now < self.next_relay || self.relays.is_empty() {
            return OriginNews::default();
        }
        self.next_relay = now + RELAY_INTERVAL;
        let mut origins = Vec::new();
        while origins.len() < MAX_RELAYED {
            let Some(key) = self.relays.pop() else {
                break;
            };
            origins.extend(self.table.tell(now, &key));
        }
        OriginNews {
            origins,
            ..OriginNews::default()
        }
    }

    /// Takes the streams of unknown origin that a hub has to tell of now. To be called on each VM.
    pub fn take_doubts(&mut self, now: Instant, is_hub: bool) -> Doubts {
        let mut doubts = Doubts::default();
        if !is_hub {
            self.doubts.clear();
        }
        while doubts.near.origins.len() < MAX_TOLD
            && let Some((key, is_far)) = self.doubts.pop(now)
        {
            let record = self.table.tell(now, &key);
            doubts.far.origins.extend(record.clone().filter(|_| is_far));
            doubts.near.origins.extend(record);
        }
        doubts
    }

    /// Applies news of another VM.
    pub fn learn(
        &mut self,
        now: Instant,
        from: SocketAddr,
        news: &OriginNews,
        is_hub: bool,
    ) -> Reaction {
        let mut reaction = Reaction::default();
        let mut has_new_release = false;
        for record in &news.origins {
            let is_news = self.table.learn(now, record);
            if is_news && news.relay && is_hub {
                self.relays.push(now, record.key);
            }
            if is_news && is_hub && self.table.find(now, &record.key) == Some(Known::Unknown) {
                self.doubts.push(now, record.key, news.relay);
            }
            if let Some(release) = &record.release {
                has_new_release |= self.history.hear(now, &record.service, release);
            }
            self.answer_waiting(now, &record.key, &mut reaction);
        }
        if has_new_release {
            self.update_only(now);
        }
        self.answer(now, from, news, is_hub, &mut reaction);
        reaction
    }

    /// Tells those that wait for the origin of a stream.
    fn answer_waiting(&mut self, now: Instant, key: &StreamKey, reaction: &mut Reaction) {
        let askers = self.askers.take(now, key);
        let Some(record) = self.table.tell(now, key) else {
            return;
        };
        let news = OriginNews {
            origins: vec![record],
            ..OriginNews::default()
        };
        let answers = askers.into_iter().map(|addr| (addr, news.clone()));
        reaction.answers.extend(answers);
    }

    fn answer(
        &mut self,
        now: Instant,
        from: SocketAddr,
        news: &OriginNews,
        is_hub: bool,
        reaction: &mut Reaction,
    ) {
        let mut answer = OriginNews::default();
        for ask in news.asks.iter().take(MAX_ASKS) {
            if let Some(record) = self.known(now, ask) {
                answer.origins.push(record);
                continue;
            }
            self.query_records(now, (ask.key, &ask.service), Some(from));
            if is_hub && news.relay {
                self.askers.add(now, ask.key, from);
                reaction.forwarded.asks.push(ask.clone());
            }
        }
        if !answer.is_empty() {
            reaction.answers.push((from, answer));
        }
    }

    /// What this VM knows of a stream, or can infer.
    fn known(&self, now: Instant, ask: &OriginAsk) -> Option<OriginRecord> {
        if let Some(record) = self.table.tell(now, &ask.key) {
            return Some(record);
        }
        if self.reweighted.contains(now, &ask.service) {
            return None;
        }
        let release = self.sole(now, &ask.service)?;
        let window = self.history.window(now, &ask.service).as_millis();
        Some(OriginRecord {
            key: ask.key,
            service: ask.service.clone(),
            release: Some(release),
            ends_ms: u32::try_from(window).unwrap_or(u32::MAX),
        })
    }

    /// Drops what is out of date. To be called about every second.
    pub fn expire(&mut self, now: Instant) {
        self.table.expire(now);
        self.askers.expire(now);
        self.queries.expire(now);
        self.log.expire(now);
        self.assignments.expire(now);
        self.reweighted.expire(now);
        self.update_only(now);
    }

    /// Number of streams known.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }
}
