//! Configuration of the two systems.

use {
    super::{ClassSpec, Site, site::PROFILE},
    conf::{ApiKey, Class, Item, Model, Org, Route, Targets},
    eyre::Result,
    types::{KeyDigest, Tier, Tokens},
};

/// Requests of one class that may queue at one entry.
const QUEUE: u32 = 400;
const STARVE_MS: u32 = 4_000;
const SERVICE_SLOTS: u32 = 16;
const SERVICE_TIMEOUT_MS: u32 = 5_000;
const LONGEST: Tokens = Tokens(2_048);

fn class(spec: &ClassSpec) -> Result<Item> {
    Ok(Item::Class(Class {
        id: spec.name.parse()?,
        tier: Tier(spec.tier),
        targets: Targets {
            first_ms: spec.first_ms,
            between_ms: spec.between_ms,
            objective: 0.95,
        },
        queue: QUEUE,
        starve_ms: STARVE_MS,
    }))
}

impl Site {
    /// Key of an organisation.
    pub(super) fn key_text(&self, org: &str) -> String {
        format!("ck-lab-{}-{org}", self.name)
    }

    /// Key of the first organisation.
    pub(crate) fn first_key(&self) -> String {
        self.key_text(self.orgs[0])
    }

    /// Further organisations, each with `keys` keys.
    pub(crate) fn more_orgs(&self, orgs: usize, keys: usize) -> Result<Vec<Item>> {
        let mut items = Vec::new();
        for org in 0..orgs {
            let id = format!("org-{org}");
            items.push(Item::Org(Org {
                id: id.parse()?,
                weight: 1,
            }));
            for key in 0..keys {
                items.push(self.key(&id, &format!("{id}-{key}"))?);
            }
        }
        Ok(items)
    }

    /// A key of an organisation, from its text.
    pub(crate) fn key(&self, org: &str, text: &str) -> Result<Item> {
        Ok(Item::Key(ApiKey {
            digest: KeyDigest::of_key(text.as_bytes()),
            org: org.parse()?,
            class: self.classes[0].name.parse()?,
            classes: Vec::new(),
            withdrawn: false,
        }))
    }

    /// Classes, organisations with a key each, the model and the route.
    pub(super) fn items(&self) -> Result<Vec<Item>> {
        let mut items: Vec<Item> = self.classes.iter().map(class).collect::<Result<_>>()?;
        for org in self.orgs {
            items.push(Item::Org(Org {
                id: org.parse()?,
                weight: 1,
            }));
            items.push(self.key(org, &self.key_text(org))?);
        }
        items.push(Item::Model(Model {
            id: self.model.parse()?,
            slots: PROFILE.slots,
            longest: LONGEST,
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
