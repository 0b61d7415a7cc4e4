//! What may happen to a call between the write of its sender and its arrival at the platform.

use {super::platform::Call, fastrand::Rng, std::collections::BTreeMap};

/// Timeout of the exchange, and the time after which the kernel drops unacknowledged bytes.
pub(super) const EXCHANGE_LIMIT_MS: u64 = 600;
const DELIVERY_LIMIT_MS: u64 = 2 * EXCHANGE_LIMIT_MS;
/// First retransmission; the time doubles with each.
const RETRANSMISSION_MS: u64 = 200;
/// Time after its link healed in which the calls of a VM don't count.
const HEAL_SLACK_MS: u64 = 300;
/// Longest pause between two parts of a call.
const PART_PAUSE_MS: u64 = 900;
/// Longest time until an answer of a platform that is 50 times slower.
const SLOW_ANSWER_MS: u64 = 1_000;
/// Contenders of fleets of 8, 60 and 300 VMs, and of smaller ones: three in each zone.
const CONTENDERS: [usize; 6] = [3, 6, 8, 9, 12, 15];

/// Seed of the generator of this part of a walk, so that the rest of it stays as it is without it.
const SALT: u64 = 0x6361_6c6c;

/// A call that was written to a link that is cut.
struct HeldCall {
    call: Call,
    sent: u64,
    /// Whether the network holds the bytes and not the sender's system.
    is_underway: bool,
}

/// How a call travels.
pub(super) enum Route {
    /// As without a fault of the path.
    Direct,
    /// The platform closed the kept connection before the call arrived.
    Closed,
    /// The rest of the call is written after a pause.
    InParts(u64),
    /// The call waits behind a cut link, under this number.
    Held(u64),
}

/// The links of the VMs to the platform.
pub(super) struct CallPath {
    rng: Rng,
    is_faulty: bool,
    /// Whether a sender's kernel drops unacknowledged bytes after a timeout.
    pub(super) limits_delivery: bool,
    cuts: BTreeMap<usize, u64>,
    held: BTreeMap<u64, HeldCall>,
    next_call: u64,
    slow_until: u64,
}

impl CallPath {
    /// Links that fail in half of the walks.
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed ^ SALT);
        let is_faulty = rng.bool();
        Self {
            rng,
            is_faulty,
            ..Self::sound()
        }
    }

    /// Links that never fail.
    pub(super) fn sound() -> Self {
        Self {
            rng: Rng::with_seed(SALT),
            is_faulty: false,
            limits_delivery: true,
            cuts: BTreeMap::new(),
            held: BTreeMap::new(),
            next_call: 0,
            slow_until: 0,
        }
    }

    /// Number of VMs that contend, if it isn't `count`.
    pub(super) fn contenders(&mut self, count: usize) -> usize {
        match self.is_faulty {
            true => CONTENDERS[self.rng.usize(..CONTENDERS.len())],
            false => count,
        }
    }

    /// May cut the link of a VM or slow the answers; returns what happens.
    pub(super) fn inject(&mut self, now: u64, index: usize) -> Option<String> {
        if !self.is_faulty {
            return None;
        }
        let until = now + self.rng.u64(100..9_000);
        match self.rng.u8(..4) {
            0 | 1 => {
                let cut = self.cuts.entry(index).or_default();
                *cut = until.max(*cut);
                Some(format!("link of vm-{index} is cut for {} ms", until - now))
            }
            2 => {
                self.slow_until = until;
                Some(format!("answers are slow for {} ms", until - now))
            }
            _ => None,
        }
    }

    /// Ends all faults but the cuts of links; returns when the last of these ends.
    pub(super) fn end_faults(&mut self, now: u64) -> u64 {
        self.is_faulty = false;
        self.slow_until = now;
        self.cuts.values().copied().max().unwrap_or(now)
    }

    pub(super) fn is_cut(&self, now: u64, index: usize) -> bool {
        self.cuts.get(&index).is_some_and(|until| now < *until)
    }

    /// Whether a new connection is needed, which a cut link doesn't allow.
    pub(super) fn blocks_connecting(&mut self, now: u64, index: usize) -> bool {
        self.is_cut(now, index) && self.rng.bool()
    }

    /// Whether the VM's link healed so recently that its calls don't count.
    pub(super) fn healed_recently(&self, now: u64, index: usize) -> bool {
        let healed = self.cuts.get(&index);
        healed.is_some_and(|at| *at <= now && now <= at + HEAL_SLACK_MS)
    }

    pub(super) fn route(&mut self, now: u64, index: usize, call: Call) -> Route {
        if self.is_cut(now, index) {
            return Route::Held(self.hold(now, call));
        }
        if !self.is_faulty {
            return Route::Direct;
        }
        match self.rng.u8(..16) {
            0 => Route::Closed,
            1 | 2 => Route::InParts(self.rng.u64(1..PART_PAUSE_MS)),
            _ => Route::Direct,
        }
    }

    fn hold(&mut self, now: u64, call: Call) -> u64 {
        self.next_call += 1;
        let is_underway = self.rng.bool();
        let held = HeldCall {
            call,
            sent: now,
            is_underway,
        };
        self.held.insert(self.next_call, held);
        self.next_call
    }

    /// When a held call is delivered if its VM's link heals as expected; `None` if it was discarded.
    pub(super) fn delivery(&mut self, now: u64, index: usize, number: u64) -> Option<u64> {
        let held = self.held.get(&number)?;
        let healed = self.cuts.get(&index).map_or(now, |at| (*at).max(now));
        if held.is_underway {
            return Some(healed + self.rng.u64(1..100));
        }
        let mut at = held.sent + RETRANSMISSION_MS;
        let mut pause = RETRANSMISSION_MS;
        while at < healed {
            pause *= 2;
            at += pause;
        }
        Some(at)
    }

    /// Takes a held call that arrives at the platform; `None` if it was discarded before.
    pub(super) fn deliver(&mut self, now: u64, number: u64) -> Option<Call> {
        let held = self.held.remove(&number)?;
        let is_given_up = self.limits_delivery && now >= held.sent + DELIVERY_LIMIT_MS;
        (held.is_underway || !is_given_up).then_some(held.call)
    }

    /// The sender resets the connection of a held call; false if the call has arrived. What the
    /// system gave up before isn't called back.
    pub(super) fn reset(&mut self, now: u64, number: u64) -> bool {
        let Some(held) = self.held.get(&number) else {
            return false;
        };
        let is_given_up = self.limits_delivery && now >= held.sent + DELIVERY_LIMIT_MS;
        if !(held.is_underway && is_given_up) {
            self.held.remove(&number);
        }
        true
    }

    /// Whether an answer comes too late, and when its sender has it or gives it up.
    pub(super) fn slow_answer(&mut self, now: u64) -> Option<(bool, u64)> {
        if now >= self.slow_until {
            return None;
        }
        let delay = self.rng.u64(50..SLOW_ANSWER_MS);
        Some((delay < EXCHANGE_LIMIT_MS, delay.min(EXCHANGE_LIMIT_MS)))
    }
}
