//! The test command, run on a small package with a passing, a failing and a known red test.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

const LOCK: &str = "version = 4\n\n[[package]]\nname = \"sample\"\nversion = \"0.1.0\"\n";
const MANIFEST: &str =
    "[package]\nname = \"sample\"\nversion = \"0.1.0\"\nedition = \"2024\"\n\n[workspace]\n";

/// Result of the test command: whether it succeeded, and what it printed.
struct Outcome {
    success: bool,
    output: String,
}

impl Outcome {
    fn ran(&self, test: &str) -> bool {
        self.output.contains(&format!("test {test} ... "))
    }
}

/// Writes a package with one test file for each of `tests`, a name and a body, and runs the test
/// command there.
fn run_tests(package: &str, tests: &[(&str, &str)], known_red: &str) -> Outcome {
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join(package);
    fs::create_dir_all(root.join("src")).unwrap();
    fs::create_dir_all(root.join("tests")).unwrap();
    fs::write(root.join("Cargo.toml"), MANIFEST).unwrap();
    fs::write(root.join("Cargo.lock"), LOCK).unwrap();
    fs::write(root.join("src/lib.rs"), "").unwrap();
    for (name, body) in tests {
        let text = format!("#[test]\nfn {name}() {{ {body} }}\n");
        fs::write(root.join(format!("tests/{name}.rs")), text).unwrap();
    }
    fs::write(root.join("KNOWN-RED.txt"), known_red).unwrap();
    let script: PathBuf = [env!("CARGO_MANIFEST_DIR"), "..", "..", ".ci", "test"]
        .iter()
        .collect();
    let output = Command::new(script)
        .current_dir(&root)
        .env("CARGO", env!("CARGO"))
        .env("CARGO_TARGET_DIR", root.join("target"))
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    Outcome {
        success: output.status.success(),
        output: String::from_utf8(text).unwrap(),
    }
}

#[test]
fn known_red_tests_are_passed_over_and_printed() {
    let tests = [("a_red", "panic!()"), ("a_red_too", ""), ("b_green", "")];
    let known = "test: a_red\nseen: it panics\n";
    let outcome = run_tests("known-red", &tests, known);
    assert!(outcome.success, "{}", outcome.output);
    assert!(!outcome.ran("a_red"), "{}", outcome.output);
    // Only exact names are passed over.
    assert!(outcome.ran("a_red_too") && outcome.ran("b_green"));
    assert!(outcome.output.contains("seen: it panics"));
}

#[test]
fn other_failure_fails_the_command_after_all_tests_ran() {
    let tests = [
        ("a_red", "panic!()"),
        ("b_broken", "panic!()"),
        ("c_green", ""),
    ];
    let outcome = run_tests("other-failure", &tests, "test: a_red\n");
    assert!(!outcome.success, "{}", outcome.output);
    assert!(outcome.ran("b_broken") && outcome.ran("c_green"));
    assert!(!outcome.ran("a_red"));
}

#[test]
fn command_succeeds_without_known_red_tests() {
    let outcome = run_tests("all-green", &[("a_green", "")], "");
    assert!(outcome.success && outcome.ran("a_green"));
}

#[test]
fn known_red_test_that_does_not_exist_is_an_error() {
    let outcome = run_tests("stale-name", &[("a_green", "")], "test: a_gone\n");
    assert!(!outcome.success && outcome.ran("a_green"));
    assert!(outcome.output.contains("a_gone"), "{}", outcome.output);
}
