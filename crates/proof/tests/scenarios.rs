//! Runs every scenario file against a whole system.

use {
    proof::{parse_scenario, run_scenario},
    std::{
        fs,
        path::{Path, PathBuf},
        sync::Mutex,
        thread,
    },
};

/// Scenarios that run at once, each with some ten processes.
const AT_ONCE: usize = 3;

fn files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let entries = fs::read_dir(folder).expect("folder of scenarios");
    let mut files: Vec<PathBuf> = entries.map(|e| e.expect("entry").path()).collect();
    files.sort();
    files
}

/// What failed, if the scenario does not hold.
fn prove(file: &Path) -> Option<String> {
    let name = file.file_name()?.to_string_lossy().into_owned();
    let text = fs::read_to_string(file).expect("a scenario");
    let outcome = match parse_scenario(&text) {
        Ok(scenario) => run_scenario(scenario),
        Err(e) => Err(e.into()),
    };
    outcome.err().map(|e| format!("{name}: {e:#}"))
}

#[test]
fn every_scenario_holds() {
    let left = Mutex::new(files());
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                loop {
                    let Some(file) = left.lock().unwrap().pop() else {
                        return;
                    };
                    if let Some(what) = prove(&file) {
                        failed.lock().unwrap().push(what);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
