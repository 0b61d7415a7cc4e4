//! The receiver of the duty holder's calls. It checks the order of the holders.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
};

use super::lease_view::Figure;

/// Time in which holders must not act in the order A, B, A.
const LEASE_MS: u64 = 3_000;

/// A process of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Process {
    pub(crate) vm: usize,
    pub(crate) incarnation: u64,
    /// Whether it runs an earlier release.
    pub(crate) earlier: bool,
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "vm-{}/{}", self.vm, self.incarnation)
    }
}

/// A call of a holder; without a figure, an order of capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    pub(crate) sender: Process,
    pub(crate) token: u64,
    pub(crate) figure: Option<Figure>,
}

/// What a walk must not find.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Violation {
    TokenFell {
        from: u64,
        to: u64,
    },
    TokenShared {
        token: u64,
        first: String,
        second: String,
    },
    Alternation {
        vm: usize,
        other: usize,
    },
    TwoFigures {
        window: u64,
        first: u64,
        second: u64,
    },
    NoHolder {
        since: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TokenFell { from, to } => write!(f, "fencing token fell from {from} to {to}"),
            Self::TokenShared {
                token,
                first,
                second,
            } => write!(f, "{first} and {second} share the fencing token {token}"),
            Self::Alternation { vm, other } => {
                write!(f, "vm-{vm}, vm-{other} and vm-{vm} act within the lease")
            }
            Self::TwoFigures {
                window,
                first,
                second,
            } => write!(f, "window {window} has the figures {first} and {second}"),
            Self::NoHolder { since } => write!(f, "no VM acts since {since} ms"),
        }
    }
}

/// The calls that have arrived.
#[derive(Default)]
pub(crate) struct Platform {
    highest: Option<u64>,
    owners: BTreeMap<u64, Process>,
    figures: BTreeMap<u64, u64>,
    /// Arrivals of the last `LEASE_MS`.
    recent: VecDeque<(u64, usize)>,
    pub(crate) last_call: Option<(u64, Process)>,
    pub(crate) handovers: u64,
    pub(crate) calls: u64,
}

impl Platform {
    pub(crate) fn windows(&self) -> usize {
        self.figures.len()
    }

    /// Handles a call. The order of excused calls doesn't count, but their tokens have been seen.
    pub(crate) fn receive(&mut self, now: u64, call: Call, excused: bool) -> Result<(), Violation> {
        self.calls += 1;
        self.check_owner(call)?;
        self.check_figure(call)?;
        if excused {
            self.highest = self.highest.max(Some(call.token));
            return Ok(());
        }
        self.check_order(call)?;
        self.check_alternation(now, call.sender.vm)?;
        if self.last_call.is_some_and(|(_, last)| last != call.sender) {
            self.handovers += 1;
        }
        self.last_call = Some((now, call.sender));
        Ok(())
    }

    fn check_owner(&mut self, call: Call) -> Result<(), Violation> {
        let owner = *self.owners.entry(call.token).or_insert(call.sender);
        if owner == call.sender {
            return Ok(());
        }
        Err(Violation::TokenShared {
            token: call.token,
            first: owner.to_string(),
            second: call.sender.to_string(),
        })
    }

    fn check_figure(&mut self, call: Call) -> Result<(), Violation> {
        let Some(Figure { window, count }) = call.figure else {
            return Ok(());
        };
        let first = *self.figures.entry(window).or_insert(count);
        if first == count {
            return Ok(());
        }
        Err(Violation::TwoFigures {
            window,
            first,
            second: count,
        })
    }

    fn check_order(&mut self, call: Call) -> Result<(), Violation> {
        let from = self.highest.unwrap_or_default();
        if call.token < from {
            let to = call.token;
            return Err(Violation::TokenFell { from, to });
        }
        self.highest = Some(call.token);
        Ok(())
    }

    fn check_alternation(&mut self, now: u64, vm: usize) -> Result<(), Violation> {
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| at + LEASE_MS < now)
        {
            self.recent.pop_front();
        }
        let vms = self.recent.iter().map(|(_, vm)| *vm);
        let other = vms.skip_while(|v| *v != vm).find(|v| *v != vm);
        self.recent.push_back((now, vm));
        other.map_or(Ok(()), |other| Err(Violation::Alternation { vm, other }))
    }
}
