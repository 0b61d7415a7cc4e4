//! Entries under failure, as real processes.

mod at_most_once;
mod common;
mod home_lost;
mod keys;
mod zones;
