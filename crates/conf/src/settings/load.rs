//! Reads and validates a settings file.

use {
    compact_str::CompactString,
    serde::de::DeserializeOwned,
    std::{error::Error, fmt, fs, io, path::Path},
};

/// Why a settings file was rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Read(CompactString, io::Error),
    /// The file is not YAML of the expected structure; the text names the line and the key.
    Parse(CompactString, CompactString),
    /// A value is out of range; the text names the key and the accepted values.
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

/// Settings that validate their own values.
pub trait Validate {
    /// Checks all values. The error names the first key that is out of range, and the accepted
    /// values.
    fn validate(&self) -> Result<(), CompactString>;
}

/// Reads, parses and validates the settings file at `path`.
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
