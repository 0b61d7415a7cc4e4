//! The leases that a steward contends for.

use {super::StewardSettings, coord::LeaseId, types::ZoneId};

/// Role that orders endpoints for a zone.
const ORDERS_ROLE: &str = "orders";
/// Role that seals and reports the usage windows of a zone.
const USAGE_ROLE: &str = "usage";
/// Role that writes snapshots of the configuration.
const SNAPSHOTS_ROLE: &str = "snapshots";

/// Returns the lease to order endpoints for `zone`.
pub(crate) fn orders_lease(zone: &ZoneId) -> LeaseId {
    LeaseId::zonal(ORDERS_ROLE, zone.clone())
}

/// Returns the lease to seal and report usage windows of `zone`.
pub(crate) fn usage_lease(zone: &ZoneId) -> LeaseId {
    LeaseId::zonal(USAGE_ROLE, zone.clone())
}

/// Returns the lease to write snapshots of the configuration.
pub(crate) fn snapshots_lease() -> LeaseId {
    LeaseId::global(SNAPSHOTS_ROLE)
}

/// Returns all leases that a steward with these settings contends for.
pub(crate) fn contended_leases(settings: &StewardSettings) -> Vec<LeaseId> {
    vec![
        orders_lease(&settings.zone),
        usage_lease(&settings.zone),
        snapshots_lease(),
    ]
}
