//! The cases.

mod lost_vm;
mod moved_store;
mod restart;
mod slow_reader;
mod split_route;

use {crate::record::Record, std::path::Path};

/// Runs a case in its folder; whether the rule held. Without `trouble` the disruption is left out.
pub(crate) fn run(case: &str, folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder).map_err(|e| e.to_string())?;
    record.line(format!("case {case}, trouble: {trouble}"));
    let held = match case {
        "lost-vm" => lost_vm::run(&record, trouble),
        "restart" => restart::run(&record, trouble),
        "slow-reader" => slow_reader::run(&record, trouble),
        "split-route" => split_route::run(&record, trouble),
        "moved-store" => moved_store::run(&record, trouble),
        _ => Err("no such case".into()),
    };
    if let Err(cause) = &held {
        record.line(format!("could not run: {cause}"));
    }
    held
}

/// A temporary folder, which is removed when it is dropped unless `KEEP_LOGS` is set.
pub(crate) struct TempDir(pub(crate) std::path::PathBuf);

impl TempDir {
    pub(crate) fn create() -> Result<Self, String> {
        let name = format!("review-3-{}-{:x}", std::process::id(), fastrand::u64(..));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).map_err(|e| e.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs are kept in {}", self.0.display());
            return;
        }
        // Nothing depends on it.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
