//! What an endpoint is.

use types::{EndpointId, Release, ZoneId};

/// Properties of an endpoint, as listed.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSpec {
    /// Identifier.
    pub id: EndpointId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the platform may reclaim it at short notice.
    pub cheap: bool,
    /// Start time; a new value means a restart, which empties the cache.
    pub started: u64,
    /// Release of its software; `None` if it is unknown.
    pub release: Option<Release>,
}

impl EndpointSpec {
    /// Whether this describes a later start than `old` of the same endpoint. A release that becomes
    /// known, or unknown, is no restart: VMs of older releases list endpoints without it.
    pub(super) fn is_restart_of(&self, old: &Self) -> bool {
        let releases = self.release.as_ref().zip(old.release.as_ref());
        self.started != old.started || releases.is_some_and(|(new, old)| new != old)
    }
}
