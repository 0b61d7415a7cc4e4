//! Configuration items of a reference system.

use {
    super::{ClassSpec, Site, site::PROFILE},
    conf::{ApiKey, Class, Item, Model, Org, Route, Targets},
    eyre::Result,
    types::{KeyDigest, Tier, Tokens},
};

/// Most requests of one class that may queue at one entry.
const MAX_QUEUED: u32 = 400;
const STARVE_LIMIT_MS: u32 = 4_000;
const SERVICE_SLOTS: u32 = 16;
const SERVICE_TIMEOUT_MS: u32 = 5_000;
const MAX_RESPONSE_TOKENS: Tokens = Tokens(2_048);

fn class_item(spec: &ClassSpec) -> Result<Item> {
    Ok(Item::Class(Class {
        id: spec.name.parse()?,
        tier: Tier(spec.tier),
        targets: Targets {
            first_ms: spec.first_ms,
            between_ms: spec.between_ms,
            objective: 0.95,
        },
        queue: MAX_QUEUED,
        starve_ms: STARVE_LIMIT_MS,
    }))
}

impl Site {
    /// API key of an organisation.
    pub(super) fn api_key(&self, org: &str) -> String {
        format!("ck-lab-{}-{org}", self.name)
    }

    /// API key of the first organisation.
    pub(crate) fn first_api_key(&self) -> String {
        self.api_key(self.orgs[0])
    }

    /// Items for `orgs` additional organisations, each with `keys` API keys.
    pub(crate) fn extra_org_items(&self, orgs: usize, keys: usize) -> Result<Vec<Item>> {
        let mut items = Vec::new();
        for org in 0..orgs {
            let id = format!("org-{org}");
            items.push(Item::Org(Org {
                id: id.parse()?,
                weight: 1,
            }));
            for key in 0..keys {
                items.push(self.key_item(&id, &format!("{id}-{key}"))?);
            }
        }
        Ok(items)
    }

    /// Item for an API key of an organisation.
    pub(crate) fn key_item(&self, org: &str, text: &str) -> Result<Item> {
        Ok(Item::Key(ApiKey {
            digest: KeyDigest::of_key(text.as_bytes()),
            org: org.parse()?,
            class: self.classes[0].name.parse()?,
            classes: Vec::new(),
            withdrawn: false,
        }))
    }

    /// Items for the classes, the organisations with one API key each, the model and the route.
    pub(super) fn config_items(&self) -> Result<Vec<Item>> {
        let mut items: Vec<Item> = self.classes.iter().map(class_item).collect::<Result<_>>()?;
        for org in self.orgs {
            items.push(Item::Org(Org {
                id: org.parse()?,
                weight: 1,
            }));
            items.push(self.key_item(org, &self.api_key(org))?);
        }
        items.push(Item::Model(Model {
            id: self.model.parse()?,
            slots: PROFILE.slots,
            longest: MAX_RESPONSE_TOKENS,
        }));
        items.push(Item::Route(Route {
            id: self.service.parse()?,
            prefix: self.prefix.into(),
            service: self.service.parse()?,
            open: false,
            class: self.classes[3].name.parse()?,
            idempotent: false,
            slots: SERVICE_SLOTS,
            timeout_ms: SERVICE_TIMEOUT_MS,
        }));
        Ok(items)
    }
}
