//! The experiments: what traffic and which faults.

use {
    super::{Act, Fault},
    crate::sites::{Part, Site},
    eyre::{Report, Result, eyre},
    load::Flow,
    std::{fmt, str::FromStr},
};

/// Notice of an eviction, in seconds.
const NOTICE_S: f64 = 3.0;
const BURST_FACTOR: f64 = 2.0;
const STRAGGLER_FACTOR: f64 = 5.0;
/// How many times its class's whole usual traffic the heavy organisation adds.
const HEAVY_FACTOR: f64 = 2.0;
/// When faults and bursts begin and end, as shares of the round.
const SPAN: [f64; 2] = [0.2, 0.8];
/// An engine of the first availability zone that is not cheap.
const VICTIM: usize = 2;

/// A kind of traffic and faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Experiment {
    /// Usual traffic, no faults.
    Steady,
    /// The middle class doubles, so that all classes together ask for more than there is.
    Burst,
    /// One engine becomes slower by a factor of five.
    Straggler,
    /// One engine cuts its streams and refuses all requests.
    Crash,
    /// One engine stops making tokens without closing anything, and goes on later.
    Hang,
    /// All cheap endpoints of an availability zone go after a notice of 3 s.
    Eviction,
    /// One organisation floods the middle class.
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

    /// Traffic of a round.
    pub(crate) fn flows(self, site: &Site, level: f64, seconds: f64) -> Result<Vec<Flow>> {
        let mut flows = site.flows(level)?;
        let span = SPAN.map(|share| share * seconds);
        match self {
            Self::Burst => flows.extend(site.burst(Part::Middle, BURST_FACTOR, span)?),
            Self::Heavy => flows.push(site.heavy(Part::Middle, HEAVY_FACTOR, span)?),
            Self::Steady | Self::Straggler | Self::Crash | Self::Hang | Self::Eviction => {}
        }
        Ok(flows)
    }

    /// Faults of a round, in order of time.
    pub(crate) fn faults(self, seconds: f64) -> Vec<Fault> {
        let [from, until] = SPAN.map(|share| share * seconds);
        let fault = |at, act| Fault { at, act };
        match self {
            Self::Steady | Self::Burst | Self::Heavy => Vec::new(),
            Self::Straggler => vec![fault(from, Act::Slow(VICTIM, STRAGGLER_FACTOR))],
            Self::Crash => vec![
                fault(from, Act::Crash(VICTIM, true)),
                fault(until, Act::Crash(VICTIM, false)),
            ],
            Self::Hang => vec![
                fault(from, Act::Hang(VICTIM, true)),
                fault(until, Act::Hang(VICTIM, false)),
            ],
            Self::Eviction => vec![fault(from, Act::Notice), fault(from + NOTICE_S, Act::Evict)],
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
            eyre!("experiment: accepted is one of {names}")
        })
    }
}
