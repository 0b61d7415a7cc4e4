//! Reads and checks a settings file.

use {
    compact_str::CompactString,
    serde::de::DeserializeOwned,
    std::{error::Error, fmt, fs, io, path::Path},
};

/// Why a settings file was refused.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Read(CompactString, io::Error),
    /// The file is not YAML of the expected shape; the text names line and key.
    Parse(CompactString, CompactString),
    /// A value is out of range: file, key, what is accepted.
    Value(CompactString, CompactString),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(file, e) => write!(f, "{file}: cannot read: {e}"),
            Self::Parse(file, e) => write!(f, "{file}: {e}"),
            Self::Value(file, e) => write!(f, "{file}: {e}"),
        }
    }
}

impl Error for SettingsError {}

/// Settings that check their own values.
pub trait Validate {
    /// Names the first key with a bad value, and what is accepted.
    fn validate(&self) -> Result<(), CompactString>;
}

/// Reads, parses and checks the settings file at `path`.
pub fn load_settings<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, SettingsError> {
    let file = CompactString::from(path.display().to_string());
    let text = fs::read_to_string(path).map_err(|e| SettingsError::Read(file.clone(), e))?;
    let settings: T = serde_saphyr::from_str(&text)
        .map_err(|e| SettingsError::Parse(file.clone(), e.to_string().into()))?;
    settings
        .validate()
        .map_err(|e| SettingsError::Value(file, e))?;
    Ok(settings)
}
