//! Orders endpoints for this VM's availability zone while this process holds the orders lease.

mod controller;
mod demand;
mod reconcile;

pub(crate) use controller::OrderController;
