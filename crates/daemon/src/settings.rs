//! Settings that every process has.

use {
    compact_str::CompactString,
    conf::Validate,
    serde::{Deserialize, de::DeserializeOwned},
    std::net::SocketAddr,
};

/// Severity threshold of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also one line for each request.
    Debug,
}

impl From<LogLevel> for log::LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}

fn default_threads() -> usize {
    2
}

/// Settings that every process has.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Address of the admin server, with the metrics and health pages.
    pub admin: SocketAddr,
    /// Worker threads, including the main thread.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Severity threshold of the log.
    #[serde(default)]
    pub log: LogLevel,
}

impl ProcessSettings {
    /// Creates settings without a file, for stand-ins and tools.
    pub fn new(admin: SocketAddr, threads: usize, log: LogLevel) -> Self {
        Self {
            admin,
            threads,
            log,
        }
    }
}

impl Validate for ProcessSettings {
    fn validate(&self) -> Result<(), CompactString> {
        if (1..=256).contains(&self.threads) {
            return Ok(());
        }
        Err("process.threads: accepted is 1 to 256".into())
    }
}

/// The settings file of a daemon.
pub trait Settings: Validate + DeserializeOwned + Send + 'static {
    /// The settings that every process has.
    fn process(&self) -> &ProcessSettings;
}
