//! Summary of the loads of many VMs.

use {
    super::ServiceDemand,
    route::Load,
    serde::{Deserialize, Serialize},
    types::{EndpointId, ServiceId, VmId, ZoneId},
};

/// First byte of an encoded summary; MessagePack never uses it, so no gossip message begins with it.
const MARKER: u8 = 0xc1;
/// Number of endpoints in one part, so that a part fits into one packet of a common link.
const ENDPOINTS_PER_PART: usize = 18;

/// The VMs that a summary covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Scope {
    /// All VMs of the sender's zone.
    Zone,
    /// All VMs of the fleet.
    Fleet,
}

/// Sum of the loads of many VMs. It is sent in parts, each of which stands for itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadSummary {
    /// The sender, a hub.
    pub(crate) vm: VmId,
    /// Its availability zone.
    pub(crate) zone: ZoneId,
    /// The VMs covered.
    pub(crate) scope: Scope,
    /// Number of VMs covered.
    pub(crate) vms: u32,
    /// Load placed on each endpoint.
    pub(crate) loads: Vec<(EndpointId, Load)>,
    /// Rate of prompt tokens by service, in tokens per second.
    pub(crate) rates: Vec<(ServiceId, u64)>,
    /// Data behind the summary; earlier releases ignore it.
    #[serde(skip)]
    pub(crate) trailer: SummaryTrailer,
}

/// Fields added after 496cdd7; unknown fields are skipped.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SummaryTrailer {
    /// Slot demand by service.
    #[serde(default)]
    pub(crate) demand: Vec<ServiceDemand>,
}

impl LoadSummary {
    /// Encodes the summary as datagrams; at least one.
    pub(crate) fn encode(&self) -> Result<Vec<Vec<u8>>, rmp_serde::encode::Error> {
        let mut parts: Vec<&[(EndpointId, Load)]> = self.loads.chunks(ENDPOINTS_PER_PART).collect();
        if parts.is_empty() {
            parts.push(&[]);
        }
        let encode_part = |loads: &[(EndpointId, Load)]| {
            let part = Self {
                loads: loads.to_vec(),
                ..self.clone()
            };
            let mut bytes = vec![MARKER];
            rmp_serde::encode::write(&mut bytes, &part)?;
            rmp_serde::encode::write_named(&mut bytes, &self.trailer)?;
            Ok(bytes)
        };
        parts.into_iter().map(encode_part).collect()
    }

    /// Decodes a part; `None` if the datagram isn't a summary.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Result<Self, rmp_serde::decode::Error>> {
        let mut body = bytes.strip_prefix(&[MARKER])?;
        let decoded = rmp_serde::from_read::<_, Self>(&mut body).and_then(|summary| {
            let trailer = match body.is_empty() {
                true => SummaryTrailer::default(),
                false => rmp_serde::from_slice(body)?,
            };
            Ok(Self { trailer, ..summary })
        });
        Some(decoded)
    }
}
