//! Formats the results of a paired experiment as a table.

use {
    super::{ArmResults, ClassResults, PairReport},
    std::fmt,
};

impl fmt::Display for PairReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} {}: seed {}, {} rounds of {} s for each arm",
            self.site, self.experiment, self.seed, self.rounds, self.seconds
        )?;
        writeln!(
            f,
            "{:<12} {:<14} {:>6} {:>8} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8} {:>5} {:>5} {:>17}",
            "class",
            "arm",
            "sent",
            "attained",
            "good/s",
            "wasted",
            "worst",
            "cheap",
            "not_run",
            "may_have",
            "cut",
            "wrong",
            "first p50/95/99"
        )?;
        let classes = self.arms.first().map(|a| a.classes.keys());
        for class in classes.into_iter().flatten() {
            for arm in &self.arms {
                if let Some(results) = arm.classes.get(class) {
                    write_class(f, class.as_str(), arm, results)?;
                }
            }
        }
        self.arms.iter().try_for_each(|arm| write_total(f, arm))
    }
}

fn percent(share: f64) -> String {
    format!("{:.1}%", 100.0 * share)
}

fn write_class(
    f: &mut fmt::Formatter<'_>,
    class: &str,
    arm: &ArmResults,
    c: &ClassResults,
) -> fmt::Result {
    let [p50, p95, p99] = c.seen.first_ms;
    writeln!(
        f,
        "{:<12} {:<14} {:>6} {:>8} {:>8.0} {:>7} {:>7.2} {:>7} {:>8} {:>8} {:>5} {:>5} {:>17}",
        class,
        arm.name.as_str(),
        c.seen.sent,
        percent(c.attainment()),
        c.good as f64 / arm.seconds,
        percent(c.wasted_share()),
        c.worst,
        percent(c.cheap_share()),
        c.seen.not_run,
        c.seen.may_have_run,
        c.seen.cut,
        c.seen.wrong,
        format!("{p50:.0}/{p95:.0}/{p99:.0}")
    )
}

fn write_total(f: &mut fmt::Formatter<'_>, arm: &ArmResults) -> fmt::Result {
    let good: u64 = arm.classes.values().map(|c| c.good).sum();
    let reasons: Vec<String> = arm
        .reasons
        .iter()
        .map(|(r, n)| format!("{r} {n}"))
        .collect();
    writeln!(
        f,
        "{}: goodput {:.0} tokens/s, wasted {}, on cheap endpoints {}, most executions of a \
         non-repeatable request {}, untrue refusals {}, refused: {}",
        arm.name,
        good as f64 / arm.seconds,
        percent(arm.wasted_share()),
        percent(arm.cheap_share()),
        arm.executions,
        arm.untrue,
        if reasons.is_empty() {
            "none".into()
        } else {
            reasons.join(", ")
        }
    )
}
