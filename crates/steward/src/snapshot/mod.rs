//! Snapshots of the configuration on the log. They let a VM start after old configuration records
//! were dropped.

mod record;
mod writer;

pub(crate) use {record::newest_snapshot, writer::SnapshotWriter};
