//! Load plans and their flows of requests, as read from YAML.

use {
    compact_str::CompactString,
    conf::Validate,
    serde::Deserialize,
    std::net::SocketAddr,
    types::{ClassId, ModelId, OrgId},
};

/// Distribution of response lengths: log-normal, truncated at the longest.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthDistribution {
    /// Median length, in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm of the length. With 0, all responses have the median
    /// length.
    pub spread: f64,
    /// Maximum length, in tokens.
    pub longest: u64,
}

/// Kind of a request, with its parameters.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A streamed chat completion.
    Chat {
        /// Requested model.
        model: ModelId,
        /// Lengths of responses.
        lengths: LengthDistribution,
        /// Length of each prompt, in characters.
        prompt: usize,
        /// Number of distinct prompt prefixes.
        prefixes: u64,
    },
    /// A GET request to a plain HTTP service.
    Get {
        /// URL path.
        path: CompactString,
    },
    /// A POST request to a plain HTTP service, which must not be executed twice.
    Post {
        /// URL path.
        path: CompactString,
        /// Whether the request carries an `Idempotency-Key` header.
        keyed: bool,
    },
}

/// Requests of one organisation in one class.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Organisation, for the summary.
    pub org: OrgId,
    /// API key of the organisation.
    pub key: CompactString,
    /// Requested class.
    pub class: ClassId,
    /// Target for the time to the first token, in milliseconds.
    pub first_ms: u64,
    /// Target for the mean time between tokens, in milliseconds.
    pub between_ms: u64,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Start of the flow, in seconds from the start of the load.
    #[serde(default)]
    pub from_s: f64,
    /// End of the flow, in seconds from the start of the load; by default the end of the load.
    #[serde(default)]
    pub until_s: Option<f64>,
    /// Kind of its requests.
    pub work: RequestKind,
}

/// A load to send: the entries, the flows and a seed.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Addresses of the entries, used round robin.
    pub entries: Vec<SocketAddr>,
    /// Length of the load, in seconds.
    pub seconds: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Flows that make up the load.
    pub flows: Vec<Flow>,
}

impl Validate for LoadPlan {
    fn validate(&self) -> Result<(), CompactString> {
        if self.entries.is_empty() || self.flows.is_empty() {
            return Err("entries, flows: must have at least one item".into());
        }
        if !(0.0..=3600.0).contains(&self.seconds) {
            return Err("seconds: must be from 0 to 3600".into());
        }
        if self.entries.iter().any(|e| !e.ip().is_loopback()) {
            return Err("entries: must be loopback addresses".into());
        }
        if self
            .flows
            .iter()
            .any(|f| !(0.0..=10_000.0).contains(&f.rate))
        {
            return Err("flows.rate: must be from 0 to 10000".into());
        }
        Ok(())
    }
}
