//! Keys of configuration items, written as `kind/name`.

use {
    compact_str::{CompactString, ToCompactString},
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt, str::FromStr},
    types::{ClassId, KeyDigest, ModelId, OrgId, RouteId, ZoneId},
};

/// Identifies a configuration item.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub enum ItemKey {
    /// A class.
    Class(ClassId),
    /// An organisation.
    Org(OrgId),
    /// An API key, by its digest.
    Key(KeyDigest),
    /// A model.
    Model(ModelId),
    /// A route.
    Route(RouteId),
    /// The default limits.
    Limits,
    /// An exception to the default limits, by its name.
    Exception(CompactString),
    /// The pool of a model or service in an availability zone.
    Pool(ModelId, ZoneId),
}

/// Error for a text that is not an item key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseKeyError(CompactString);

impl fmt::Display for ParseKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not an item; accepted: class/NAME org/NAME key/DIGEST model/NAME route/NAME \
             limits exception/NAME pool/MODEL@ZONE",
            self.0
        )
    }
}

impl Error for ParseKeyError {}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Class(id) => write!(f, "class/{id}"),
            Self::Org(id) => write!(f, "org/{id}"),
            Self::Key(digest) => write!(f, "key/{digest}"),
            Self::Model(id) => write!(f, "model/{id}"),
            Self::Route(id) => write!(f, "route/{id}"),
            Self::Limits => write!(f, "limits"),
            Self::Exception(id) => write!(f, "exception/{id}"),
            Self::Pool(serves, zone) => write!(f, "pool/{serves}@{zone}"),
        }
    }
}

impl FromStr for ItemKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseKeyError(text.into()))
    }
}

/// Parses `kind/name`.
fn parse(text: &str) -> Option<ItemKey> {
    if text == "limits" {
        return Some(ItemKey::Limits);
    }
    let (kind, name) = text.split_once('/')?;
    match kind {
        "class" => name.parse().ok().map(ItemKey::Class),
        "org" => name.parse().ok().map(ItemKey::Org),
        "key" => name.parse().ok().map(ItemKey::Key),
        "model" => name.parse().ok().map(ItemKey::Model),
        "route" => name.parse().ok().map(ItemKey::Route),
        "exception" => Some(ItemKey::Exception(name.into())),
        "pool" => {
            let (serves, zone) = name.split_once('@')?;
            Some(ItemKey::Pool(serves.parse().ok()?, zone.parse().ok()?))
        }
        _ => None,
    }
}

impl TryFrom<CompactString> for ItemKey {
    type Error = ParseKeyError;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ItemKey> for CompactString {
    fn from(key: ItemKey) -> Self {
        key.to_compact_string()
    }
}
