//! State of one endpoint.

use {
    super::{
        cached_parts::CachedParts,
        endpoint_spec::EndpointSpec,
        health::Health,
        load::{Load, PeerLoads},
        outcomes::RecentOutcomes,
    },
    crate::{FleetRank, notice::ShareLimiter},
    clock::Instant,
    std::time::Duration,
    types::{EndpointId, PerSecond},
};

/// Time after which callers may retry if this VM has no share in the limits of any endpoint; they
/// may reach another VM then.
const NO_SHARE_WAIT: Duration = Duration::from_secs(1);
/// Time after which a slot of a full endpoint may be free.
const FULL_WAIT: Duration = Duration::from_millis(200);

/// An endpoint with its load, health and cache state as known to this VM.
#[derive(Debug, Clone)]
pub(super) struct TrackedEndpoint {
    pub(super) spec: EndpointSpec,
    /// Whether it takes new requests.
    pub(super) open: bool,
    /// When its cache was last empty: it was listed, or restarted.
    pub(super) cold_since: Instant,
    pub(super) own_load: Load,
    pub(super) peer_loads: PeerLoads,
    pub(super) health: Health,
    /// Outcomes of this VM's latest sends.
    pub(super) outcomes: RecentOutcomes,
    pub(super) cached_parts: CachedParts,
    /// Mean time to the first token or the response, in milliseconds; 0 until measured.
    pub(super) latency_ms: f64,
    /// Until when it is assumed to be full after a refusal.
    pub(super) full_until: Instant,
    /// Until when it has refused all requests.
    pub(super) closed_until: Instant,
    /// Limiter of this VM's requests, while the endpoint names a limit for the fleet.
    pub(super) limiter: Option<Limiter>,
    /// The limit that the endpoint names.
    pub(super) named_limit: Option<PerSecond>,
    /// Requests a second from the whole fleet of which a brittle endpoint seldom has to refuse any.
    pub(super) brittle_limit: Option<PerSecond>,
    /// Until when a brittle endpoint gets no requests of this VM.
    pub(super) rest_until: Instant,
    /// Until when it is cold, as it or the platform says.
    pub(super) cold_until: Instant,
    /// Until when it may be cold, as it may have started again.
    pub(super) suspected_until: Instant,
    /// Whether its limiter keeps to the rate of cold endpoints.
    pub(super) cold_limited: bool,
    /// Whether its availability zone is evacuated.
    pub(super) evacuated: bool,
}

/// A rate limit for all VMs together, and the position that determines this VM's share.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShareLimit {
    pub(super) limit: PerSecond,
    /// `None` if this VM has no share.
    pub(super) rank: Option<FleetRank>,
    /// Whether more than one request may be saved up.
    pub(super) allows_bursts: bool,
}

impl ShareLimit {
    fn share(&self, id: &EndpointId) -> PerSecond {
        let share = self.rank.map(|r| r.share(self.limit, id));
        share.unwrap_or_default()
    }
}

/// The limit in force, and the share of this VM.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limiter {
    pub(super) limit: PerSecond,
    pub(super) own: ShareLimiter,
}

impl TrackedEndpoint {
    /// The load of this VM, to be told to others.
    pub(super) fn reported_load(&self, now: Instant) -> Load {
        Load {
            outcomes: self.outcomes.at(now),
            ..self.own_load
        }
    }

    /// Whether it takes a request now.
    pub(super) fn accepts(&self, now: Instant) -> bool {
        self.is_open(now) && self.has_room(now) && self.limiter.is_none_or(|l| l.own.is_ready(now))
    }

    /// Whether it takes requests, of which there may be too many now.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        self.is_usable() && self.closed_until <= now
    }

    /// Whether it is listed and its availability zone is in service.
    pub(super) fn is_usable(&self) -> bool {
        self.open && !self.evacuated
    }

    /// Whether it counts when sessions choose their engines: it takes a request now, or will as soon
    /// as the rate of cold endpoints allows.
    pub(super) fn is_candidate(&self, now: Instant) -> bool {
        self.accepts(now) || self.cold_limited && self.is_open(now) && self.has_room(now)
    }

    /// Time until it takes a request.
    pub(super) fn accepts_in(&self, now: Instant) -> Duration {
        let wait = self
            .limiter
            .map(|l| l.own.ready_in(now).unwrap_or(NO_SHARE_WAIT));
        let room = if self.has_room(now) {
            Duration::ZERO
        } else {
            self.rest_until.since(now).max(FULL_WAIT)
        };
        let closed = self.closed_until.since(now);
        closed.max(room).max(wait.unwrap_or_default())
    }

    /// Applies the smallest of the limits, of which this VM has a share.
    pub(super) fn apply_limits(&mut self, now: Instant, limits: &[ShareLimit]) {
        let smallest = limits
            .iter()
            .min_by(|a, b| a.limit.get().total_cmp(&b.limit.get()));
        let Some(smallest) = smallest else {
            self.limiter = None;
            return;
        };
        let share = smallest.share(&self.spec.id);
        let limiter = self.limiter.get_or_insert(Limiter {
            limit: smallest.limit,
            own: ShareLimiter::new(now, share),
        });
        limiter.limit = smallest.limit;
        let allows_bursts = limits.iter().all(|l| l.allows_bursts);
        limiter.own.allow_bursts(now, allows_bursts);
        if limiter.own.share() != share {
            limiter.own.set_share(now, share);
        }
    }
}
