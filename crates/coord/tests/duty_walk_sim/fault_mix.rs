//! The faults that a walk injects.

use fastrand::Rng;

/// Releases and record formats of the VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fleet {
    /// All VMs run the product.
    Current,
    /// Some VMs write a format that the others cannot decode.
    OtherFormat,
    /// Some VMs run release 839a701.
    Earlier,
}

/// A fault that happens at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    Freeze,
    Slow,
    Restart,
    PowerOff,
    /// The log rejects a VM.
    Reject,
    /// A VM cannot reach the log.
    CutOff,
    Outage,
    SlowLog,
    /// The oldest records expire.
    Expire,
    /// All records are dropped.
    Compact,
    /// The log is restored from an older copy.
    Restore,
    /// Another writer appends a record that no VM can decode.
    Unreadable,
}

use Fault::*;

const EARLIER_FAULTS: [Fault; 6] = [Freeze, Restart, PowerOff, Reject, CutOff, Outage];
const ALL_FAULTS: [Fault; 12] = [
    Freeze, Slow, Restart, PowerOff, Reject, CutOff, Outage, SlowLog, Expire, Compact, Restore,
    Unreadable,
];

/// The faults of a walk with two releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MixedFaults {
    /// Those that earlier releases bear.
    Earlier,
    /// Those, and a log that is slow or drops records.
    DroppedRecords,
}

const DROP_FAULTS: [Fault; 10] = [
    Freeze, Slow, Restart, PowerOff, Reject, CutOff, Outage, SlowLog, Expire, Compact,
];

/// The kinds of faults of one walk, and how often they happen.
#[derive(Debug, Clone)]
pub(crate) struct FaultMix {
    pub(crate) fleet: Fleet,
    /// The kinds; those that occur twice happen more often.
    kinds: Vec<Fault>,
    /// Longest time between two faults.
    pub(crate) pause_ms: u64,
    /// Appends of which the request is lost, of which the answer is lost, and which take effect
    /// late, in percent.
    pub(crate) lost_requests: u32,
    pub(crate) lost_answers: u32,
    pub(crate) late_appends: u32,
    /// Steps before which a VM freezes, in a thousand.
    pub(crate) step_freezes: u32,
}

impl FaultMix {
    /// Only kills, which the simulation injects by itself.
    pub(crate) fn none() -> Self {
        Self {
            fleet: Fleet::Current,
            kinds: Vec::new(),
            pause_ms: 0,
            lost_requests: 0,
            lost_answers: 0,
            late_appends: 0,
            step_freezes: 0,
        }
    }

    /// Some of the faults that all releases of the fleet bear.
    pub(crate) fn random(fleet: Fleet, rng: &mut Rng) -> Self {
        let known: &[Fault] = match fleet {
            Fleet::Earlier => &EARLIER_FAULTS,
            Fleet::Current | Fleet::OtherFormat => &ALL_FAULTS,
        };
        let count = rng.usize(1..=known.len());
        let kinds = (0..count).map(|_| known[rng.usize(..known.len())]);
        let mut kinds: Vec<_> = kinds.collect();
        if fleet == Fleet::Earlier {
            // Releases change at restarts.
            kinds.push(Restart);
        }
        Self {
            fleet,
            kinds,
            pause_ms: rng.u64(500..6_000),
            lost_requests: rng.u32(..6),
            lost_answers: rng.u32(..10),
            late_appends: rare_or_frequent(rng, 10, 60),
            step_freezes: rare_or_frequent(rng, 8, 30),
        }
    }

    /// Some of the faults for a walk with two releases.
    pub(crate) fn mixed(faults: MixedFaults, rng: &mut Rng) -> Self {
        let mut mix = Self::random(Fleet::Earlier, rng);
        if faults == MixedFaults::DroppedRecords {
            let kinds = DROP_FAULTS.map(|kind| rng.bool().then_some(kind));
            mix.kinds.extend(kinds.into_iter().flatten());
        }
        mix
    }

    pub(crate) fn pick(&self, rng: &mut Rng) -> Option<Fault> {
        rng.choice(self.kinds.iter().copied())
    }
}

/// A rate below `rare`, or below `frequent` in one of four cases.
fn rare_or_frequent(rng: &mut Rng, rare: u32, frequent: u32) -> u32 {
    match rng.u32(..4) {
        0 => rng.u32(..frequent),
        _ => rng.u32(..rare),
    }
}
