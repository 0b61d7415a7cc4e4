//! The burn report as a text table.

use {
    crate::{BurnReport, BurnRow, BurnWindow},
    std::fmt,
};

/// Rows of organisations in the table; the JSON form has all of them.
const MAX_ORGS: usize = 20;

/// Returns the length of a window in short form, such as `5m`.
fn window_name(unit: f64, window: BurnWindow) -> String {
    let seconds = unit * window.units() as f64;
    if seconds >= 3600.0 {
        format!("{}h", seconds / 3600.0)
    } else if seconds >= 60.0 {
        format!("{}m", seconds / 60.0)
    } else {
        format!("{seconds}s")
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &BurnRow) -> fmt::Result {
    let org = row.org.as_ref().map_or("(all)", |o| o.as_str());
    writeln!(
        f,
        "{:<14} {:<18} {:>9} {:>8.2}% {:>8.2}% {:>8.1}% {:>7.2} {:>7.2} {:>7.2} {:>7.2}  {}",
        row.class.as_str(),
        org,
        row.requests,
        row.objective * 100.0,
        row.attainment * 100.0,
        row.budget * 100.0,
        row.short,
        row.middle,
        row.hour,
        row.long,
        row.alert,
    )
}

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |window| window_name(self.unit, window);
        writeln!(
            f,
            "{:<14} {:<18} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7} {:>7} {:>7}  alert",
            "class",
            "organisation",
            "requests",
            "objective",
            "attained",
            "budget",
            name(BurnWindow::Short),
            name(BurnWindow::Middle),
            name(BurnWindow::Hour),
            name(BurnWindow::Long),
        )?;
        for row in &self.classes {
            write_row(f, row)?;
        }
        for row in self.orgs.iter().take(MAX_ORGS) {
            write_row(f, row)?;
        }
        if self.orgs.len() > MAX_ORGS {
            writeln!(
                f,
                "... {} more rows with --json",
                self.orgs.len() - MAX_ORGS
            )?;
        }
        writeln!(
            f,
            "\n{:<14} {:>9} {:>14} {:>14} {:>14}",
            "zone", "hours", "steady hours", "cheap hours", "cost"
        )?;
        for row in &self.spending {
            writeln!(
                f,
                "{:<14} {:>9.3} {:>14.3} {:>14.3} {:>14.3}",
                row.zone.as_str(),
                row.hours,
                row.steady,
                row.cheap,
                row.cost
            )?;
        }
        write!(f, "cost for 1000 tokens: {:.6} endpoint-hours", self.cost)?;
        if let Some(usage) = &self.usage {
            write!(
                f,
                "\nusage reports: {} taken, {} late, {} retried, {} refused; {} requests counted late",
                usage.taken, usage.late, usage.retried, usage.wrong, usage.moved
            )?;
        }
        Ok(())
    }
}
