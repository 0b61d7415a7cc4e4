//! Results of the control-plane overhead measurement.

use {
    super::fit_line,
    eyre::Result,
    harness::{ChildProcess, Cluster},
    serde::Serialize,
    std::{fmt, time::Duration},
};

/// Nodes at the target size.
const TARGET_NODES: f64 = 400.0;

/// Results at one cluster size: means over all nodes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ControlPoint {
    /// Number of nodes.
    pub nodes: usize,
    /// Additional API keys in the configuration.
    pub keys: usize,
    /// Configuration changes published.
    pub changes: u64,
    /// CPU usage of an entry, as a fraction of a core.
    pub entry_core: f64,
    /// CPU usage of a steward, as a fraction of a core.
    pub steward_core: f64,
    /// Resident memory of an entry, in kilobytes.
    pub entry_kb: f64,
    /// Resident memory of a steward, in kilobytes.
    pub steward_kb: f64,
    /// Bytes per second in message bodies between an entry and other processes, in both directions.
    pub entry_bytes: f64,
    /// Bytes per second in message bodies between a steward and other processes, in both
    /// directions.
    pub steward_bytes: f64,
    /// Messages per second of an entry, in both directions, including responses.
    pub messages: f64,
    /// Bytes per second that a steward receives from the platform.
    pub platform_bytes: f64,
    /// Median time until a change is in force at every entry, in milliseconds.
    pub force_ms: f64,
    /// Longest time until a change is in force at every entry, in milliseconds.
    pub slowest_ms: f64,
}

/// Results at all cluster sizes and numbers of keys.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ControlReport {
    /// Results by number of nodes, at the first number of organisations.
    pub by_nodes: Vec<ControlPoint>,
    /// Results by number of organisations, at the first number of nodes.
    pub by_orgs: Vec<ControlPoint>,
}

impl ControlPoint {
    pub(super) fn set_delays(&mut self, mut delays: Vec<Duration>) {
        delays.sort_unstable();
        let ms = |t: Option<&Duration>| t.map_or(f64::NAN, |t| t.as_secs_f64() * 1000.0);
        self.force_ms = ms(delays.get(delays.len() / 2));
        self.slowest_ms = ms(delays.last());
    }

    pub(super) fn measure_memory(&mut self, cluster: &Cluster) -> Result<()> {
        let mean = |procs: Vec<&ChildProcess>| -> Result<f64> {
            let sizes: Vec<u64> = procs.iter().map(|p| p.memory_kb()).collect::<Result<_>>()?;
            Ok(sizes.iter().sum::<u64>() as f64 / sizes.len().max(1) as f64)
        };
        self.entry_kb = mean(cluster.vms.iter().map(|v| &v.entry).collect())?;
        self.steward_kb = mean(
            cluster
                .vms
                .iter()
                .filter_map(|v| v.steward.as_ref())
                .collect(),
        )?;
        Ok(())
    }
}

/// Label and value of a table row.
type Row = (&'static str, fn(&ControlPoint) -> f64);

const ROWS: [Row; 10] = [
    ("entry, % of a core", |p| 100.0 * p.entry_core),
    ("steward, % of a core", |p| 100.0 * p.steward_core),
    ("entry, MB", |p| p.entry_kb / 1024.0),
    ("steward, MB", |p| p.steward_kb / 1024.0),
    ("entry, bytes/s in the mesh", |p| p.entry_bytes),
    ("steward, bytes/s in the mesh", |p| p.steward_bytes),
    ("entry, bytes/s with other VMs", |p| {
        p.entry_bytes - p.steward_bytes
    }),
    ("entry, messages/s", |p| p.messages),
    ("steward, bytes/s from the platform", |p| p.platform_bytes),
    ("change in force everywhere, ms", |p| p.force_ms),
];

impl fmt::Display for ControlReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_table(
            f,
            "nodes",
            &self.by_nodes,
            |p| p.nodes as f64,
            Some(TARGET_NODES),
        )?;
        write_table(f, "keys", &self.by_orgs, |p| p.keys as f64, None)?;
        let slowest = self.by_nodes.iter().chain(&self.by_orgs);
        let slowest = slowest.map(|p| p.slowest_ms).fold(0.0, f64::max);
        writeln!(f, "slowest change of all: {slowest:.0} ms")
    }
}

fn write_table(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    points: &[ControlPoint],
    x: fn(&ControlPoint) -> f64,
    target: Option<f64>,
) -> fmt::Result {
    write!(f, "{name:<36}")?;
    for point in points {
        write!(f, " {:>9}", x(point))?;
    }
    write!(f, " {:>11}", "slope")?;
    if let Some(target) = target {
        write!(f, " {:>11}", format!("at {target}"))?;
    }
    writeln!(f)?;
    for (label, get) in ROWS {
        write!(f, "{label:<36}")?;
        let line: Vec<(f64, f64)> = points.iter().map(|p| (x(p), get(p))).collect();
        for (_, y) in &line {
            write!(f, " {y:>9.2}")?;
        }
        let (start, slope) = fit_line(&line);
        write!(f, " {slope:>11.5}")?;
        if let Some(target) = target {
            write!(f, " {:>11.1}", start + slope * target)?;
        }
        writeln!(f)?;
    }
    writeln!(f)
}
