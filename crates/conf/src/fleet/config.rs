//! The configuration state. Nodes that apply the same records have the same state.

use {
    super::{
        ApiKey, Change, ChangeError, ChangeId, ChangeOutcome, Class, Item, ItemKey, LimitException,
        Limits, Model, Op, Org, Route,
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::collections::{BTreeMap, VecDeque},
    types::{ClassId, KeyDigest, ModelId, OrgId, RouteId, Version},
};

/// Outcomes of recent changes that are stored, to ignore repeated changes and to answer operators.
const MAX_RECENT_OUTCOMES: usize = 512;

/// An item and the version that last changed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedItem {
    /// Version of the change that last wrote the item.
    pub version: Version,
    /// The item.
    pub item: Item,
}

/// Outcome of a recent change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RecentOutcome {
    id: ChangeId,
    outcome: ChangeOutcome,
}

/// The fleet's configuration at a version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    version: Version,
    items: BTreeMap<ItemKey, VersionedItem>,
    /// Outcomes of recent changes, oldest first.
    kept: VecDeque<RecentOutcome>,
}

impl Config {
    /// Returns the version: the log offset after the last applied record.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns all items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = (&ItemKey, &VersionedItem)> {
        self.items.iter()
    }

    /// Returns one item.
    pub fn get(&self, key: &ItemKey) -> Option<&VersionedItem> {
        self.items.get(key)
    }

    /// Returns the outcome of a recent change.
    pub fn outcome(&self, id: ChangeId) -> Option<&ChangeOutcome> {
        self.kept.iter().find(|k| k.id == id).map(|k| &k.outcome)
    }

    /// Returns a digest of the state, to compare nodes: SHA-256 of the SHA-256 of its JSON.
    pub fn digest(&self) -> KeyDigest {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        KeyDigest::of_key(&Sha256::digest(bytes))
    }

    /// Applies the record at `offset`; records below the version are skipped. A record that is not
    /// a change only advances the version.
    pub fn fold(&mut self, offset: u64, record: &str) -> Option<ChangeOutcome> {
        let version = Version::after(offset);
        if version <= self.version {
            return None;
        }
        self.version = version;
        let change: Change = serde_json::from_str(record).ok()?;
        if self.outcome(change.id).is_some() {
            return None;
        }
        let outcome = match self.apply(&change, version) {
            Ok(items) => {
                self.items = items;
                ChangeOutcome::Accepted(version)
            }
            Err(refused) => ChangeOutcome::Refused(refused),
        };
        self.kept.push_back(RecentOutcome {
            id: change.id,
            outcome: outcome.clone(),
        });
        if self.kept.len() > MAX_RECENT_OUTCOMES {
            self.kept.pop_front();
        }
        Some(outcome)
    }

    /// Returns the items after a change, or why it is rejected.
    fn apply(
        &self,
        change: &Change,
        version: Version,
    ) -> Result<BTreeMap<ItemKey, VersionedItem>, ChangeError> {
        let mut items = self.items.clone();
        for op in &change.ops {
            let key = op.key();
            let current = self.items.get(&key).map(|e| e.version).unwrap_or_default();
            if op.base() != current {
                return Err(ChangeError::Raced(key, current));
            }
            match op {
                Op::Put { item, .. } => {
                    self.check_put(item)?;
                    items.insert(
                        key,
                        VersionedItem {
                            version,
                            item: item.clone(),
                        },
                    );
                }
                Op::Remove { .. } => {
                    self.check_remove(&key)?;
                    items.remove(&key);
                }
            }
        }
        check_references(&items)?;
        Ok(items)
    }

    fn check_put(&self, item: &Item) -> Result<(), ChangeError> {
        item.validate()
            .map_err(|message| ChangeError::Invalid(item.key(), message.into()))?;
        if let Item::Key(new) = item
            && self.key(&new.digest).is_some_and(|old| old.withdrawn)
            && !new.withdrawn
        {
            return Err(ChangeError::Withdrawn(item.key()));
        }
        Ok(())
    }

    /// A withdrawn key is never removed; otherwise it could be added again as a valid one.
    fn check_remove(&self, key: &ItemKey) -> Result<(), ChangeError> {
        match self.get(key).map(|e| &e.item) {
            Some(Item::Key(k)) if k.withdrawn => Err(ChangeError::Withdrawn(key.clone())),
            _ => Ok(()),
        }
    }

    /// Returns a class.
    pub fn class(&self, id: &ClassId) -> Option<&Class> {
        match &self.get(&ItemKey::Class(id.clone()))?.item {
            Item::Class(class) => Some(class),
            _ => None,
        }
    }

    /// Returns an organisation.
    pub fn org(&self, id: &OrgId) -> Option<&Org> {
        match &self.get(&ItemKey::Org(id.clone()))?.item {
            Item::Org(org) => Some(org),
            _ => None,
        }
    }

    /// Returns an API key.
    pub fn key(&self, digest: &KeyDigest) -> Option<&ApiKey> {
        match &self.get(&ItemKey::Key(*digest))?.item {
            Item::Key(key) => Some(key),
            _ => None,
        }
    }

    /// Returns a model.
    pub fn model(&self, id: &ModelId) -> Option<&Model> {
        match &self.get(&ItemKey::Model(id.clone()))?.item {
            Item::Model(model) => Some(model),
            _ => None,
        }
    }

    /// Returns all models.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.items.values().filter_map(|e| match &e.item {
            Item::Model(model) => Some(model),
            _ => None,
        })
    }

    /// Returns the route whose prefix is the longest that `path` starts with.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let routes = self.items.values().filter_map(|e| match &e.item {
            Item::Route(route) => Some(route),
            _ => None,
        });
        routes
            .filter(|r| path.starts_with(r.prefix.as_str()))
            .max_by_key(|r| r.prefix.len())
    }

    /// Returns the limits for requests of `org` in `class` on `route`: those of the matching
    /// exception that names most of the three, otherwise the defaults.
    pub fn limits(&self, org: &OrgId, class: &ClassId, route: Option<&RouteId>) -> Limits {
        let exceptions = self.items.values().filter_map(|e| match &e.item {
            Item::Exception(exception) => Some(exception),
            _ => None,
        });
        let most_specific = exceptions
            .filter_map(|e| Some((specificity(e, org, class, route)?, e)))
            .max_by_key(|(rank, _)| *rank);
        if let Some((_, exception)) = most_specific {
            return exception.limits;
        }
        match self.get(&ItemKey::Limits).map(|e| &e.item) {
            Some(Item::Limits(limits)) => *limits,
            _ => Limits::default(),
        }
    }
}

/// Returns how many conditions an exception names, if all of them match.
fn specificity(
    e: &LimitException,
    org: &OrgId,
    class: &ClassId,
    route: Option<&RouteId>,
) -> Option<u8> {
    let holds = e.org.as_ref().is_none_or(|o| o == org)
        && e.class.as_ref().is_none_or(|c| c == class)
        && e.route.as_ref().is_none_or(|r| Some(r) == route);
    let named = [e.org.is_some(), e.class.is_some(), e.route.is_some()];
    holds.then(|| named.into_iter().map(u8::from).sum())
}

/// Checks that every item that another one refers to exists.
fn check_references(items: &BTreeMap<ItemKey, VersionedItem>) -> Result<(), ChangeError> {
    for entry in items.values() {
        for referenced in references(&entry.item) {
            if !items.contains_key(&referenced) {
                return Err(ChangeError::Dangling(entry.item.key(), referenced));
            }
        }
    }
    Ok(())
}

/// Returns the keys of the items that an item refers to.
fn references(item: &Item) -> Vec<ItemKey> {
    match item {
        Item::Key(key) => {
            let mut referenced = vec![
                ItemKey::Org(key.org.clone()),
                ItemKey::Class(key.class.clone()),
            ];
            referenced.extend(key.classes.iter().cloned().map(ItemKey::Class));
            referenced
        }
        Item::Route(route) => vec![ItemKey::Class(route.class.clone())],
        Item::Exception(e) => {
            let org = e.org.iter().cloned().map(ItemKey::Org);
            let class = e.class.iter().cloned().map(ItemKey::Class);
            let route = e.route.iter().cloned().map(ItemKey::Route);
            org.chain(class).chain(route).collect()
        }
        Item::Class(_) | Item::Org(_) | Item::Model(_) | Item::Limits(_) | Item::Pool(_) => {
            Vec::new()
        }
    }
}
