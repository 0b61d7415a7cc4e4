//! Traffic of the two systems, as shares of what their engines can generate.

use {
    super::{
        ClassSpec, Site,
        site::{LARGE_ORGS, PROFILE},
    },
    eyre::Result,
    load::{Flow, LengthDistribution, RequestKind},
};

/// How many times as much a large organisation sends as a small one.
const LARGE_FACTOR: f64 = 5.0;
/// Characters of a prompt; four make a token.
const PROMPT_CHARS: usize = 480;
const PROMPT_TOKENS: u64 = 120;
/// Requests a second to plain services, over all organisations.
const READS: f64 = 8.0;
const WRITES: f64 = 4.0;

/// A part of the traffic by its place in [`Site`]'s classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    Top,
    Middle,
    Low,
    Read,
    Write,
}

const PARTS: [Part; 5] = [Part::Top, Part::Middle, Part::Low, Part::Read, Part::Write];

impl Part {
    /// Share of the engines' capacity that the part asks for.
    fn share(self) -> f64 {
        match self {
            Self::Top => 0.25,
            Self::Middle => 0.40,
            Self::Low => 0.20,
            Self::Read | Self::Write => 0.0,
        }
    }

    fn lengths(self) -> LengthDistribution {
        let (median, spread) = match self {
            Self::Top => (24.0, 0.5),
            Self::Middle => (30.0, 0.8),
            Self::Low | Self::Read | Self::Write => (40.0, 0.9),
        };
        LengthDistribution {
            median,
            spread,
            longest: 400,
        }
    }
}

/// Mean of a log-normal distribution.
fn mean_tokens(lengths: &LengthDistribution) -> f64 {
    lengths.median * (lengths.spread * lengths.spread / 2.0).exp()
}

/// Requests a second that one engine serves when all its slots are in use.
fn engine_rate(lengths: &LengthDistribution) -> f64 {
    let step = PROFILE.step(PROFILE.slots, 1.0).as_secs_f64();
    let prefill = PROFILE.prefill(PROMPT_TOKENS, 1.0).as_secs_f64();
    f64::from(PROFILE.slots) / (step * mean_tokens(lengths) + prefill)
}

impl Site {
    /// Steady traffic: every organisation in every class, `level` times the usual rate.
    pub(crate) fn flows(&self, level: f64) -> Result<Vec<Flow>> {
        let mut flows = Vec::new();
        for (part, spec) in PARTS.into_iter().zip(&self.classes) {
            for index in 0..self.orgs.len() {
                let rate = level * self.rate(part) * self.org_share(index);
                flows.push(self.flow(part, spec, index, rate)?);
            }
        }
        Ok(flows)
    }

    /// Further traffic of one part from all organisations, between two times.
    pub(crate) fn burst(
        &self,
        part: Part,
        factor: f64,
        [from, until]: [f64; 2],
    ) -> Result<Vec<Flow>> {
        let mut flows = Vec::new();
        for index in 0..self.orgs.len() {
            let rate = (factor - 1.0) * self.rate(part) * self.org_share(index);
            flows.push(self.extra(part, index, rate, [from, until])?);
        }
        Ok(flows)
    }

    /// Further traffic of the first organisation alone: `factor` times the part's whole usual rate.
    pub(crate) fn heavy(&self, part: Part, factor: f64, span: [f64; 2]) -> Result<Flow> {
        self.extra(part, 0, factor * self.rate(part), span)
    }

    fn extra(&self, part: Part, index: usize, rate: f64, [from, until]: [f64; 2]) -> Result<Flow> {
        let spec = PARTS.iter().zip(&self.classes).find(|(p, _)| **p == part);
        let (_, spec) = spec.ok_or_else(|| eyre::eyre!("no class for {part:?}"))?;
        let mut flow = self.flow(part, spec, index, rate)?;
        flow.from_s = from;
        flow.until_s = Some(until);
        Ok(flow)
    }

    /// Usual requests a second of a part.
    fn rate(&self, part: Part) -> f64 {
        match part {
            Part::Read => READS,
            Part::Write => WRITES,
            Part::Top | Part::Middle | Part::Low => {
                part.share() * self.engine_count() as f64 * engine_rate(&part.lengths())
            }
        }
    }

    fn org_share(&self, index: usize) -> f64 {
        let small = (self.orgs.len() - LARGE_ORGS) as f64;
        let all = LARGE_FACTOR * LARGE_ORGS as f64 + small;
        if index < LARGE_ORGS {
            LARGE_FACTOR / all
        } else {
            1.0 / all
        }
    }

    fn flow(&self, part: Part, spec: &ClassSpec, index: usize, rate: f64) -> Result<Flow> {
        let org = self.orgs[index];
        let work = match part {
            Part::Read => RequestKind::Get {
                path: format!("{}item", self.prefix).into(),
            },
            Part::Write => RequestKind::Post {
                path: format!("{}submit", self.prefix).into(),
                keyed: true,
            },
            Part::Top | Part::Middle | Part::Low => RequestKind::Chat {
                model: self.model.parse()?,
                lengths: part.lengths(),
                prompt: PROMPT_CHARS,
                prefixes: 6,
            },
        };
        Ok(Flow {
            org: org.parse()?,
            key: self.key_text(org).into(),
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
