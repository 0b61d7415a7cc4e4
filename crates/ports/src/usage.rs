//! Usage reports.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    types::{OrgId, Tokens, VmId},
};

/// Usage of one organisation in a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLine {
    /// Organisation.
    pub org: OrgId,
    /// Requests answered.
    pub requests: u64,
    /// Tokens generated.
    pub tokens: Tokens,
    /// Whether the counts belong to an earlier window, and came after it was sealed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub late: bool,
}

/// Usage of one window. A window is reported with the same figures, however often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Identifies the window.
    pub window: CompactString,
    /// Who sends it.
    pub sender: VmId,
    /// Usage by organisation.
    pub lines: Vec<UsageLine>,
}
