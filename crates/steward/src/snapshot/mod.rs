//! Snapshots of the folded configuration on the log.

mod record;
mod writer;

pub(crate) use {record::newest_snapshot, writer::Snapshots};
