//! Support across the fleet for assignments and for the log of origins, derived from gossip formats.

use {
    super::{
        MessageFormat,
        peer_table::{Peer, PeerTable},
    },
    clock::Instant,
};

/// Largest fleet that logs the origins of streams: in a larger one each VM could write too seldom.
const MAX_LOGGING_VMS: u32 = 100;

impl PeerTable {
    /// Whether all peers of this zone support assignments, including those that have timed out recently.
    pub(crate) fn zone_follows_assignments(&self) -> bool {
        self.zone_reads(MessageFormat::ASSIGNMENTS)
    }

    /// Whether all VMs of the fleet support assignments. In a large fleet the hubs report it for their zones.
    pub(crate) fn all_follow_assignments(&self) -> bool {
        self.all_read(MessageFormat::ASSIGNMENTS, |hub| hub.assigned)
    }

    /// Whether all peers of this zone log the origins of streams, including those that have timed out recently.
    pub(crate) fn zone_logs_origins(&self) -> bool {
        self.zone_reads(MessageFormat::ORIGIN_LOG)
    }

    /// Whether all VMs of the fleet log the origins of streams. In a large fleet the hubs report it for their zones.
    pub(crate) fn all_log_origins(&self, now: Instant) -> bool {
        self.fleet_size(now) <= MAX_LOGGING_VMS
            && self.all_read(MessageFormat::ORIGIN_LOG, |hub| hub.logs)
    }

    fn zone_reads(&self, format: MessageFormat) -> bool {
        let mut peers = self.peers.values().filter(|p| p.zone == self.zone);
        peers.all(|p| p.format >= format)
    }

    fn all_read(&self, format: MessageFormat, zone_reads: impl Fn(&Peer) -> bool) -> bool {
        let mut peers = self.peers.values();
        peers.all(|p| p.format >= format && (zone_reads(p) || !p.hub))
    }
}
