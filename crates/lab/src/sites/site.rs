//! Availability zones, endpoints, classes and organisations of the two reference systems.

use {
    eyre::{Report, Result},
    harness::{ClusterSpec, ClusterZone},
    standin::engine::EngineSettings,
    std::{net::SocketAddr, str::FromStr},
};

/// Identifies a reference system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteKind {
    /// Boiler surveys: three availability zones, nine engines, three service replicas.
    Malabar,
    /// Large prints: four availability zones, eighteen engines, four service replicas.
    Grandformat,
}

impl FromStr for SiteKind {
    type Err = Report;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "malabar" => Ok(Self::Malabar),
            "grandformat" => Ok(Self::Grandformat),
            _ => Err(eyre::eyre!(
                "invalid site {text:?}: expected malabar or grandformat"
            )),
        }
    }
}

/// An availability zone: name, then the numbers of VMs, engines, cheap engines among them, and
/// service replicas.
type ZoneSpec = (&'static str, usize, usize, usize, usize);

/// A class of requests with its latency targets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassSpec {
    pub(crate) name: &'static str,
    pub(crate) tier: u8,
    pub(crate) first_ms: u32,
    pub(crate) between_ms: u32,
}

/// A reference system: its topology, model, service, classes and organisations.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    pub(crate) name: &'static str,
    pub(crate) model: &'static str,
    pub(crate) service: &'static str,
    pub(crate) prefix: &'static str,
    zones: &'static [ZoneSpec],
    /// Classes for high, medium and low priority, for reads and for writes, in this order.
    pub(crate) classes: [ClassSpec; 5],
    pub(crate) orgs: [&'static str; 10],
}

/// Number of organisations, from the first, that send several times as much as the others.
pub(crate) const LARGE_ORGS: usize = 3;
/// Speed of the stand-in engines, low enough that one machine can run eighteen of them.
pub(crate) const PROFILE: EngineSettings = EngineSettings {
    slots: 8,
    step_us: 16_000,
    added_us: 1_000,
    prefill_us: 100,
    cached_prefixes: 64,
};

const fn class_spec(name: &'static str, tier: u8, first_ms: u32, between_ms: u32) -> ClassSpec {
    ClassSpec {
        name,
        tier,
        first_ms,
        between_ms,
    }
}

const MALABAR: Site = Site {
    name: "malabar",
    model: "surveyor-llm",
    service: "permit-desk",
    prefix: "/permits/",
    zones: &[
        ("ernakulam", 3, 3, 1, 1),
        ("calicut", 3, 3, 1, 1),
        ("trivandrum", 2, 3, 1, 1),
    ],
    classes: [
        class_spec("summary", 0, 1_100, 40),
        class_spec("defect-note", 1, 2_500, 50),
        class_spec("archive", 3, 10_000, 150),
        class_spec("certificate", 1, 500, 1_000),
        class_spec("renewal", 0, 1_000, 1_000),
    ],
    orgs: [
        "rubber-board",
        "tea-estates",
        "directorate",
        "rice-mill-a",
        "rice-mill-b",
        "rice-mill-c",
        "coir-works",
        "cashew-plant",
        "timber-yard",
        "tile-factory",
    ],
};

const GRANDFORMAT: Site = Site {
    name: "grandformat",
    model: "modele-epreuve",
    service: "atelier-api",
    prefix: "/atelier/",
    zones: &[
        ("qc-east-a", 2, 5, 2, 1),
        ("qc-east-b", 2, 5, 2, 1),
        ("qc-east-c", 2, 4, 1, 1),
        ("qc-east-d", 2, 4, 1, 1),
    ],
    classes: [
        class_spec("proof", 0, 1_100, 40),
        class_spec("press", 1, 2_500, 50),
        class_spec("catalogue", 3, 10_000, 150),
        class_spec("status", 1, 500, 1_000),
        class_spec("order", 0, 1_000, 1_000),
    ],
    orgs: [
        "agence-nord",
        "universite",
        "festival",
        "librairie",
        "musee",
        "imprimeur-a",
        "imprimeur-b",
        "theatre",
        "galerie",
        "cooperative",
    ],
};

impl SiteKind {
    /// The reference system with this name.
    pub fn site(self) -> Site {
        match self {
            Self::Malabar => MALABAR,
            Self::Grandformat => GRANDFORMAT,
        }
    }
}

impl Site {
    /// Number of engines.
    pub fn engine_count(&self) -> usize {
        self.zones.iter().map(|(_, _, engines, _, _)| engines).sum()
    }

    /// Cluster to start; `entry_settings` are YAML lines added to the entries' settings.
    pub fn cluster_spec(&self, entry_settings: impl Into<String>) -> Result<ClusterSpec> {
        let zone = |&(name, vms, engines, cheap, services): &ZoneSpec| -> Result<ClusterZone> {
            Ok(ClusterZone {
                zone: name.parse()?,
                vms,
                engines,
                cheap,
                services,
            })
        };
        let engine_args = [
            ("--slots", u64::from(PROFILE.slots)),
            ("--step-us", PROFILE.step_us),
            ("--crowd-us", PROFILE.added_us),
            ("--prefill-us", PROFILE.prefill_us),
        ];
        let engine_args = engine_args
            .into_iter()
            .flat_map(|(k, v)| [k.into(), v.to_string()]);
        Ok(ClusterSpec {
            zones: self.zones.iter().map(zone).collect::<Result<_>>()?,
            model: self.model.parse()?,
            service: self.service.parse()?,
            items: self.config_items()?,
            engine_args: engine_args.collect(),
            entry_settings: entry_settings.into(),
            steward_settings: String::new(),
        })
    }

    /// Entries in the order in which a load balancer uses them. Every availability zone gets the
    /// same share of requests, whatever its number of VMs.
    pub fn balancer_order(&self, entries: &[SocketAddr]) -> Vec<SocketAddr> {
        let rounds = self.zones.iter().map(|z| z.1).product::<usize>();
        let mut order = Vec::new();
        for round in 0..rounds {
            let mut first_entry = 0;
            for (_, vms, ..) in self.zones {
                order.extend(entries.get(first_entry + round % vms));
                first_entry += vms;
            }
        }
        order
    }
}
