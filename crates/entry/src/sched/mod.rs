//! Scheduling: queues of requests and the slots of endpoints.

mod lease_client;
mod lease_server;
mod outbox;
mod policy;
mod remote_slot;
mod scheduler;
mod service_scheduler;
mod sharing;
mod slot_lease;
#[cfg(test)]
mod tests;

pub(crate) use {
    lease_client::{HomeRankings, LeaseClient},
    lease_server::LeaseServer,
    outbox::{Outboxes, PeerSink},
    policy::PolicySettings,
    scheduler::Scheduler,
    service_scheduler::Attribution,
    sharing::{SharingMode, SlotSharing},
    slot_lease::{AcquireFuture, Dispatcher, Slot, SlotLease, SlotRequest},
};
