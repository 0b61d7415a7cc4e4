//! What a soak found.

use {
    crate::figures::{ArmFigures, ClassFigures},
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
    pub files: [usize; 2],
    /// What callers and stand-ins saw.
    pub figures: ArmFigures,
}

impl SoakReport {
    /// What did not hold.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let sum =
            |get: fn(&ClassFigures) -> u64| -> u64 { self.figures.classes.values().map(get).sum() };
        let (wrong, cut) = (sum(|c| c.seen.wrong), sum(|c| c.seen.cut));
        if wrong > 0 {
            found.push(format!("{wrong} answers were wrong or missing"));
        }
        if cut > 0 {
            found.push(format!("{cut} answers were cut"));
        }
        if self.figures.executions > 1 {
            let most = self.figures.executions;
            found.push(format!(
                "a request that may not be repeated ran {most} times"
            ));
        }
        if self.figures.untrue > 0 {
            let untrue = self.figures.untrue;
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
        for (class, c) in &self.figures.classes {
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
            self.faults, self.figures.executions, self.figures.untrue, self.memory_kb, self.files
        )
    }
}
