//! Changes that operators publish, and their outcomes.

use {
    super::{Item, ItemKey},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt},
    types::{OperatorId, RequestId, Version},
};

/// Identifies a change, so that one that is appended twice is applied once.
pub type ChangeId = RequestId;

/// One operation of a change. It applies only if the item's version is still `base`, 0 for an item
/// that does not exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Adds or replaces an item.
    Put {
        /// Version of the item that the operator saw.
        base: Version,
        /// New value of the item.
        item: Item,
    },
    /// Removes an item.
    Remove {
        /// Version of the item that the operator saw.
        base: Version,
        /// Key of the item.
        key: ItemKey,
    },
}

impl Op {
    /// Returns the key of the item that the operation changes.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Put { item, .. } => item.key(),
            Self::Remove { key, .. } => key.clone(),
        }
    }

    /// Returns the version of the item that the operator saw.
    pub fn base(&self) -> Version {
        match self {
            Self::Put { base, .. } | Self::Remove { base, .. } => *base,
        }
    }
}

/// A change. Either all of its operations take effect or none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identifier, chosen by the command that publishes the change.
    pub id: ChangeId,
    /// Operator who published it.
    pub by: OperatorId,
    /// Operations in order.
    pub ops: Vec<Op>,
}

/// Why a change was rejected. Every node rejects the same changes for the same reasons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeError {
    /// Another change modified the item first; it now has this version.
    Raced(ItemKey, Version),
    /// A value is out of range.
    Invalid(ItemKey, CompactString),
    /// The first item refers to the second one, which does not exist.
    Dangling(ItemKey, ItemKey),
    /// The item cannot be removed, since another one still refers to it.
    InUse(ItemKey, ItemKey),
    /// A withdrawn API key cannot be made valid again or removed.
    Withdrawn(ItemKey),
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Raced(key, version) => {
                write!(
                    f,
                    "{key} was changed by another operator (now at version {version})"
                )
            }
            Self::Invalid(key, message) => write!(f, "{key}: {message}"),
            Self::Dangling(key, other) => write!(f, "{key} names {other}, which does not exist"),
            Self::InUse(key, other) => write!(f, "{key} is still named by {other}"),
            Self::Withdrawn(key) => write!(f, "{key} was withdrawn for good"),
        }
    }
}

impl Error for ChangeError {}

/// Outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is in force from this version on.
    Accepted(Version),
    /// The change was rejected and has no effect.
    Refused(ChangeError),
}
