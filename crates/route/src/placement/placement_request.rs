//! Input of one placement.

use {
    super::endpoint_spec::EndpointSpec,
    crate::Prompt,
    std::time::Duration,
    types::{EndpointId, OrgId, Release, Urgency, ZoneId},
};

/// Input of one placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Availability zone of this VM.
    pub zone: &'a ZoneId,
    /// Urgency at the engines.
    pub urgency: Urgency,
    /// Target for the time to the first token, or to the response of a plain service.
    pub target: Duration,
    /// Target for the longest pause between two stream events.
    pub max_pause: Option<Duration>,
    /// Prompt, for generation requests.
    pub prompt: Option<&'a Prompt>,
    /// Organisation whose request it is.
    pub org: Option<&'a OrgId>,
    /// Endpoints that already failed or refused the request.
    pub avoid: &'a [EndpointId],
    /// Release of the endpoints that may take the request; `None` if all may. An endpoint of
    /// unknown release has none of them.
    pub release: Option<&'a Release>,
    /// Releases whose endpoints take the request only if no other endpoint does.
    pub avoid_releases: &'a [Release],
}

impl PlacementRequest<'_> {
    /// Whether an endpoint may take the request.
    pub(super) fn allows(&self, spec: &EndpointSpec) -> bool {
        self.suits(spec) && !self.avoid.contains(&spec.id)
    }

    /// Whether an endpoint has a release that may take the request.
    pub(super) fn suits(&self, spec: &EndpointSpec) -> bool {
        self.release
            .is_none_or(|r| spec.release.as_ref() == Some(r))
    }

    /// Whether an endpoint takes the request only if no other does.
    pub(super) fn is_last_resort(&self, spec: &EndpointSpec) -> bool {
        let release = spec.release.as_ref();
        release.is_some_and(|r| self.avoid_releases.contains(r))
    }
}
