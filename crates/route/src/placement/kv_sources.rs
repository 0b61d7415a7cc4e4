//! Engines to fetch the shared parts of a prompt from.

use {
    super::tracked_endpoint::TrackedEndpoint,
    types::{EndpointId, Release},
};

/// Engines kept for each release: the second is the source for the first itself.
const SOURCES_PER_RELEASE: usize = 2;

/// Engines that likely have the shared parts of a prompt cached, best first. The memory of an engine
/// is only of use to engines of the same release.
#[derive(Debug, Default)]
pub(super) struct KvSources(Vec<(Option<Release>, EndpointId)>);

impl KvSources {
    /// Selects the sources among engines in the order of preference. With `releases_known`, engines
    /// of unknown release fetch from none; otherwise all count as of one release.
    pub(super) fn new<'a>(
        preference_order: impl Iterator<Item = &'a TrackedEndpoint>,
        releases_known: bool,
    ) -> Self {
        let mut sources: Vec<(Option<Release>, EndpointId)> = Vec::new();
        for entry in preference_order {
            let release = &entry.spec.release;
            let count = sources.iter().filter(|(r, _)| r == release).count();
            if release.is_some() == releases_known && count < SOURCES_PER_RELEASE {
                sources.push((release.clone(), entry.spec.id.clone()));
            }
        }
        Self(sources)
    }

    /// The source for an engine.
    pub(super) fn source_for(&self, target: &TrackedEndpoint) -> Option<&EndpointId> {
        let same = self.0.iter().filter(|(r, _)| *r == target.spec.release);
        let mut others = same.filter(|(_, id)| *id != target.spec.id);
        others.next().map(|(_, id)| id)
    }
}
