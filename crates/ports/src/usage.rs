//! Usage reports to the platform.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    types::{OrgId, Tokens, VmId},
};

/// Usage of one organisation in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLine {
    /// Organisation.
    pub org: OrgId,
    /// Number of requests answered.
    pub requests: u64,
    /// Number of tokens generated.
    pub tokens: Tokens,
    /// Whether the counts belong to an earlier window and arrived after it was sealed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub late: bool,
}

/// Usage of one window. Every repetition of the report has the same figures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Identifier of the window.
    pub window: CompactString,
    /// The VM that sends it.
    pub sender: VmId,
    /// Usage by organisation.
    pub lines: Vec<UsageLine>,
}
