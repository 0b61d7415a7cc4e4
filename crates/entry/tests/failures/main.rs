//! Failures of entries and their surroundings, with real processes.

mod at_most_once;
mod common;
mod home_lost;
mod keys;
mod zones;
