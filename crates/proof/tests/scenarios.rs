//! Runs every scenario file against a whole system of processes.

use {
    proof::{parse_scenario, run_scenario},
    std::{
        fs,
        path::{Path, PathBuf},
        sync::Mutex,
        thread,
    },
};

/// Scenarios that run at the same time. Each starts about ten processes.
const CONCURRENT_SCENARIOS: usize = 3;

fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let entries = fs::read_dir(folder).expect("read the scenarios folder");
    let mut files: Vec<PathBuf> = entries
        .map(|e| e.expect("read an entry of the scenarios folder").path())
        .collect();
    files.sort();
    files
}

/// Scenarios with a known fault: the `scenario:` lines of KNOWN-RED.txt, up to a comma. They are run, and a
/// failure is printed.
fn known_faults() -> Vec<String> {
    let list = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../KNOWN-RED.txt");
    let text = fs::read_to_string(list).expect("read KNOWN-RED.txt");
    let lines = text.lines().filter_map(|l| l.strip_prefix("scenario: "));
    let names = lines.map(|l| l.split(',').next().unwrap_or(l).trim().to_owned());
    names.collect()
}

/// Runs a scenario file and returns its error, if it fails.
fn run_file(file: &Path) -> Option<String> {
    let name = file.file_name()?.to_string_lossy().into_owned();
    let text = fs::read_to_string(file).expect("read a scenario file");
    let outcome = match parse_scenario(&text) {
        Ok(scenario) => run_scenario(scenario),
        Err(e) => Err(e.into()),
    };
    outcome.err().map(|e| format!("{name}: {e:#}"))
}

#[test]
fn every_scenario_holds() {
    let remaining = Mutex::new(scenario_files());
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_SCENARIOS {
            scope.spawn(|| {
                loop {
                    let Some(file) = remaining.lock().unwrap().pop() else {
                        return;
                    };
                    if let Some(error) = run_file(&file) {
                        failed.lock().unwrap().push(error);
                    }
                }
            });
        }
    });
    let mut failed = failed.into_inner().unwrap();
    for known in known_faults() {
        let file = scenario_files().into_iter().find(|f| f.ends_with(&known));
        assert!(file.is_some(), "KNOWN-RED.txt names no scenario: {known}");
        failed.retain(|error| {
            let is_known = error.starts_with(&format!("{known}: "));
            if is_known {
                println!("known fault: {error}");
            }
            !is_known
        });
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
