//! The predefined experiments, each a traffic pattern with faults.

use {
    super::{Fault, FaultAction},
    crate::sites::{ClassRole, Site},
    eyre::{Report, Result, eyre},
    load::Flow,
    std::{fmt, str::FromStr},
};

/// Time between the notice of an eviction and the eviction, in seconds.
const EVICTION_NOTICE_S: f64 = 3.0;
const BURST_FACTOR: f64 = 2.0;
const STRAGGLER_FACTOR: f64 = 5.0;
/// Extra traffic of the heavy organisation, as a multiple of the normal traffic of the whole class.
const HEAVY_FACTOR: f64 = 2.0;
/// Start and end of faults and bursts, as fractions of the round.
const ACTIVE_FRACTION: [f64; 2] = [0.2, 0.8];
/// Index of the engine that fails: one of the first availability zone that is not cheap.
const FAULTY_ENGINE: usize = 2;

/// A traffic pattern together with its faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Experiment {
    /// Normal traffic without faults.
    Steady,
    /// Traffic of the medium-priority class doubles, so that total demand exceeds capacity.
    Burst,
    /// One engine becomes five times slower.
    Straggler,
    /// One engine breaks off its streams and refuses all requests.
    Crash,
    /// One engine stops generating tokens with its connections open, and resumes later.
    Hang,
    /// All cheap endpoints of one availability zone are evicted 3 s after a notice.
    Eviction,
    /// One organisation floods the medium-priority class.
    Heavy,
}

impl Experiment {
    /// All experiments.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Burst,
        Self::Straggler,
        Self::Crash,
        Self::Hang,
        Self::Eviction,
        Self::Heavy,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Burst => "burst",
            Self::Straggler => "straggler",
            Self::Crash => "crash",
            Self::Hang => "hang",
            Self::Eviction => "eviction",
            Self::Heavy => "heavy",
        }
    }

    /// Request flows of a round.
    pub(crate) fn flows(self, site: &Site, level: f64, seconds: f64) -> Result<Vec<Flow>> {
        let mut flows = site.flows(level)?;
        let span = ACTIVE_FRACTION.map(|share| share * seconds);
        match self {
            Self::Burst => flows.extend(site.burst_flows(ClassRole::Medium, BURST_FACTOR, span)?),
            Self::Heavy => flows.push(site.heavy_flow(ClassRole::Medium, HEAVY_FACTOR, span)?),
            Self::Steady | Self::Straggler | Self::Crash | Self::Hang | Self::Eviction => {}
        }
        Ok(flows)
    }

    /// Faults of a round, in order of time.
    pub(crate) fn faults(self, seconds: f64) -> Vec<Fault> {
        let [start, end] = ACTIVE_FRACTION.map(|share| share * seconds);
        let fault = |at_s, action| Fault { at_s, action };
        match self {
            Self::Steady | Self::Burst | Self::Heavy => Vec::new(),
            Self::Straggler => vec![fault(
                start,
                FaultAction::Slow(FAULTY_ENGINE, STRAGGLER_FACTOR),
            )],
            Self::Crash => vec![
                fault(start, FaultAction::Crash(FAULTY_ENGINE, true)),
                fault(end, FaultAction::Crash(FAULTY_ENGINE, false)),
            ],
            Self::Hang => vec![
                fault(start, FaultAction::Hang(FAULTY_ENGINE, true)),
                fault(end, FaultAction::Hang(FAULTY_ENGINE, false)),
            ],
            Self::Eviction => vec![
                fault(start, FaultAction::NoticeEviction),
                fault(start + EVICTION_NOTICE_S, FaultAction::Evict),
            ],
        }
    }
}

impl fmt::Display for Experiment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Experiment {
    type Err = Report;

    fn from_str(text: &str) -> Result<Self> {
        let found = Self::ALL.into_iter().find(|e| e.name() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::name).join(", ");
            eyre!("invalid experiment {text:?}: expected one of {names}")
        })
    }
}
