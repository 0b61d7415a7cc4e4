//! Trailers of state requests and responses.
//!
//! Releases up to 496cdd7 reject longer messages but ignore bytes behind one. The trailer is a map, of which unknown
//! fields are skipped.

use {
    crate::configuration::ConfigDoc,
    origins::{AssignmentSnapshot, ReleaseAssignment},
    route::ColdPolicy,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::collections::{BTreeMap, BTreeSet},
    types::{LogPosition, Release, ServiceId, ZoneId},
};

/// The evacuated availability zones, as read up to a position of the platform's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EvacuationRecord {
    pub(super) at: LogPosition,
    pub(super) zones: BTreeSet<ZoneId>,
}

/// The trailer of a state request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct RequestTrailer {
    /// Position up to which the requester knows the evacuated zones.
    #[serde(default)]
    pub(super) evacuations: Option<LogPosition>,
    /// Log position of the requester's assignments.
    #[serde(default)]
    pub(super) assignments: Option<LogPosition>,
    /// Releases at which placements of the requester failed recently.
    #[serde(default)]
    pub(super) shortages: BTreeSet<(ServiceId, Release)>,
}

/// An update of the assignments.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum AssignmentNews {
    /// The responder has not read them yet.
    Unread,
    /// The requester is up to date.
    Unchanged,
    /// All assignments as of a log position.
    Changed(LogPosition, BTreeMap<ServiceId, ReleaseAssignment>),
}

impl AssignmentNews {
    /// The update for a VM whose assignments are as of `known`.
    pub(super) fn new(snapshot: Option<&AssignmentSnapshot>, known: Option<LogPosition>) -> Self {
        match snapshot {
            None => Self::Unread,
            Some(snapshot) if known >= Some(snapshot.at) => Self::Unchanged,
            Some(AssignmentSnapshot { at, services }) => Self::Changed(*at, services.clone()),
        }
    }
}

/// The trailer of a state response.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ResponseTrailer {
    #[serde(default)]
    pub(super) evacuations: Option<EvacuationRecord>,
    /// Rate limits of cold endpoints, by service of the configuration in the response.
    #[serde(default)]
    pub(super) cold: BTreeMap<ServiceId, ColdPolicy>,
    /// `None` if the responder runs an earlier release without assignments.
    #[serde(default)]
    pub(super) assignments: Option<AssignmentNews>,
}

impl ResponseTrailer {
    /// The part of a configuration that is sent in the trailer.
    pub(super) fn cold_policies(doc: &ConfigDoc) -> BTreeMap<ServiceId, ColdPolicy> {
        let services = doc.services.iter();
        let limited = services.filter_map(|(id, s)| Some((id.clone(), s.cold?)));
        limited.collect()
    }

    /// Completes the configuration of the response.
    pub(super) fn complete(&self, doc: &mut ConfigDoc) {
        for (id, policy) in &self.cold {
            if let Some(service) = doc.services.get_mut(id) {
                service.cold = Some(*policy);
            }
        }
    }
}

/// Encodes a message and its trailer.
pub(super) fn encode(
    message: &impl Serialize,
    trailer: &impl Serialize,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = rmp_serde::to_vec(message)?;
    rmp_serde::encode::write_named(&mut bytes, trailer)?;
    Ok(bytes)
}

/// Decodes a message and its trailer, which messages of earlier releases don't have.
pub(super) fn decode<M: DeserializeOwned, T: DeserializeOwned + Default>(
    mut bytes: &[u8],
) -> Result<(M, T), rmp_serde::decode::Error> {
    let message = rmp_serde::from_read(&mut bytes)?;
    let trailer = match bytes.is_empty() {
        true => T::default(),
        false => rmp_serde::from_slice(bytes)?,
    };
    Ok((message, trailer))
}

#[cfg(test)]
#[path = "state_trailer_tests.rs"]
mod tests;
