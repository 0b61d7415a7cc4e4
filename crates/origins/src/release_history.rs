//! Which releases of each service were listed when, as this VM observed it.

use {
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{Release, ServiceId},
};

/// Age from which a list is out of date. No two VMs with current lists differ by more. It covers a read
/// of the platform that waits for changes, and the way from a zone's reader to its other VMs.
pub const MAX_LIST_AGE: Duration = Duration::from_millis(1_750);
/// Time for which a release is listed before it is used beside another one: all VMs with current
/// lists know of it by then, with a margin.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Shortest window: a settled release that is gone for a moment stays in it.
const MIN_WINDOW: Duration = SETTLE_TIME.saturating_mul(2);
/// Time for which releases that are no longer listed are remembered; longest window.
const HISTORY_TIME: Duration = Duration::from_secs(3_600);
/// Largest number of releases of one service that are remembered.
const MAX_RELEASES: usize = 64;

/// When a release was listed. `None` as the end: it still is.
#[derive(Debug, Clone, Copy)]
struct Listing {
    since: Instant,
    ended: Option<Instant>,
    /// Whether it was listed before.
    returned: bool,
    /// Whether it was in the first list that this VM read: the others know it already.
    initial: bool,
}

impl Listing {
    fn ended_before(&self, now: Instant, span: Duration) -> bool {
        self.ended.is_some_and(|at| now.since(at) >= span)
    }
}

/// The listings of one service, by release; that of endpoints whose release isn't known is under
/// `None`.
#[derive(Debug, Clone, Default)]
struct Service {
    listings: BTreeMap<Option<Release>, Listing>,
    /// Since when all releases are remembered, if later than the start of the observation.
    complete_since: Instant,
    window: Duration,
    /// A longer window that was set before, and until when it counts.
    old_window: Option<(Duration, Instant)>,
    /// When the history was restored from a record of the platform, and the window that the record covers.
    restored: Option<(Instant, Duration)>,
}

impl Service {
    /// Applies the releases that are listed now. `is_first` tells whether it is the first list that was read.
    fn list(&mut self, now: Instant, listed: &BTreeSet<Option<&Release>>, is_first: bool) {
        for (release, listing) in &mut self.listings {
            if listing.ended.is_none() && !listed.contains(&release.as_ref()) {
                listing.ended = Some(now);
            }
        }
        for release in listed {
            self.note(now, *release, None, is_first);
        }
        self.listings
            .retain(|_, l| !l.ended_before(now, HISTORY_TIME));
        while self.listings.len() > MAX_RELEASES {
            let ended = self.listings.iter().filter(|(_, l)| l.ended.is_some());
            let oldest = ended.min_by_key(|(_, l)| l.ended);
            let Some(release) = oldest.map(|(release, _)| release.clone()) else {
                break;
            };
            self.listings.remove(&release);
            self.complete_since = now;
        }
    }

    fn note(
        &mut self,
        now: Instant,
        release: Option<&Release>,
        ended: Option<Instant>,
        initial: bool,
    ) {
        let new = Listing {
            since: now,
            ended,
            returned: false,
            initial,
        };
        let listing = self.listings.entry(release.cloned()).or_insert(new);
        let Some(last) = listing.ended else {
            return;
        };
        // All VMs still remember a settled release that was gone for a moment.
        let was_settled = last.since(listing.since) >= SETTLE_TIME;
        if !was_settled || now.since(last) >= SETTLE_TIME {
            listing.since = now;
        }
        listing.ended = ended;
        listing.returned = true;
    }

    fn window(&self, now: Instant) -> Duration {
        let old = self.old_window.filter(|(_, until)| now < *until);
        let window = self
            .window
            .max(old.map_or(Duration::ZERO, |(span, _)| span));
        if window.is_zero() {
            window
        } else {
            window.max(MIN_WINDOW)
        }
    }
}

/// The releases of all services that were listed lately.
#[derive(Debug, Clone, Default)]
pub struct ReleaseHistory {
    services: BTreeMap<ServiceId, Service>,
    /// Since when each change of the list is seen.
    since: Option<Instant>,
    /// Whether no stream began before that.
    is_first: bool,
    last_read: Instant,
}

impl ReleaseHistory {
    /// Sets the time for which the releases of a service matter: no stream is resumed that began
    /// earlier. Without it no release is the sole one. A shorter one counts when the longer one is over.
    pub fn set_window(&mut self, now: Instant, service: &ServiceId, window: Duration) {
        let entry = self.services.entry(service.clone()).or_default();
        let before = entry.window(now);
        if window < entry.window {
            entry.old_window = Some((before, now + before));
        }
        entry.window = window;
    }

    /// Notes that the whole system starts for the first time: there were no streams before.
    pub fn begin_system(&mut self) {
        self.is_first = true;
    }

    /// Notes that the whole list was read, changed or not, as it was at `read` or later. If it couldn't
    /// be followed for so long that a release may have been used and gone, the observation starts anew.
    pub fn confirm(&mut self, now: Instant, read: Instant) {
        let gap = read.since(self.last_read) > SETTLE_TIME;
        if self.since.is_some() && gap {
            self.is_first = false;
        }
        if self.since.is_none() || gap {
            self.since = Some(now);
        }
        self.last_read = self.last_read.max(read);
    }

    /// Applies the whole list as it was at `read` or later: the service and the release of each endpoint.
    pub fn replace<'a>(
        &mut self,
        now: Instant,
        read: Instant,
        endpoints: impl IntoIterator<Item = (&'a ServiceId, Option<&'a Release>)>,
    ) {
        let is_first = self.since.is_none();
        self.confirm(now, read);
        let mut listed: BTreeMap<&ServiceId, BTreeSet<Option<&Release>>> = BTreeMap::new();
        for (service, release) in endpoints {
            listed.entry(service).or_default().insert(release);
            if !self.services.contains_key(service) {
                self.services.insert(service.clone(), Service::default());
            }
        }
        let nothing = BTreeSet::new();
        for (id, service) in &mut self.services {
            service.list(now, listed.get(id).unwrap_or(&nothing), is_first);
        }
    }

    /// Notes that another VM uses a release, which this VM's list may not show yet; returns
    /// whether it is new.
    pub fn hear(&mut self, now: Instant, service: &ServiceId, release: &Release) -> bool {
        let Some(service) = self.services.get_mut(service) else {
            return false;
        };
        let window = service.window(now);
        let known = service.listings.get(&Some(release.clone()));
        if known.is_some_and(|listing| !listing.ended_before(now, window)) {
            return false;
        }
        service.note(now, Some(release), Some(now), false);
        true
    }

    /// Whether the list is current.
    pub fn is_current(&self, now: Instant) -> bool {
        self.since.is_some() && now.since(self.last_read) <= MAX_LIST_AGE
    }

    /// The services that were listed or have a window.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// The window of a service.
    pub fn window(&self, now: Instant, service: &ServiceId) -> Duration {
        self.services
            .get(service)
            .map_or(Duration::ZERO, |s| s.window(now))
    }

    /// The release that all streams began at which may be resumed: the only one that was listed in the window of its service.
    /// Another one counts as soon as it is listed, since a VM that has just started may use it at once. Only to be used
    /// while the list is current.
    pub fn sole(&self, now: Instant, service: &ServiceId) -> Option<Release> {
        self.single(now, service).flatten()
    }

    /// The one release, or unknown one, listed in the window.
    fn single(&self, now: Instant, service: &ServiceId) -> Option<Option<Release>> {
        if !self.is_complete(now, service) {
            return None;
        }
        let service = self.services.get(service)?;
        let window = service.window(now);
        let listings = service.listings.iter();
        let mut counted = listings.filter(|(_, l)| !l.ended_before(now, window));
        let (release, _) = counted.next()?;
        counted.next().is_none().then(|| release.clone())
    }

    /// Whether all releases that were listed in the window of a service are known: this VM has observed the list for the whole
    /// window or since the first start of the system, or the history before was restored from a record.
    fn is_complete(&self, now: Instant, service: &ServiceId) -> bool {
        let (Some(service), Some(since)) = (self.services.get(service), self.since) else {
            return false;
        };
        let window = service.window(now);
        if window.is_zero() || window > HISTORY_TIME {
            return false;
        }
        let since = since.max(service.complete_since);
        let sees_all = self.is_first && service.complete_since == Instant::default();
        let is_restored = service
            .restored
            .is_some_and(|(at, covered)| at >= since && covered >= window);
        now.since(since) >= window || sees_all || is_restored
    }

    /// Restores the history from a record of the platform: these releases may have been used in the window before now.
    /// `covered` is the window in which there were no others; `None` if the record may be incomplete.
    pub fn restore(
        &mut self,
        now: Instant,
        service: &ServiceId,
        releases: &[&Option<Release>],
        covered: Option<Duration>,
    ) {
        let entry = self.services.entry(service.clone()).or_default();
        for release in releases {
            entry.note(now, release.as_ref(), Some(now), false);
        }
        if let Some(covered) = covered {
            entry.restored = Some((now, covered));
        }
    }

    /// The releases of a service that count in its window, and that window, if all are known.
    pub fn counted(
        &self,
        now: Instant,
        service: &ServiceId,
    ) -> Option<(BTreeSet<Option<Release>>, Duration)> {
        if !self.is_complete(now, service) {
            return None;
        }
        let service = self.services.get(service)?;
        let window = service.window(now);
        let listings = service.listings.iter();
        let counted = listings.filter(|(_, l)| !l.ended_before(now, window));
        Some((counted.map(|(r, _)| r.clone()).collect(), window))
    }

    /// The releases that are listed now, of services whose streams may be resumed.
    pub fn listed(&self) -> BTreeSet<(ServiceId, Option<Release>)> {
        let services = self.services.iter().filter(|(_, s)| !s.window.is_zero());
        let listings = services.flat_map(|(id, s)| s.listings.iter().map(move |l| (id, l)));
        let listed = listings.filter(|(_, (_, l))| l.ended.is_none());
        listed.map(|(id, (r, _))| (id.clone(), r.clone())).collect()
    }

    /// Whether the whole system started for the first time less than `time` ago, as far as this VM has observed the list.
    pub(crate) fn is_first_within(&self, now: Instant, time: Duration) -> bool {
        self.is_first && self.since.is_none_or(|since| now.since(since) < time)
    }

    /// The releases of a service that are listed now; `None` if endpoints of unknown release are.
    pub(crate) fn listed_releases(&self, service: &ServiceId) -> Option<BTreeSet<Release>> {
        let listings = &self.services.get(service)?.listings;
        let listed = listings.iter().filter(|(_, l)| l.ended.is_none());
        listed.map(|(release, _)| release.clone()).collect()
    }

    /// Whether a release is listed now.
    pub(crate) fn is_listed(&self, service: &ServiceId, release: &Release) -> bool {
        let service = self.services.get(service);
        let listing = service.and_then(|s| s.listings.get(&Some(release.clone())));
        listing.is_some_and(|l| l.ended.is_none())
    }

    /// Since when each change of the list is seen.
    pub fn observed_since(&self) -> Option<Instant> {
        self.since
    }

    /// Whether all VMs with current lists know of endpoints whose release isn't known, so that none of
    /// them infers one.
    pub fn has_unknown(&self, now: Instant, service: &ServiceId) -> bool {
        let service = self.services.get(service);
        let listing = service.and_then(|s| s.listings.get(&None));
        listing.is_some_and(|l| l.ended.is_none() && now.since(l.since) >= SETTLE_TIME)
    }

    /// Whether the release of no endpoint was known for the whole window of a service.
    pub fn is_nothing_known(&self, now: Instant, service: &ServiceId) -> bool {
        self.single(now, service) == Some(None)
    }

    /// The listed releases at which new streams may not begin yet.
    pub fn unsettled(&self, now: Instant, service: &ServiceId) -> Vec<Release> {
        let listings = self.services.get(service).into_iter();
        let listings = listings.flat_map(|s| &s.listings);
        let releases = listings.filter(|(_, l)| l.ended.is_none());
        let known = releases.filter_map(|(release, _)| release.as_ref());
        known
            .filter(|r| !self.is_settled(now, service, Some(r)))
            .cloned()
            .collect()
    }

    /// Whether new streams may begin at endpoints of a release (`None`: it isn't known): all VMs with
    /// current lists know of it, or there is and lately was no other one that they could take for the
    /// sole one.
    pub fn is_settled(&self, now: Instant, service: &ServiceId, release: Option<&Release>) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let is_other = |other: &Option<Release>, listing: &Listing| {
            other.as_ref() != release && !listing.ended_before(now, SETTLE_TIME)
        };
        let own = service.listings.get(&release.cloned());
        let known_for = own.map_or(Duration::ZERO, |l| now.since(l.since));
        if own.is_some_and(|l| l.initial && !l.returned) {
            return true;
        }
        let mut listings = service.listings.iter();
        known_for >= SETTLE_TIME || !listings.any(|(other, l)| is_other(other, l))
    }
}
