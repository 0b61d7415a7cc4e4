//! An arm: a name and the lines of the entries' settings in which it differs.

use {
    compact_str::CompactString,
    eyre::{Report, Result, eyre},
    std::str::FromStr,
};

/// Settings that belong under `policy`.
const POLICY_KEYS: [&str; 2] = ["queue", "picker"];

/// An arm of a paired experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arm {
    /// Name in tables and plots.
    pub name: CompactString,
    /// Further lines of the entries' settings, as YAML.
    pub settings: String,
}

impl FromStr for Arm {
    type Err = Report;

    /// Reads `NAME=KEY:VALUE,KEY:VALUE`. `queue` and `picker` go under `policy`, other keys to the top.
    fn from_str(text: &str) -> Result<Self> {
        let (name, rest) = text.split_once('=').unwrap_or((text, ""));
        if name.is_empty() {
            return Err(eyre!("arm: accepted is NAME=KEY:VALUE,KEY:VALUE"));
        }
        let (mut policy, mut top) = (String::new(), String::new());
        for pair in rest.split(',').filter(|p| !p.is_empty()) {
            let (key, value) = pair
                .split_once(':')
                .ok_or_else(|| eyre!("arm {name}: accepted is KEY:VALUE, not {pair:?}"))?;
            if POLICY_KEYS.contains(&key) {
                policy.push_str(&format!("  {key}: {value}\n"));
            } else {
                top.push_str(&format!("{key}: {value}\n"));
            }
        }
        let head = if policy.is_empty() { "" } else { "policy:\n" };
        Ok(Self {
            name: name.into(),
            settings: format!("{head}{policy}{top}"),
        })
    }
}
