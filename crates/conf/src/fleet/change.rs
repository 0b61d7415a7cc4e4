//! Changes that operators publish, and what the fold made of them.

use {
    super::{Item, ItemKey},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt},
    types::{OperatorId, RequestId, Version},
};

/// Identifies a change, so that a change appended twice counts once.
pub type ChangeId = RequestId;

/// One step of a change. `base` is the version of the item that the operator saw, 0 for none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Adds or replaces an item.
    Put {
        /// Version that the operator saw.
        base: Version,
        /// The new item.
        item: Item,
    },
    /// Removes an item.
    Remove {
        /// Version that the operator saw.
        base: Version,
        /// The item's key.
        key: ItemKey,
    },
}

impl Op {
    /// Key of the item that the step touches.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Put { item, .. } => item.key(),
            Self::Remove { key, .. } => key.clone(),
        }
    }

    /// Version that the operator saw.
    pub fn base(&self) -> Version {
        match self {
            Self::Put { base, .. } | Self::Remove { base, .. } => *base,
        }
    }
}

/// A change: all of its steps take effect, or none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identifier, chosen by the operator's command.
    pub id: ChangeId,
    /// Who published it.
    pub by: OperatorId,
    /// Steps in order.
    pub ops: Vec<Op>,
}

/// Why the fold refused a change. Every node refuses the same changes for the same reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeError {
    /// Another change touched this item after the version that this one is based on.
    Raced(ItemKey, Version),
    /// A value is out of range.
    Invalid(ItemKey, CompactString),
    /// The item names another one that does not exist.
    Dangling(ItemKey, ItemKey),
    /// Another item still names the item to be removed.
    InUse(ItemKey, ItemKey),
    /// A withdrawn key cannot be given again.
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
            Self::Invalid(key, what) => write!(f, "{key}: {what}"),
            Self::Dangling(key, other) => write!(f, "{key} names {other}, which does not exist"),
            Self::InUse(key, other) => write!(f, "{key} is still named by {other}"),
            Self::Withdrawn(key) => write!(f, "{key} was withdrawn for good"),
        }
    }
}

impl Error for ChangeError {}

/// What the fold made of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// In force from this version on.
    Accepted(Version),
    /// Without effect.
    Refused(ChangeError),
}
