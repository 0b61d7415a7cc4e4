//! A release's state machine of the duty lease, as the simulation drives it.

use {
    super::wire::{Append, AppendAnswer, Records},
    clock::Instant,
    std::time::Duration,
};

/// Usage figure of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Figure {
    pub(crate) window: u64,
    pub(crate) count: u64,
}

/// Permission to act as the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Permission {
    pub(crate) token: u64,
    pub(crate) until: Instant,
}

/// A VM's clocks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Time {
    pub(crate) now: Instant,
    /// The time of day.
    pub(crate) unix: Duration,
}

/// One VM's view of the lease.
pub(crate) trait LeaseView {
    fn must_read(&self) -> bool;
    fn is_holder(&self) -> bool;
    fn end_offset(&self) -> u64;
    /// Handles the answer to a read; false if it is useless.
    fn read_done(&mut self, time: Time, records: &Records) -> bool;
    /// The claim or renewal that is due.
    fn next_append(&mut self, now: Instant) -> Option<Append>;
    /// The record that fixes a figure, if this VM may act.
    fn seal(&mut self, now: Instant, figure: Figure) -> Option<Append>;
    /// Handles the start of an append.
    fn append_started(&mut self, now: Instant, append: &Append);
    /// Handles the answer to an append; `None` if its outcome is unknown.
    fn append_done(&mut self, time: Time, append: &Append, answer: Option<AppendAnswer>);
    fn permission(&self, now: Instant) -> Option<Permission>;
    /// The figure that was fixed for a window.
    fn sealed(&self, window: u64) -> Option<u64>;
}
