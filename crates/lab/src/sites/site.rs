//! Zones, endpoints, classes and organisations of the two systems.

use {
    eyre::{Report, Result},
    harness::{ClusterSpec, ClusterZone},
    standin::engine::EngineProfile,
    std::{net::SocketAddr, str::FromStr},
};

/// Which of the two systems.
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
            _ => Err(eyre::eyre!("site: accepted is malabar or grandformat")),
        }
    }
}

/// A zone: name, VMs, engines, cheap engines among them, service replicas.
type ZoneSpec = (&'static str, usize, usize, usize, usize);

/// A class of work with its targets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassSpec {
    pub(crate) name: &'static str,
    pub(crate) tier: u8,
    pub(crate) first_ms: u32,
    pub(crate) between_ms: u32,
}

/// One of the two systems.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    pub(crate) name: &'static str,
    pub(crate) model: &'static str,
    pub(crate) service: &'static str,
    pub(crate) prefix: &'static str,
    zones: &'static [ZoneSpec],
    /// Top, middle, low, reading and writing class, in this order.
    pub(crate) classes: [ClassSpec; 5],
    pub(crate) orgs: [&'static str; 10],
}

/// Organisations that send several times as much as the others.
pub(crate) const LARGE_ORGS: usize = 3;
/// Engine speed of the experiments: small enough that one machine carries eighteen engines.
pub(crate) const PROFILE: EngineProfile = EngineProfile {
    slots: 8,
    step_us: 16_000,
    added_step_us: 1_000,
    prefill_us: 100,
    cached_prefixes: 64,
};

const fn class(name: &'static str, tier: u8, first_ms: u32, between_ms: u32) -> ClassSpec {
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
        class("summary", 0, 1_100, 40),
        class("defect-note", 1, 2_500, 50),
        class("archive", 3, 10_000, 150),
        class("certificate", 1, 500, 1_000),
        class("renewal", 0, 1_000, 1_000),
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
        class("proof", 0, 1_100, 40),
        class("press", 1, 2_500, 50),
        class("catalogue", 3, 10_000, 150),
        class("status", 1, 500, 1_000),
        class("order", 0, 1_000, 1_000),
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
    /// The system of this kind.
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

    /// The harness's shape, with further lines of the entries' settings.
    pub fn cluster_spec(&self, entry: impl Into<String>) -> Result<ClusterSpec> {
        let zone = |&(name, vms, engines, cheap, services): &ZoneSpec| -> Result<ClusterZone> {
            Ok(ClusterZone {
                zone: name.parse()?,
                vms,
                engines,
                cheap,
                services,
            })
        };
        let speed = [
            ("--slots", u64::from(PROFILE.slots)),
            ("--step-us", PROFILE.step_us),
            ("--crowd-us", PROFILE.added_step_us),
            ("--prefill-us", PROFILE.prefill_us),
        ];
        let speed = speed
            .into_iter()
            .flat_map(|(k, v)| [k.into(), v.to_string()]);
        Ok(ClusterSpec {
            zones: self.zones.iter().map(zone).collect::<Result<_>>()?,
            model: self.model.parse()?,
            service: self.service.parse()?,
            items: self.items()?,
            engine_args: speed.collect(),
            entry_settings: entry.into(),
            steward_settings: String::new(),
        })
    }

    /// Entries in the order in which a balancer uses them: every availability zone gets the same
    /// share, whatever its number of VMs.
    pub fn balancer_order(&self, entries: &[SocketAddr]) -> Vec<SocketAddr> {
        let longest = self.zones.iter().map(|z| z.1).product::<usize>();
        let mut turns = Vec::new();
        for turn in 0..longest {
            let mut first = 0;
            for (_, vms, ..) in self.zones {
                turns.extend(entries.get(first + turn % vms));
                first += vms;
            }
        }
        turns
    }
}
