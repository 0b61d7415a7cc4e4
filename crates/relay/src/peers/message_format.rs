//! The format of gossip datagrams between releases.
//!
//! A message is an array, to which each release appended fields. Releases up to 839a701 accept only
//! arrays of the length that they write or a shorter one, and ignore what follows the array. So a
//! message names as many fields as its receiver reads, and carries all of them.

use std::fmt;

/// Marker of a MessagePack array with a length of two bytes.
const ARRAY_16: u8 = 0xdc;
/// Mask and marker of a MessagePack array with a length of four bits.
const FIX_ARRAY_MASK: u8 = 0xf0;
const FIX_ARRAY: u8 = 0x90;

/// Number of fields of a gossip message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageFormat(u8);

impl MessageFormat {
    /// What this release writes.
    pub(crate) const LATEST: Self = Self(21);
    /// The first one of VMs that support assignments of releases.
    pub(crate) const ASSIGNMENTS: Self = Self(20);
    /// The first one of VMs that log the origins of streams.
    pub(crate) const ORIGIN_LOG: Self = Self(21);
    /// What 7c794a2 and all later releases read.
    pub(crate) const COMMON: Self = Self(17);

    /// The formats with at least as many fields as `named`, latest first.
    pub(crate) fn from(named: Self) -> impl Iterator<Item = Self> {
        (named.0..=Self::LATEST.0).rev().map(Self)
    }

    /// The format that a message names.
    pub(crate) fn of(bytes: &[u8]) -> Self {
        let count = match bytes {
            [ARRAY_16, high, low, ..] => u16::from_be_bytes([*high, *low]),
            [first, ..] if first & FIX_ARRAY_MASK == FIX_ARRAY => {
                u16::from(first & !FIX_ARRAY_MASK)
            }
            _ => 0,
        };
        let count = u8::try_from(count).unwrap_or(u8::MAX);
        Self(count).min(Self::LATEST)
    }

    /// Makes an encoded message name this format.
    pub(crate) fn apply(self, bytes: &[u8]) -> Vec<u8> {
        let header = match bytes {
            [ARRAY_16, _, _, ..] => 3,
            [first, ..] if first & FIX_ARRAY_MASK == FIX_ARRAY => 1,
            _ => return bytes.to_vec(),
        };
        let mut message = vec![ARRAY_16, 0, self.0];
        message.extend_from_slice(&bytes[header..]);
        message
    }
}

impl fmt::Display for MessageFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
