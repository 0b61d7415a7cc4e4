//! Formats a load summary as tables.

use {super::LoadSummary, std::fmt};

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14} {:>6} {:>6} {:>8} {:>7} {:>8} {:>4} {:>5} {:>8} {:>22} {:>19}",
            "class",
            "sent",
            "whole",
            "attained",
            "not_run",
            "may_have",
            "cut",
            "wrong",
            "tokens",
            "first ms p50/p95/p99",
            "between p50/95/99"
        )?;
        for (class, stats) in &self.classes {
            let share = 100.0 * stats.attained as f64 / stats.sent.max(1) as f64;
            let [first_p50, first_p95, first_p99] = stats.first_ms;
            let [between_p50, between_p95, between_p99] = stats.between_ms;
            writeln!(
                f,
                "{:<14} {:>6} {:>6} {:>7.1}% {:>7} {:>8} {:>4} {:>5} {:>8} {:>22} {:>19}",
                class.as_str(),
                stats.sent,
                stats.whole,
                share,
                stats.not_run,
                stats.may_have_run,
                stats.cut,
                stats.wrong,
                stats.tokens,
                format!("{first_p50:.0}/{first_p95:.0}/{first_p99:.0}"),
                format!("{between_p50:.1}/{between_p95:.1}/{between_p99:.1}")
            )?;
        }
        writeln!(
            f,
            "\n{:<20} {:>6} {:>8} {:>8}",
            "organisation", "sent", "attained", "tokens"
        )?;
        for (org, stats) in &self.orgs {
            let share = 100.0 * stats.attained as f64 / stats.sent.max(1) as f64;
            writeln!(
                f,
                "{:<20} {:>6} {:>7.1}% {:>8}",
                org.as_str(),
                stats.sent,
                share,
                stats.tokens
            )?;
        }
        for (reason, count) in &self.reasons {
            writeln!(f, "refused {reason}: {count}")?;
        }
        Ok(())
    }
}
