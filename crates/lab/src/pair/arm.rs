//! Arms: the variants of the entries' settings that an experiment compares.

use {
    compact_str::CompactString,
    eyre::{Report, Result, eyre},
    std::str::FromStr,
};

/// Settings keys that belong under `policy`.
const POLICY_KEYS: [&str; 2] = ["queue", "picker"];

/// One variant in a paired experiment: a name and the settings in which it differs from the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arm {
    /// Name shown in tables and plots.
    pub name: CompactString,
    /// YAML lines added to the entries' settings.
    pub settings: String,
}

impl FromStr for Arm {
    type Err = Report;

    /// Parses `NAME=KEY:VALUE,KEY:VALUE`. `queue` and `picker` go under `policy`, other keys to the
    /// top level.
    fn from_str(text: &str) -> Result<Self> {
        let (name, rest) = text.split_once('=').unwrap_or((text, ""));
        if name.is_empty() {
            return Err(eyre!(
                "arm without a name: expected NAME=KEY:VALUE,KEY:VALUE"
            ));
        }
        let (mut policy, mut top) = (String::new(), String::new());
        for pair in rest.split(',').filter(|p| !p.is_empty()) {
            let (key, value) = pair
                .split_once(':')
                .ok_or_else(|| eyre!("arm {name}: expected KEY:VALUE, found {pair:?}"))?;
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
