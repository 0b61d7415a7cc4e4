//! Pending queries for origins of streams that only the platform's records can answer.

use {
    super::StreamKey,
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::ServiceId,
};

/// Time after which a query expires: its requester has timed out.
const QUERY_TIME: Duration = Duration::from_secs(1);
/// Number of queries for a stream that trigger a read of the records. Another VM answers most streams after the first one.
const MIN_QUERIES: u32 = 2;
/// Time between the first and the last query that triggers a read on VMs that have observed the whole resume window: the
/// replica of an origin may be delayed.
const REPLICATION_TIME: Duration = Duration::from_millis(200);
const MAX_STREAMS: usize = 4_096;
/// Largest number of requesters of one stream.
const MAX_REQUESTERS: usize = 8;

/// The queries for one stream of a service.
#[derive(Debug)]
struct Query {
    /// Time of the first query. Records that are read later cover the stream.
    first: Instant,
    /// Time of the last query.
    last: Instant,
    /// Number of queries.
    count: u32,
    /// Whether no read of the records has started since.
    is_pending: bool,
    /// The other VMs that wait for a reply.
    requesters: BTreeSet<SocketAddr>,
}

/// Pending queries by stream and service: one that names no service isn't answered from the records.
#[derive(Debug, Default)]
pub(crate) struct OriginQueries(BTreeMap<(StreamKey, ServiceId), Query>);

impl OriginQueries {
    /// Adds a query of this VM, or of the VM at address `requester`.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        (key, service): (StreamKey, &ServiceId),
        requester: Option<SocketAddr>,
    ) {
        let key = (key, service.clone());
        if self.0.len() >= MAX_STREAMS {
            self.expire(now);
        }
        if self.0.len() >= MAX_STREAMS && !self.0.contains_key(&key) {
            return;
        }
        let known = self.0.get(&key);
        if known.is_some_and(|q| now.since(q.first) >= QUERY_TIME) {
            self.0.remove(&key);
        }
        let query = self.0.entry(key).or_insert_with(|| Query {
            first: now,
            last: now,
            count: 0,
            is_pending: true,
            requesters: BTreeSet::new(),
        });
        query.count += 1;
        query.last = now;
        if query.requesters.len() < MAX_REQUESTERS {
            query.requesters.extend(requester);
        }
    }

    /// Time of the latest first query among the streams that were queried repeatedly. `is_recent`: this VM hasn't observed the
    /// whole resume window of a service.
    pub(crate) fn last_queried(&self, is_recent: impl Fn(&ServiceId) -> bool) -> Option<Instant> {
        let is_due = |((_, service), q): &(&(StreamKey, ServiceId), &Query)| {
            let waited = q.last.since(q.first) >= REPLICATION_TIME || is_recent(service);
            q.is_pending && q.count >= MIN_QUERIES && waited
        };
        let repeated = self.0.iter().filter(is_due);
        repeated.map(|(_, q)| q.first).max()
    }

    /// Returns the streams that were queried before `read`, with their requesters. They trigger no further read.
    pub(crate) fn close_before(
        &mut self,
        read: Instant,
    ) -> Vec<(StreamKey, ServiceId, BTreeSet<SocketAddr>)> {
        let closed = self.0.iter_mut();
        let closed = closed.filter(|(_, q)| q.is_pending && q.first <= read);
        closed
            .map(|((key, service), query)| {
                query.is_pending = false;
                let requesters = std::mem::take(&mut query.requesters);
                (*key, service.clone(), requesters)
            })
            .collect()
    }

    /// Removes a stream that has been answered.
    pub(crate) fn remove(&mut self, key: StreamKey, service: &ServiceId) {
        self.0.remove(&(key, service.clone()));
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, q| now.since(q.first) < QUERY_TIME);
    }
}
