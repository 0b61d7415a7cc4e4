//! Orders endpoints for this VM's availability zone while its lease is held.

mod demand;
mod desk;
mod govern;

pub(crate) use desk::Orders;
