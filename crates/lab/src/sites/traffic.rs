//! Traffic of a reference system, as fractions of the capacity of its engines.

use {
    super::{
        ClassSpec, Site,
        site::{LARGE_ORGS, PROFILE},
    },
    eyre::Result,
    load::{Flow, LengthDistribution, RequestKind},
};

/// Traffic of a large organisation, as a multiple of a small one's.
const LARGE_FACTOR: f64 = 5.0;
/// Characters of a prompt. Four characters make one token.
const PROMPT_CHARS: usize = 480;
const PROMPT_TOKENS: u64 = 120;
/// Requests per second to plain HTTP services, over all organisations.
const READ_RATE: f64 = 8.0;
const WRITE_RATE: f64 = 4.0;

/// Role of a class in a reference system: chat completions of three priorities, or reads and writes
/// of a plain HTTP service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClassRole {
    High,
    Medium,
    Low,
    Read,
    Write,
}

/// Order of the classes in [`Site::classes`].
const CLASS_ROLES: [ClassRole; 5] = [
    ClassRole::High,
    ClassRole::Medium,
    ClassRole::Low,
    ClassRole::Read,
    ClassRole::Write,
];

impl ClassRole {
    /// Fraction of the engines' capacity that requests of this class demand.
    fn capacity_fraction(self) -> f64 {
        match self {
            Self::High => 0.25,
            Self::Medium => 0.40,
            Self::Low => 0.20,
            Self::Read | Self::Write => 0.0,
        }
    }

    fn response_lengths(self) -> LengthDistribution {
        let (median, spread) = match self {
            Self::High => (24.0, 0.5),
            Self::Medium => (30.0, 0.8),
            Self::Low | Self::Read | Self::Write => (40.0, 0.9),
        };
        LengthDistribution {
            median,
            spread,
            longest: 400,
        }
    }
}

/// Mean response length: the mean of the log-normal distribution.
fn mean_length(lengths: &LengthDistribution) -> f64 {
    lengths.median * (lengths.spread * lengths.spread / 2.0).exp()
}

/// Requests per second that one engine serves with all its slots in use.
fn engine_rate(lengths: &LengthDistribution) -> f64 {
    let step = PROFILE.step(PROFILE.slots, 1.0).as_secs_f64();
    let prefill = PROFILE.prefill(PROMPT_TOKENS, 1.0).as_secs_f64();
    f64::from(PROFILE.slots) / (step * mean_length(lengths) + prefill)
}

impl Site {
    /// Flows of every organisation in every class, at `level` times the normal rate.
    pub(crate) fn flows(&self, level: f64) -> Result<Vec<Flow>> {
        let mut flows = Vec::new();
        for (role, spec) in CLASS_ROLES.into_iter().zip(&self.classes) {
            for index in 0..self.orgs.len() {
                let rate = level * self.request_rate(role) * self.org_fraction(index);
                flows.push(self.flow(role, spec, index, rate)?);
            }
        }
        Ok(flows)
    }

    /// Additional flows of all organisations in one class between two times, in seconds; they raise
    /// the class's traffic to `factor` times the normal rate.
    pub(crate) fn burst_flows(
        &self,
        role: ClassRole,
        factor: f64,
        [start, end]: [f64; 2],
    ) -> Result<Vec<Flow>> {
        let mut flows = Vec::new();
        for index in 0..self.orgs.len() {
            let rate = (factor - 1.0) * self.request_rate(role) * self.org_fraction(index);
            flows.push(self.temporary_flow(role, index, rate, [start, end])?);
        }
        Ok(flows)
    }

    /// Additional flow of the first organisation alone, at `factor` times the normal rate of the
    /// whole class.
    pub(crate) fn heavy_flow(&self, role: ClassRole, factor: f64, span: [f64; 2]) -> Result<Flow> {
        self.temporary_flow(role, 0, factor * self.request_rate(role), span)
    }

    fn temporary_flow(
        &self,
        role: ClassRole,
        index: usize,
        rate: f64,
        [start, end]: [f64; 2],
    ) -> Result<Flow> {
        let spec = CLASS_ROLES
            .iter()
            .zip(&self.classes)
            .find(|(r, _)| **r == role);
        let (_, spec) = spec.ok_or_else(|| eyre::eyre!("site has no class with role {role:?}"))?;
        let mut flow = self.flow(role, spec, index, rate)?;
        flow.from_s = start;
        flow.until_s = Some(end);
        Ok(flow)
    }

    /// Normal requests per second of a class, over all organisations.
    fn request_rate(&self, role: ClassRole) -> f64 {
        match role {
            ClassRole::Read => READ_RATE,
            ClassRole::Write => WRITE_RATE,
            ClassRole::High | ClassRole::Medium | ClassRole::Low => {
                role.capacity_fraction()
                    * self.engine_count() as f64
                    * engine_rate(&role.response_lengths())
            }
        }
    }

    fn org_fraction(&self, index: usize) -> f64 {
        let small = (self.orgs.len() - LARGE_ORGS) as f64;
        let all = LARGE_FACTOR * LARGE_ORGS as f64 + small;
        if index < LARGE_ORGS {
            LARGE_FACTOR / all
        } else {
            1.0 / all
        }
    }

    fn flow(&self, role: ClassRole, spec: &ClassSpec, index: usize, rate: f64) -> Result<Flow> {
        let org = self.orgs[index];
        let work = match role {
            ClassRole::Read => RequestKind::Get {
                path: format!("{}item", self.prefix).into(),
            },
            ClassRole::Write => RequestKind::Post {
                path: format!("{}submit", self.prefix).into(),
                keyed: true,
            },
            ClassRole::High | ClassRole::Medium | ClassRole::Low => RequestKind::Chat {
                model: self.model.parse()?,
                lengths: role.response_lengths(),
                prompt: PROMPT_CHARS,
                prefixes: 6,
            },
        };
        Ok(Flow {
            org: org.parse()?,
            key: self.api_key(org).into(),
            class: spec.name.parse()?,
            first_ms: spec.first_ms.into(),
            between_ms: spec.between_ms.into(),
            rate,
            from_s: 0.0,
            until_s: None,
            work,
        })
    }
}
