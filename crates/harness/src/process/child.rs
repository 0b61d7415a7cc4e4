//! A child process: its addresses, log, signals and resource use.

use {
    super::wait_until,
    eyre::{Result, WrapErr, bail, eyre},
    rustix::process::{Pid, Signal, kill_process},
    serde::Deserialize,
    std::{
        env,
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, ChildStdout, Command, ExitStatus, Stdio},
        sync::{Arc, Mutex},
        thread,
    },
};

/// The fields of a log line that tell which address the process listens on.
#[derive(Deserialize)]
struct LogLine {
    msg: String,
    role: Option<String>,
    addr: Option<SocketAddr>,
}

/// A child process. It is killed when dropped.
pub struct ChildProcess {
    name: String,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

/// Path of a program of this workspace. It is in the folder of the running program, or one folder
/// up if that is a test.
fn program_path(name: &str) -> Result<PathBuf> {
    let running = env::current_exe()?;
    for folder in running.ancestors().skip(1).take(2) {
        let path = folder.join(name);
        if path.is_file() {
            return Ok(path);
        }
    }
    bail!("program {name} is not built; run: cargo build --workspace")
}

/// Collects the lines of a process's output on a thread of its own.
fn collect_lines(stdout: ChildStdout, lines: Arc<Mutex<Vec<String>>>) {
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if let Ok(mut lines) = lines.lock() {
                lines.push(line);
            }
        }
    });
}

impl ChildProcess {
    /// Starts a program of this workspace.
    pub fn start(name: &str, args: &[&str]) -> Result<Self> {
        let mut command = Command::new(program_path(name)?);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        let mut child = command
            .spawn()
            .wrap_err_with(|| format!("cannot start {name}"))?;
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("cannot read the output of {name}"))?;
        collect_lines(stdout, lines.clone());
        Ok(Self {
            name: name.into(),
            child,
            lines,
        })
    }

    /// Lines that the process has written so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().map(|l| l.clone()).unwrap_or_default()
    }

    /// Addresses that the process has logged as listening in `role`.
    fn addrs(&self, role: &str) -> Vec<SocketAddr> {
        let lines = self.lines();
        let parsed = lines
            .iter()
            .filter_map(|l| serde_json::from_str::<LogLine>(l).ok());
        let listening = parsed.filter(|l| l.msg == "listening" && l.role.as_deref() == Some(role));
        listening.filter_map(|l| l.addr).collect()
    }

    /// Waits until the process listens on `count` addresses in `role`, and returns all of them.
    pub fn wait_addrs(&self, role: &str, count: usize) -> Result<Vec<SocketAddr>> {
        let description = format!("{} listens for {role}", self.name);
        wait_until(&description, || self.addrs(role).len() >= count)?;
        Ok(self.addrs(role))
    }

    /// Waits until the process listens in `role`, and returns the first address.
    pub fn wait_addr(&self, role: &str) -> Result<SocketAddr> {
        let addrs = self.wait_addrs(role, 1)?;
        addrs
            .first()
            .copied()
            .ok_or_else(|| eyre!("no address is logged for {role}"))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = i32::try_from(self.child.id())?;
        let pid = Pid::from_raw(pid).ok_or_else(|| eyre!("the process id is not positive"))?;
        kill_process(pid, signal).wrap_err("cannot send a signal")
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Asks the process to stop gracefully and waits until it has ended.
    pub fn stop(&mut self) -> Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.wait()
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> Result<ExitStatus> {
        let description = format!("{} ends", self.name);
        wait_until(&description, || !self.is_running())?;
        Ok(self.child.wait()?)
    }

    /// Kills the process.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Processor time that the process has used, in microseconds.
    pub fn cpu_micros(&self) -> Result<u64> {
        /// Clock ticks per second in the times that the kernel reports.
        const TICKS_PER_SECOND: u64 = 100;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, rest) = stat
            .rsplit_once(')')
            .ok_or_else(|| eyre!("cannot parse the process's stat file"))?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|f| f.parse::<u64>().ok())
                .unwrap_or(0)
        };
        // User and system time. Indexes count the fields after the program name, which ends with
        // ')'.
        Ok((ticks(11) + ticks(12)) * 1_000_000 / TICKS_PER_SECOND)
    }

    /// Number of open file descriptors.
    pub fn open_files(&self) -> Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Resident memory, in kilobytes.
    pub fn memory_kb(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let text = line.and_then(|l| l.split_whitespace().next());
        text.and_then(|t| t.parse().ok())
            .ok_or_else(|| eyre!("the process's status file has no VmRSS"))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
