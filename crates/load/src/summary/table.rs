//! Prints figures as tables.

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
        for (class, r) in &self.classes {
            let share = 100.0 * r.attained as f64 / r.sent.max(1) as f64;
            let [a, b, c] = r.first_ms;
            let [d, e, g] = r.between_ms;
            writeln!(
                f,
                "{:<14} {:>6} {:>6} {:>7.1}% {:>7} {:>8} {:>4} {:>5} {:>8} {:>22} {:>19}",
                class.as_str(),
                r.sent,
                r.whole,
                share,
                r.not_run,
                r.may_have_run,
                r.cut,
                r.wrong,
                r.tokens,
                format!("{a:.0}/{b:.0}/{c:.0}"),
                format!("{d:.1}/{e:.1}/{g:.1}")
            )?;
        }
        writeln!(
            f,
            "\n{:<20} {:>6} {:>8} {:>8}",
            "organisation", "sent", "attained", "tokens"
        )?;
        for (org, r) in &self.orgs {
            let share = 100.0 * r.attained as f64 / r.sent.max(1) as f64;
            writeln!(
                f,
                "{:<20} {:>6} {:>7.1}% {:>8}",
                org.as_str(),
                r.sent,
                share,
                r.tokens
            )?;
        }
        for (reason, count) in &self.reasons {
            writeln!(f, "refused {reason}: {count}")?;
        }
        Ok(())
    }
}
