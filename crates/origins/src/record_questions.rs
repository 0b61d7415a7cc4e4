//! Streams whose origin no VM has told, which the platform's records may tell.

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

/// Time after which a question is dropped: who asked has given up.
const QUESTION_TIME: Duration = Duration::from_secs(1);
/// Number of times that a stream has to be asked for before the records are read: most are answered by another VM at once.
const MIN_ASKS: u32 = 2;
const MAX_STREAMS: usize = 4_096;
/// Largest number of VMs that are answered for one stream.
const MAX_ASKERS: usize = 8;

/// A stream whose origin is sought.
#[derive(Debug)]
struct Question {
    service: ServiceId,
    /// When it was first asked for. Records that were read later name the release of the stream.
    asked: Instant,
    /// How often it was asked for.
    asks: u32,
    /// Whether the records haven't been read since.
    is_open: bool,
    /// The other VMs that ask.
    askers: BTreeSet<SocketAddr>,
}

/// The streams whose origin is sought.
#[derive(Debug, Default)]
pub(crate) struct RecordQuestions(BTreeMap<StreamKey, Question>);

impl RecordQuestions {
    /// Adds a question of this VM, or of the one with address `asker`.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        (key, service): (StreamKey, &ServiceId),
        asker: Option<SocketAddr>,
    ) {
        if self.0.len() >= MAX_STREAMS {
            self.expire(now);
        }
        if self.0.len() >= MAX_STREAMS && !self.0.contains_key(&key) {
            return;
        }
        let known = self.0.get(&key);
        if known.is_some_and(|q| now.since(q.asked) >= QUESTION_TIME) {
            self.0.remove(&key);
        }
        let question = self.0.entry(key).or_insert_with(|| Question {
            service: service.clone(),
            asked: now,
            asks: 0,
            is_open: true,
            askers: BTreeSet::new(),
        });
        question.asks += 1;
        if question.askers.len() < MAX_ASKERS {
            question.askers.extend(asker);
        }
    }

    /// When the last stream was first asked for that has been asked for again.
    pub(crate) fn last_asked(&self) -> Option<Instant> {
        let repeated = self.0.values();
        let repeated = repeated.filter(|q| q.is_open && q.asks >= MIN_ASKS);
        repeated.map(|q| q.asked).max()
    }

    /// The streams that were asked for before `read`, with the VMs that ask. Their questions are closed, so that the records
    /// aren't read for them again.
    pub(crate) fn close_before(
        &mut self,
        read: Instant,
    ) -> Vec<(StreamKey, ServiceId, BTreeSet<SocketAddr>)> {
        let closed = self.0.iter_mut();
        let closed = closed.filter(|(_, q)| q.is_open && q.asked <= read);
        closed
            .map(|(key, question)| {
                question.is_open = false;
                let askers = std::mem::take(&mut question.askers);
                (*key, question.service.clone(), askers)
            })
            .collect()
    }

    /// Drops the question for a stream whose origin is known now.
    pub(crate) fn remove(&mut self, key: &StreamKey) {
        self.0.remove(key);
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, q| now.since(q.asked) < QUESTION_TIME);
    }
}
