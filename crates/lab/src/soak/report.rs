//! Results of a soak test and the invariants checked on them.

use {
    crate::results::{ArmResults, ClassResults},
    std::fmt,
};

/// Memory budget of the control processes on a node.
const MEMORY_BUDGET_KB: u64 = 32 * 1024;
/// Memory counts as flat unless an entry grows by more than the budget divided by this, from the
/// first load to the last.
const GROWTH_DIVISOR: u64 = 4;

/// Results of a soak test.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Number of fault actions, counting the start and the end of a fault separately.
    pub faults: u64,
    /// Largest resident memory of any entry after each load, in kilobytes.
    pub memory_kb: Vec<u64>,
    /// Most open file descriptors of any entry: before the first load, and when idle after the
    /// last.
    pub open_files: [usize; 2],
    /// Results of all loads, from the callers' samples and the stand-ins' records.
    pub results: ArmResults,
}

impl SoakReport {
    /// Invariants that were violated, one message each.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let sum =
            |get: fn(&ClassResults) -> u64| -> u64 { self.results.classes.values().map(get).sum() };
        let (wrong, cut) = (sum(|c| c.seen.wrong), sum(|c| c.seen.cut));
        if wrong > 0 {
            violations.push(format!("{wrong} responses were incorrect or missing"));
        }
        if cut > 0 {
            violations.push(format!("{cut} responses were truncated"));
        }
        if self.results.executions > 1 {
            let executions = self.results.executions;
            violations.push(format!(
                "a request that is not idempotent was executed {executions} times"
            ));
        }
        if self.results.untrue > 0 {
            let untrue = self.results.untrue;
            violations.push(format!(
                "{untrue} requests were refused as not_run but had been executed"
            ));
        }
        let first = self.memory_kb.first().copied().unwrap_or_default();
        let last = self.memory_kb.last().copied().unwrap_or_default();
        if last > first + MEMORY_BUDGET_KB / GROWTH_DIVISOR {
            violations.push(format!("memory grew from {first} kB to {last} kB"));
        }
        violations
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, c) in &self.results.classes {
            writeln!(
                f,
                "{:<12} sent {:>6}, whole {:>6}, within target {:>5.1}%, not_run {}, may_have_run {}, \
                 cut {}, wrong or missing {}",
                class.as_str(),
                c.seen.sent,
                c.seen.whole,
                100.0 * c.attainment(),
                c.seen.not_run,
                c.seen.may_have_run,
                c.seen.cut,
                c.seen.wrong
            )?;
        }
        writeln!(
            f,
            "{} begins and ends of faults; most executions of a non-repeatable request {}; untrue \
             refusals {}; memory kB after each load {:?}; descriptors before and after {:?}",
            self.faults,
            self.results.executions,
            self.results.untrue,
            self.memory_kb,
            self.open_files
        )
    }
}
