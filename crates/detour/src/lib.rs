//! Requests of a VM that has lost its links to the endpoints go through other VMs.
//!
//! Designed for these conditions: some VMs, also most of a fleet or a whole availability zone, are
//! partitioned from all endpoints while callers and the other VMs still reach them; connections hang, are
//! refused or are reset, or live on while new ones are refused; endpoints crash or fall silent without
//! any partition; the VM itself is paused; a VM that carries requests for others fails or is cut as well.

mod carrier;
mod carrier_table;
mod reachability;

pub use {
    carrier::{Carrier, CarryRefusal},
    carrier_table::CarrierTable,
    reachability::{ConnectFailure, Link, Reachability},
};
