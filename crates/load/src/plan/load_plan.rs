//! Flows of requests.

use {
    compact_str::CompactString,
    conf::Validate,
    serde::Deserialize,
    std::net::SocketAddr,
    types::{ClassId, ModelId, OrgId},
};

/// Lengths of answers: a log-normal distribution, cut off at the longest.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthDistribution {
    /// Median, in tokens.
    pub median: f64,
    /// Spread: the standard deviation of the logarithm. 0 makes all answers alike.
    pub spread: f64,
    /// Longest, in tokens.
    pub longest: u64,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A streamed chat completion.
    Chat {
        /// Model.
        model: ModelId,
        /// Lengths of answers.
        lengths: LengthDistribution,
        /// Characters of each prompt.
        prompt: usize,
        /// Number of distinct prompt starts.
        prefixes: u64,
    },
    /// A GET to a plain service.
    Get {
        /// Path.
        path: CompactString,
    },
    /// A POST to a plain service that may not be repeated.
    Post {
        /// Path.
        path: CompactString,
        /// Whether the request carries an `Idempotency-Key`.
        keyed: bool,
    },
}

/// Requests of one organisation in one class.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Organisation, for the report.
    pub org: OrgId,
    /// The organisation's key.
    pub key: CompactString,
    /// Class.
    pub class: ClassId,
    /// Target for the first token, in milliseconds.
    pub first_ms: u64,
    /// Target for the mean time between tokens, in milliseconds.
    pub between_ms: u64,
    /// Arrivals a second.
    pub rate: f64,
    /// From when, in seconds from the start.
    #[serde(default)]
    pub from_s: f64,
    /// Until when, in seconds from the start; to the end when missing.
    #[serde(default)]
    pub until_s: Option<f64>,
    /// What each request asks for.
    pub work: RequestKind,
}

/// A whole load.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Entries, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Length of the load, in seconds.
    pub seconds: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Flows.
    pub flows: Vec<Flow>,
}

impl Validate for LoadPlan {
    fn validate(&self) -> Result<(), CompactString> {
        if self.entries.is_empty() || self.flows.is_empty() {
            return Err("entries, flows: accepted is one or more".into());
        }
        if !(0.0..=3600.0).contains(&self.seconds) {
            return Err("seconds: accepted is 0 to 3600".into());
        }
        if self.entries.iter().any(|e| !e.ip().is_loopback()) {
            return Err("entries: accepted are loopback addresses".into());
        }
        if self
            .flows
            .iter()
            .any(|f| !(0.0..=10_000.0).contains(&f.rate))
        {
            return Err("flows.rate: accepted is 0 to 10000".into());
        }
        Ok(())
    }
}
