//! The endpoints that this VM knows, and the recent changes of their list.

mod change_history;
mod endpoint;
mod evacuation_table;
mod read_span;
mod registry;
mod removals;

pub(crate) use {
    change_history::{ChangeHistory, EndpointChange},
    read_span::{ReadAges, ReadSpan},
};
pub use {
    endpoint::Endpoint,
    evacuation_table::EvacuationTable,
    registry::{Registry, RegistryChange},
};
