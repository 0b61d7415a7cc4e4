//! What VMs tell and ask each other of streams, and its encoding.

use {
    super::StreamKey,
    rmp_serde::{decode, encode},
    serde::{Deserialize, Serialize, de::Error},
    types::{Release, ServiceId},
};

/// Largest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// First bytes of encoded news; no other datagram begins with them.
const MARKER: [u8; 2] = [0xc1, 0xc3];
/// Largest number of services and of releases in a datagram, which refers to them by one byte.
const MAX_NAMES: usize = 128;

/// The release that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// The service.
    pub service: ServiceId,
    /// The release; `None` if nobody can know it.
    pub release: Option<Release>,
    /// Time until the stream can no longer be resumed, in milliseconds.
    pub ends_ms: u32,
}

/// A question for the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginAsk {
    /// The stream.
    pub key: StreamKey,
    /// The service.
    pub service: ServiceId,
}

/// What one VM tells and asks others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginNews {
    /// Origins that the sender knows.
    pub origins: Vec<OriginRecord>,
    /// Streams whose origin it seeks.
    pub asks: Vec<OriginAsk>,
    /// Whether a hub passes it on to the hubs of other zones.
    pub relay: bool,
}

/// An origin with its service and release as indexes.
#[derive(Serialize, Deserialize)]
struct PackedOrigin(StreamKey, u8, Option<u8>, u32);

#[derive(Serialize, Deserialize)]
struct Packet {
    services: Vec<ServiceId>,
    releases: Vec<Release>,
    origins: Vec<PackedOrigin>,
    asks: Vec<(StreamKey, u8)>,
    relay: bool,
}

impl OriginNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty() && self.asks.is_empty()
    }

    /// Encodes the news as datagrams of at most `max_bytes`; none if there is nothing to tell.
    pub fn encode(&self, max_bytes: usize) -> Result<Vec<Vec<u8>>, encode::Error> {
        let mut datagrams = Vec::new();
        self.encode_part(&self.origins, &self.asks, max_bytes, &mut datagrams)?;
        Ok(datagrams)
    }

    fn encode_part(
        &self,
        origins: &[OriginRecord],
        asks: &[OriginAsk],
        max_bytes: usize,
        datagrams: &mut Vec<Vec<u8>>,
    ) -> Result<(), encode::Error> {
        if origins.is_empty() && asks.is_empty() {
            return Ok(());
        }
        if let Some(packet) = pack(origins, asks, self.relay) {
            let mut bytes = MARKER.to_vec();
            encode::write(&mut bytes, &packet)?;
            if bytes.len() <= max_bytes || origins.len() + asks.len() == 1 {
                datagrams.push(bytes);
                return Ok(());
            }
        }
        let (first, last) = origins.split_at(origins.len() / 2);
        let (first_asks, last_asks) = asks.split_at(asks.len().div_ceil(2));
        self.encode_part(first, first_asks, max_bytes, datagrams)?;
        self.encode_part(last, last_asks, max_bytes, datagrams)
    }

    /// Decodes a datagram; `None` if it is something else.
    pub fn decode(bytes: &[u8]) -> Option<Result<Self, decode::Error>> {
        let body = bytes.strip_prefix(&MARKER)?;
        Some(rmp_serde::from_slice(body).and_then(unpack))
    }
}

/// The index of a name, which is added if it is new; `None` if there are too many.
fn index_of<T: Clone + PartialEq>(names: &mut Vec<T>, name: &T) -> Option<u8> {
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.clone());
        names.len() - 1
    });
    u8::try_from(at).ok().filter(|_| at < MAX_NAMES)
}

/// `None` if there are too many names for one datagram.
fn pack(origins: &[OriginRecord], asks: &[OriginAsk], relay: bool) -> Option<Packet> {
    let (mut services, mut releases) = (Vec::new(), Vec::new());
    let mut packed = Vec::with_capacity(origins.len());
    for origin in origins {
        let service = index_of(&mut services, &origin.service)?;
        let release = match &origin.release {
            Some(release) => Some(index_of(&mut releases, release)?),
            None => None,
        };
        packed.push(PackedOrigin(origin.key, service, release, origin.ends_ms));
    }
    let asks = asks
        .iter()
        .map(|ask| Some((ask.key, index_of(&mut services, &ask.service)?)));
    Some(Packet {
        asks: asks.collect::<Option<_>>()?,
        services,
        releases,
        origins: packed,
        relay,
    })
}

fn unpack(packet: Packet) -> Result<OriginNews, decode::Error> {
    let no_service = || decode::Error::custom("a service that the datagram doesn't name");
    let no_release = || decode::Error::custom("a release that the datagram doesn't name");
    let service = |at: u8| packet.services.get(usize::from(at)).cloned();
    let mut origins = Vec::with_capacity(packet.origins.len());
    for PackedOrigin(key, at, release, ends_ms) in packet.origins {
        let release = match release {
            Some(at) => {
                let release = packet.releases.get(usize::from(at));
                Some(release.cloned().ok_or_else(no_release)?)
            }
            None => None,
        };
        origins.push(OriginRecord {
            key,
            service: service(at).ok_or_else(no_service)?,
            release,
            ends_ms,
        });
    }
    let asks = packet.asks.into_iter().map(|(key, at)| {
        let service = service(at).ok_or_else(no_service)?;
        Ok(OriginAsk { key, service })
    });
    Ok(OriginNews {
        asks: asks.collect::<Result<_, decode::Error>>()?,
        origins,
        relay: packet.relay,
    })
}
