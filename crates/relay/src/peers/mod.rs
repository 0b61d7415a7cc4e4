//! What VMs tell each other: their load at each endpoint, a few times a second, by datagrams.

mod news;
mod table;

pub(crate) use {
    news::PeerNews,
    table::{PeerTable, SHORTEST, SILENT},
};
