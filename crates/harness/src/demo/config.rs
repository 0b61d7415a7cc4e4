//! Configuration and load of the demo.

use {
    conf::{ApiKey, Class, Item, Limits, Model, Org, Route, Targets},
    eyre::Result,
    load::{Flow, LengthDistribution, RequestKind},
    types::{ClassId, KeyDigest, PerSecond, Tier, Tokens},
};

/// Model that the engines serve.
pub(super) const MODEL: &str = "surveyor-llm";
/// Name of the plain service.
pub(super) const SERVICE: &str = "permit-desk";

struct ClassSpec {
    name: &'static str,
    tier: u8,
    first_ms: u32,
    between_ms: u32,
}

const CLASSES: [ClassSpec; 4] = [
    ClassSpec {
        name: "urgent",
        tier: 0,
        first_ms: 400,
        between_ms: 30,
    },
    ClassSpec {
        name: "summary",
        tier: 1,
        first_ms: 1_000,
        between_ms: 40,
    },
    ClassSpec {
        name: "desk",
        tier: 1,
        first_ms: 500,
        between_ms: 1_000,
    },
    ClassSpec {
        name: "batch",
        tier: 3,
        first_ms: 10_000,
        between_ms: 100,
    },
];

const ORGS: [&str; 4] = ["rice-mill", "rubber-factory", "tea-estate", "directorate"];

fn class(spec: &ClassSpec) -> Result<Item> {
    Ok(Item::Class(Class {
        id: spec.name.parse()?,
        tier: Tier(spec.tier),
        targets: Targets {
            first_ms: spec.first_ms,
            between_ms: spec.between_ms,
            objective: 0.95,
        },
        queue: 200,
        starve_ms: 2_000,
    }))
}

/// Key of an organisation.
fn org_key(org: &str) -> String {
    format!("ck-demo-{org}")
}

/// Configuration of the demo: classes, organisations, keys, a model, a route and limits.
pub fn demo_config() -> Result<Vec<Item>> {
    let mut items: Vec<Item> = CLASSES.iter().map(class).collect::<Result<_>>()?;
    for org in ORGS {
        items.push(Item::Org(Org {
            id: org.parse()?,
            weight: 1,
        }));
        let digest = KeyDigest::of_key(org_key(org).as_bytes());
        let class: ClassId = "summary".parse()?;
        let key = ApiKey {
            digest,
            org: org.parse()?,
            class,
            classes: Vec::new(),
            withdrawn: false,
        };
        items.push(Item::Key(key));
    }
    items.push(Item::Model(Model {
        id: MODEL.parse()?,
        slots: 8,
        longest: Tokens(2048),
    }));
    items.push(Item::Route(Route {
        id: SERVICE.parse()?,
        prefix: "/permits/".into(),
        service: SERVICE.parse()?,
        open: false,
        class: "desk".parse()?,
        idempotent: false,
        slots: 16,
        timeout_ms: 5_000,
    }));
    let requests = Some(PerSecond::try_from(500.0)?);
    items.push(Item::Limits(Limits {
        requests,
        ..Limits::default()
    }));
    Ok(items)
}

/// Traffic of the demo: one flow for every organisation in every class.
pub(super) fn demo_flows() -> Result<Vec<Flow>> {
    let mut flows = Vec::new();
    for (i, org) in ORGS.iter().enumerate() {
        for spec in &CLASSES {
            flows.push(flow(org, spec, i)?);
        }
    }
    Ok(flows)
}

fn flow(org: &str, spec: &ClassSpec, index: usize) -> Result<Flow> {
    let chat = |median, spread| -> Result<RequestKind> {
        let lengths = LengthDistribution {
            median,
            spread,
            longest: 200,
        };
        Ok(RequestKind::Chat {
            model: MODEL.parse()?,
            lengths,
            prompt: 400,
            prefixes: 4,
        })
    };
    let (work, rate) = match spec.name {
        "urgent" => (chat(12.0, 0.3)?, 1.5),
        "summary" => (chat(30.0, 0.6)?, 2.0),
        "batch" => (chat(40.0, 0.8)?, 1.0),
        _ if index.is_multiple_of(2) => (
            RequestKind::Get {
                path: "/permits/certificate".into(),
            },
            4.0,
        ),
        _ => (
            RequestKind::Post {
                path: "/permits/renewal".into(),
                keyed: true,
            },
            2.0,
        ),
    };
    Ok(Flow {
        org: org.parse()?,
        key: org_key(org).into(),
        class: spec.name.parse()?,
        first_ms: spec.first_ms.into(),
        between_ms: spec.between_ms.into(),
        rate,
        from_s: 0.0,
        until_s: None,
        work,
    })
}
