//! What a soak found.

use {
    crate::results::{ArmResults, ClassResults},
    std::fmt,
};

/// Memory that control may take on a node.
const BUDGET_KB: u64 = 32 * 1024;
/// Growth of an entry's memory from the first load to the last, as a share of that budget, beyond
/// which memory does not count as flat.
const GROWTH_SHARE: u64 = 4;

/// What a soak found.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Faults made and healed.
    pub faults: u64,
    /// Largest resident memory of any entry after each load, in kilobytes.
    pub memory_kb: Vec<u64>,
    /// Most descriptors of any entry before the first load, and idle after the last.
    pub open_files: [usize; 2],
    /// What callers and stand-ins saw.
    pub results: ArmResults,
}

impl SoakReport {
    /// What did not hold.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let sum =
            |get: fn(&ClassResults) -> u64| -> u64 { self.results.classes.values().map(get).sum() };
        let (wrong, cut) = (sum(|c| c.stats.wrong), sum(|c| c.stats.cut));
        if wrong > 0 {
            found.push(format!("{wrong} answers were wrong or missing"));
        }
        if cut > 0 {
            found.push(format!("{cut} answers were cut"));
        }
        if self.results.executions > 1 {
            let most = self.results.executions;
            found.push(format!(
                "a request that may not be repeated ran {most} times"
            ));
        }
        if self.results.untrue > 0 {
            let untrue = self.results.untrue;
            found.push(format!(
                "{untrue} refusals said not run of requests that ran"
            ));
        }
        let first = self.memory_kb.first().copied().unwrap_or_default();
        let last = self.memory_kb.last().copied().unwrap_or_default();
        if last > first + BUDGET_KB / GROWTH_SHARE {
            found.push(format!("memory grew from {first} kB to {last} kB"));
        }
        found
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
                c.stats.sent,
                c.stats.whole,
                100.0 * c.attainment(),
                c.stats.not_run,
                c.stats.may_have_run,
                c.stats.cut,
                c.stats.wrong
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
