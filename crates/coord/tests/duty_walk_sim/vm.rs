//! A process that contends for the lease and performs the duties, step by step like the product's
//! duty worker.

use {
    super::{
        lease_view::{Figure, LeaseView, Permission, Time},
        platform::{Call, Process},
        wire::{Append, AppendAnswer, ReadAnswer},
    },
    clock::Instant,
    fastrand::Rng,
    std::{collections::BTreeSet, time::Duration},
};

/// Length of a usage window.
pub(super) const WINDOW_MS: u64 = 5_000;
const MAX_OPEN_WINDOWS: u64 = 4;
/// Time after a window's end before which it is not sealed.
const SEAL_DELAY_MS: u64 = 1_000;
/// Time after the start in which the time of day may be wrong.
const CLOCK_CHECK_TIME: Duration = Duration::from_secs(3);
const HOLDER_POLL_MS: u64 = 250;
const STANDBY_POLL_MS: u64 = 1_800;
const RETRY_PAUSE_MS: u64 = 300;

/// A step of a VM. A VM may freeze before each step.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Poll,
    /// The answer to a read has arrived; `None` if it failed.
    ReadDone(Option<ReadAnswer>),
    StartAppend(Append),
    /// The answer to an append has arrived; `None` if its outcome is unknown.
    AppendDone(Append, Option<AppendAnswer>),
    Act,
    /// A connection for the call is open.
    Connected(Call, Permission),
    WriteCall(Call),
    /// The rest of a call may be written.
    WriteRest(Call),
    /// The exchange of the call with this number behind a cut link timed out.
    GiveUp(Call, u64),
    CallDone(Call, bool),
}

/// What a VM does after a step.
#[derive(Debug)]
pub(crate) enum Action {
    /// Runs the next step immediately.
    Next(Step),
    Pause(u64),
    Read(u64),
    Append(Append),
    Connect(Call, Permission),
    /// Writes a call to its open connection.
    Write(Call),
    /// Sends a call, and resets it at once if it was written too late.
    Send(Call, bool),
    SendRest(Call),
}

/// Checks of the permission while a call is sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallChecks {
    /// Before the call is written.
    pub(crate) first: bool,
    /// Before each further part of it.
    pub(crate) parts: bool,
    /// After a write.
    pub(crate) written: bool,
}

/// One process.
pub(crate) struct Vm {
    pub(crate) process: Process,
    pub(crate) lease: Box<dyn LeaseView>,
    checks: CallChecks,
    /// When the permission of the call that is written runs out.
    send_by: Option<Instant>,
    reported: BTreeSet<u64>,
    /// Whether capacity was ordered since the last poll.
    ordered: bool,
    /// When its first step ran.
    started: Option<Instant>,
}

impl Vm {
    pub(crate) fn new(process: Process, lease: Box<dyn LeaseView>, checks: CallChecks) -> Self {
        Self {
            process,
            lease,
            checks,
            send_by: None,
            reported: BTreeSet::new(),
            ordered: false,
            started: None,
        }
    }

    /// Runs a step at `now`; `unix` is the wall-clock time in ms.
    pub(crate) fn run(&mut self, step: Step, now: Instant, unix: u64, rng: &mut Rng) -> Action {
        self.started.get_or_insert(now);
        let time = Time {
            now,
            unix: Duration::from_millis(unix),
        };
        match step {
            Step::Poll => self.poll(now),
            Step::ReadDone(Some(ReadAnswer::Records(records))) => {
                match self.lease.read_done(time, &records) {
                    true => self.contend(now),
                    false => Action::Pause(RETRY_PAUSE_MS),
                }
            }
            Step::ReadDone(Some(ReadAnswer::Missing(first))) => Action::Read(first),
            Step::ReadDone(None) => Action::Pause(RETRY_PAUSE_MS),
            Step::StartAppend(append) => {
                self.lease.append_started(now, &append);
                Action::Append(append)
            }
            Step::AppendDone(append, answer) => {
                self.lease.append_done(time, &append, answer);
                Action::Next(Step::Act)
            }
            Step::Act => self.act(now, unix, rng),
            Step::Connected(call, permission) => self.check_permission(now, call, permission),
            Step::WriteCall(call) => {
                let is_late = self.send_by.is_none_or(|by| now >= by);
                Action::Send(call, is_late && self.checks.written)
            }
            Step::WriteRest(call) => self.write_rest(now, call),
            Step::GiveUp(call, _) => self.end_call(call, false),
            Step::CallDone(call, done) => self.end_call(call, done),
        }
    }

    fn poll(&mut self, now: Instant) -> Action {
        self.ordered = false;
        if self.lease.must_read() || !self.lease.is_holder() {
            return Action::Read(self.lease.end_offset());
        }
        self.contend(now)
    }

    fn contend(&mut self, now: Instant) -> Action {
        match self.lease.next_append(now) {
            Some(append) => Action::Next(Step::StartAppend(append)),
            None => Action::Next(Step::Act),
        }
    }

    fn pause(&self) -> Action {
        match self.lease.is_holder() || self.lease.must_read() {
            true => Action::Pause(HOLDER_POLL_MS),
            false => Action::Pause(STANDBY_POLL_MS),
        }
    }

    fn act(&mut self, now: Instant, unix: u64, rng: &mut Rng) -> Action {
        let Some(permission) = self.lease.permission(now) else {
            return self.pause();
        };
        let age = self.started.map_or(Duration::ZERO, |at| now.since(at));
        let is_checked = age >= CLOCK_CHECK_TIME;
        for window in open_windows(unix).filter(|_| is_checked) {
            if self.reported.contains(&window) {
                continue;
            }
            if let Some(count) = self.lease.sealed(window) {
                let figure = Some(Figure { window, count });
                return Action::Connect(self.call(permission, figure), permission);
            }
            let count = rng.u64(1..1_000_000);
            if let Some(append) = self.lease.seal(now, Figure { window, count }) {
                return Action::Next(Step::StartAppend(append));
            }
        }
        self.order(permission)
    }

    fn order(&mut self, permission: Permission) -> Action {
        if self.ordered {
            return self.pause();
        }
        self.ordered = true;
        Action::Connect(self.call(permission, None), permission)
    }

    fn call(&self, permission: Permission, figure: Option<Figure>) -> Call {
        Call {
            sender: self.process,
            token: permission.token,
            figure,
        }
    }

    fn check_permission(&mut self, now: Instant, call: Call, permission: Permission) -> Action {
        if self.checks.first && now >= permission.until {
            return self.pause();
        }
        self.send_by = Some(permission.until);
        Action::Write(call)
    }

    fn write_rest(&mut self, now: Instant, call: Call) -> Action {
        if self.checks.parts && self.send_by.is_none_or(|by| now >= by) {
            return self.end_call(call, false);
        }
        Action::SendRest(call)
    }

    fn end_call(&mut self, call: Call, done: bool) -> Action {
        if !done {
            return self.pause();
        }
        let Some(figure) = call.figure else {
            return self.pause();
        };
        self.reported.insert(figure.window);
        Action::Next(Step::Act)
    }
}

/// The ended windows that may be reported, oldest first.
fn open_windows(unix: u64) -> impl Iterator<Item = u64> {
    let ended = unix.saturating_sub(SEAL_DELAY_MS) / WINDOW_MS;
    ended.saturating_sub(MAX_OPEN_WINDOWS)..ended
}
