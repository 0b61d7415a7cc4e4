//! Runs the VMs, the log and the platform in simulated time, and injects faults.

use {
    super::{
        call_path::{CallPath, EXCHANGE_LIMIT_MS, Route},
        current_lease::CurrentLease,
        earlier_lease::EarlierLease,
        fault_mix::{Fault, FaultMix, Fleet, MixedFaults},
        lease_view::LeaseView,
        log::Log,
        platform::{Call, Platform, Process, Violation},
        vm::{Action, CallChecks, Step, Vm, WINDOW_MS},
        wire::{Append, AppendAnswer},
    },
    clock::Instant,
    coord::{DutyLease, DutyMember, DutyTiming},
    fastrand::Rng,
    std::{collections::BTreeMap, ops::Range, time::Duration},
    types::Incarnation,
};

const TIMING: DutyTiming = DutyTiming {
    lease: Duration::from_millis(3_000),
    hold: Duration::from_millis(1_200),
    renew: Duration::from_millis(600),
    window: Duration::from_millis(WINDOW_MS),
};
const CLAIM_JITTER_MS: u64 = 600;
/// Largest error of a machine's time of day, and the time in which a process corrects it.
const MAX_ERROR_MS: i64 = 7_000;
const COMPARISON_MS: u64 = 1_500;
/// Timeouts of a read, of an append, and of connecting for a call and of the call.
const READ_LIMIT_MS: u64 = 450;
const APPEND_LIMIT_MS: u64 = 700;
const CALL_LIMIT_MS: u64 = 600;
/// Duration of a freeze, and of one that is about as long as the lease.
const FREEZE_MS: Range<u64> = 100..8_000;
const LEASE_FREEZE_MS: Range<u64> = 1_000..4_000;
/// Longest step of a slow VM.
const SLOW_STEP_MS: u64 = 2_000;
/// Longest time from the last check of a slow VM to the effect of the write.
const SLOW_WRITE_MS: u64 = 1_000;
/// Time after a thaw of their sender in which calls don't count.
const THAW_SLACK_MS: u64 = 300;
/// Longest flight of a call that was written right after a thaw.
const THAWED_FLIGHT_MS: u64 = 200;
/// Latest effect of a late append after it was sent.
const LATE_APPEND_MS: u64 = 6_000;
const START_MS: u64 = 1_000_000;
/// Largest difference between a machine's wall clock and true time.
const MAX_SKEW_MS: u64 = 300;
/// Longest time without a holder after the last fault.
const RECOVERY_MS: u64 = 10_000;

enum Event {
    Step(usize, u64, Step),
    ReadAtLog(usize, u64, u64),
    /// An append arrives at the log; whether its answer comes back.
    AppendAtLog(usize, u64, Append, bool),
    CallArrives(usize, u64, Call),
    /// A call that waited behind a cut link may arrive.
    HeldCall(usize, u64, u64),
    Start(usize),
    Fault,
}

/// A machine, and the process that runs on it.
#[derive(Default)]
struct Machine {
    vm: Option<Vm>,
    /// Rises with each process, so that events of former ones are dropped.
    generation: u64,
    earlier: bool,
    other_format: bool,
    /// Difference between the machine's clock and true time.
    clock_ms: u64,
    /// Time by which the machine's wall clock is ahead, plus `MAX_SKEW_MS`.
    skew_ms: u64,
    /// Further error of the wall clock, until the process has compared it with others.
    error_ms: i64,
    error_until: u64,
    frozen_until: u64,
    /// When the machine thaws and thawed.
    thaws: Vec<u64>,
    slow_until: u64,
    rejected_until: u64,
    cut_until: u64,
}

/// What happened in a walk.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Stats {
    pub(crate) calls: u64,
    pub(crate) handovers: u64,
    pub(crate) windows: u64,
    pub(crate) faults: u64,
    pub(crate) late_appends: u64,
    /// Longest time without a holder after the faults.
    pub(crate) recovery_ms: u64,
}

/// The world of one walk.
pub(crate) struct Simulation {
    rng: Rng,
    mix: FaultMix,
    /// Whether appends of earlier releases take effect late too.
    late_earlier: bool,
    /// The sender of the newest call, and the one of the counted call before it.
    senders: (Option<Process>, Option<Process>),
    checks: CallChecks,
    path: CallPath,
    /// Whether the whole system starts for the first time.
    is_new: bool,
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    machines: Vec<Machine>,
    log: Log,
    platform: Platform,
    /// When the log is reachable again, and until when it is slow.
    log_down_until: u64,
    log_slow_until: u64,
    /// End of the injection of faults.
    faults_until: u64,
    /// When the last fault has no effect any more.
    last_fault: u64,
    stats: Stats,
    trace: Option<Vec<String>>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, fleet: Fleet) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mix = FaultMix::random(fleet, &mut rng);
        // VMs of the earlier release don't guard the way of a call.
        let path = match fleet {
            Fleet::Earlier => CallPath::sound(),
            Fleet::Current | Fleet::OtherFormat => CallPath::new(seed),
        };
        Self::with_mix(rng, mix, path)
    }

    /// A fleet of two releases with this many VMs that contend, in which appends of both take effect
    /// late.
    pub(crate) fn mixed(seed: u64, contenders: usize, kinds: MixedFaults) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mix = FaultMix::mixed(kinds, &mut rng);
        let mut simulation = Self::with_mix(rng, mix, CallPath::sound());
        simulation.late_earlier = true;
        for index in simulation.machines.len()..contenders {
            simulation.add_machine(index);
        }
        simulation
    }

    /// The sender of the newest call, and the one of the counted call before it.
    pub(crate) fn senders(&self) -> (Option<Process>, Option<Process>) {
        self.senders
    }

    /// A fleet without faults of its own.
    pub(crate) fn without_faults(seed: u64) -> Self {
        Self::with_mix(Rng::with_seed(seed), FaultMix::none(), CallPath::sound())
    }

    fn with_mix(mut rng: Rng, mix: FaultMix, mut path: CallPath) -> Self {
        let base = match mix.fleet != Fleet::Earlier && rng.bool() {
            true => rng.u64(1..1_000),
            false => 0,
        };
        let era = rng.u64(..3);
        let count = path.contenders(rng.usize(3..=8));
        let mut simulation = Self {
            rng,
            mix,
            late_earlier: false,
            senders: (None, None),
            checks: CallChecks {
                first: true,
                parts: true,
                written: true,
            },
            path,
            is_new: base == 0,
            now: START_MS,
            queue: BTreeMap::new(),
            next_event: 0,
            machines: Vec::new(),
            log: Log::new(era, base),
            platform: Platform::default(),
            log_down_until: 0,
            log_slow_until: 0,
            faults_until: 0,
            last_fault: START_MS,
            stats: Stats::default(),
            trace: None,
        };
        for index in 0..count {
            simulation.add_machine(index);
        }
        simulation
    }

    fn add_machine(&mut self, index: usize) {
        let fleet = self.mix.fleet;
        self.machines.push(Machine {
            earlier: fleet == Fleet::Earlier,
            other_format: fleet == Fleet::OtherFormat && self.rng.bool(),
            clock_ms: self.rng.u64(..1_000_000),
            skew_ms: self.rng.u64(..=2 * MAX_SKEW_MS),
            error_ms: 0,
            error_until: 0,
            ..Machine::default()
        });
        let at = self.now + self.rng.u64(1..500);
        self.schedule(at, Event::Start(index));
    }

    /// Takes out the check of the permission right before a call is sent.
    pub(crate) fn without_recheck(mut self) -> Self {
        self.checks.first = false;
        self
    }

    /// Takes out the check of the permission before the rest of a call is written.
    pub(crate) fn without_part_check(mut self) -> Self {
        self.checks.parts = false;
        self
    }

    /// Lets the kernels of senders retransmit for minutes.
    pub(crate) fn without_delivery_limit(mut self) -> Self {
        self.path.limits_delivery = false;
        self
    }

    pub(crate) fn with_trace(mut self) -> Self {
        self.trace = Some(vec![format!("{:?}", self.mix)]);
        self
    }

    pub(crate) fn trace(&self) -> &[String] {
        self.trace.as_deref().unwrap_or_default()
    }

    /// Injects faults for `span` ms, then waits until a VM acts.
    pub(crate) fn run(&mut self, span: u64) -> Result<Stats, Violation> {
        self.faults_until = self.now + span;
        self.schedule(self.now + 1_000, Event::Fault);
        self.advance(self.faults_until)?;
        self.end_faults();
        self.recover()?;
        Ok(self.stats())
    }

    /// Runs without faults for `span` ms, kills the holder, and returns the time until another VM
    /// acts.
    pub(crate) fn kill_holder(&mut self, span: u64) -> Result<u64, Violation> {
        self.advance(self.now + span)?;
        let since = self.now;
        let Some(holder) = self.holder() else {
            return Err(Violation::NoHolder { since });
        };
        self.kill(holder);
        self.last_fault = self.now;
        self.recover()?;
        Ok(self.stats.recovery_ms)
    }

    fn stats(&self) -> Stats {
        Stats {
            calls: self.platform.calls,
            handovers: self.platform.handovers,
            windows: self.platform.windows() as u64,
            ..self.stats
        }
    }

    fn end_faults(&mut self) {
        self.log_down_until = self.now;
        self.log_slow_until = self.now;
        self.last_fault = self.last_fault.max(self.now);
        for machine in &mut self.machines {
            machine.slow_until = self.now;
            machine.rejected_until = self.now;
            machine.cut_until = self.now;
            self.last_fault = self.last_fault.max(machine.frozen_until);
        }
        self.last_fault = self.last_fault.max(self.path.end_faults(self.now));
        self.note(|| "the faults end".into());
    }

    /// Runs until a VM acts after the last fault.
    fn recover(&mut self) -> Result<(), Violation> {
        self.advance(self.last_fault)?;
        let since = self.now;
        let called = self.platform.last_call.map(|(at, _)| at);
        while self.platform.last_call.map(|(at, _)| at) == called {
            if self.now > since + RECOVERY_MS {
                return Err(Violation::NoHolder { since });
            }
            self.advance(self.now + 10)?;
        }
        self.stats.recovery_ms = self.now - since;
        Ok(())
    }

    fn advance(&mut self, until: u64) -> Result<(), Violation> {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                break;
            }
            self.now = at;
            let event = entry.remove();
            self.handle(event)?;
        }
        self.now = until;
        Ok(())
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{} {}", self.now - START_MS, line()));
        }
    }

    fn handle(&mut self, event: Event) -> Result<(), Violation> {
        match event {
            Event::Start(index) => self.start(index),
            Event::Step(index, generation, step) => self.step(index, generation, step),
            Event::ReadAtLog(index, generation, from) => self.read(index, generation, from),
            Event::AppendAtLog(index, generation, append, answered) => {
                self.append(index, generation, append, answered);
            }
            Event::CallArrives(index, generation, call) => {
                return self.receive(index, generation, call);
            }
            Event::HeldCall(index, generation, number) => {
                return self.receive_held(index, generation, number);
            }
            Event::Fault => self.fault(),
        }
        Ok(())
    }

    fn start(&mut self, index: usize) {
        if self.machines[index].vm.is_some() {
            return;
        }
        self.change_release(index);
        self.start_clock(index);
        let incarnation = self.now;
        let lease = self.new_lease(index, incarnation);
        let process = Process {
            vm: index,
            incarnation,
            earlier: self.machines[index].earlier,
        };
        self.machines[index].vm = Some(Vm::new(process, lease, self.checks));
        self.note(|| format!("{process} starts"));
        self.next_step(index, Step::Poll);
    }

    /// Some machines have a wrong time of day when a process starts.
    fn start_clock(&mut self, index: usize) {
        let error_ms = match self.rng.u8(..3) {
            0 => self.rng.i64(-MAX_ERROR_MS..=MAX_ERROR_MS),
            _ => 0,
        };
        let machine = &mut self.machines[index];
        machine.error_ms = error_ms;
        machine.error_until = self.now + COMPARISON_MS;
    }

    /// Replaces the release of some processes that start in a fleet of two releases. Such a fleet
    /// begins with the earlier one, so that the log holds records.
    fn change_release(&mut self, index: usize) {
        if self.mix.fleet == Fleet::Earlier && self.log.end() > 0 {
            self.machines[index].earlier = self.rng.bool();
        }
    }

    fn new_lease(&mut self, index: usize, incarnation: u64) -> Box<dyn LeaseView> {
        let now = self.local_time(index);
        let vm = format!("vm-{index}").parse().unwrap();
        let incarnation = Incarnation(incarnation);
        let jitter = Duration::from_millis(self.rng.u64(..CLAIM_JITTER_MS));
        let is_first = self.machines[index].generation == 0;
        let machine = &self.machines[index];
        if machine.earlier {
            let lease = EarlierLease::new(now, (vm, incarnation), TIMING, jitter);
            return Box::new(lease);
        }
        let member = DutyMember {
            vm,
            incarnation,
            jitter,
            first_start: is_first && self.is_new,
        };
        let lease = DutyLease::new(now, member, TIMING);
        Box::new(CurrentLease::new(lease, machine.other_format))
    }

    fn local_time(&self, index: usize) -> Instant {
        let ms = self.now + self.machines[index].clock_ms;
        Instant::from_nanos(ms * 1_000_000)
    }

    fn wall_time(&self, index: usize) -> u64 {
        let machine = &self.machines[index];
        let unix = self.now + machine.skew_ms - MAX_SKEW_MS;
        match self.now < machine.error_until {
            true => unix.saturating_add_signed(machine.error_ms),
            false => unix,
        }
    }

    /// Schedules a VM's next step.
    fn next_step(&mut self, index: usize, step: Step) {
        let mut delay = self.rng.u64(..3);
        if self.is_slow(index) {
            delay += self.rng.u64(..SLOW_STEP_MS);
        }
        self.step_after(index, delay, step);
    }

    fn step_after(&mut self, index: usize, delay: u64, step: Step) {
        let generation = self.machines[index].generation;
        self.schedule(self.now + delay, Event::Step(index, generation, step));
    }

    fn is_slow(&self, index: usize) -> bool {
        self.machines[index].slow_until > self.now
    }

    fn is_stale(&self, index: usize, generation: u64) -> bool {
        let machine = &self.machines[index];
        machine.vm.is_none() || machine.generation != generation
    }

    fn step(&mut self, index: usize, generation: u64, step: Step) {
        if self.is_stale(index, generation) {
            return;
        }
        self.maybe_freeze(index, &step);
        if self.machines[index].frozen_until > self.now {
            return self.defer(index, generation, step);
        }
        if let Step::GiveUp(_, number) = step
            && !self.path.reset(self.now, number)
        {
            return;
        }
        let now = self.local_time(index);
        let unix = self.wall_time(index);
        let machine = &mut self.machines[index];
        let Some(vm) = &mut machine.vm else {
            return;
        };
        let action = vm.run(step, now, unix, &mut self.rng);
        self.perform(index, action);
    }

    /// May freeze a VM before a step, most often between a read and the append that follows it.
    fn maybe_freeze(&mut self, index: usize, step: &Step) {
        let is_injecting = self.now < self.faults_until;
        let rate = match step {
            Step::StartAppend(_) => self.mix.step_freezes * 8,
            _ => self.mix.step_freezes,
        };
        if is_injecting && self.rng.u32(..1_000) < rate {
            self.freeze(index);
        }
    }

    fn freeze(&mut self, index: usize) {
        let span = match self.rng.bool() {
            true => LEASE_FREEZE_MS,
            false => FREEZE_MS,
        };
        let until = self.now + self.rng.u64(span);
        let machine = &mut self.machines[index];
        if machine.frozen_until > self.now {
            machine.thaws.pop();
        }
        machine.frozen_until = machine.frozen_until.max(until);
        machine.thaws.push(machine.frozen_until);
        let until = machine.frozen_until - START_MS;
        self.note(|| format!("vm-{index} freezes until {until}"));
    }

    /// Runs a step once its VM thaws; the timeout of an answer may be noticed first.
    fn defer(&mut self, index: usize, generation: u64, step: Step) {
        let step = match step {
            Step::ReadDone(_) if self.rng.bool() => Step::ReadDone(None),
            Step::AppendDone(append, _) if self.rng.bool() => Step::AppendDone(append, None),
            Step::CallDone(call, _) if self.rng.bool() => Step::CallDone(call, false),
            step => step,
        };
        let at = self.machines[index].frozen_until;
        self.schedule(at, Event::Step(index, generation, step));
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Next(step) => self.next_step(index, step),
            Action::Pause(pause) => self.step_after(index, pause, Step::Poll),
            Action::Read(from) => self.send_read(index, from),
            Action::Append(append) => self.send_append(index, append),
            Action::Connect(call, _) if self.path.blocks_connecting(self.now, index) => {
                self.step_after(index, CALL_LIMIT_MS, Step::CallDone(call, false));
            }
            Action::Connect(call, permission) => {
                let delay = self.rng.u64(..3) + self.rare(CALL_LIMIT_MS);
                let delay = match self.is_slow(index) {
                    true => delay + self.rng.u64(..SLOW_STEP_MS),
                    false => delay,
                };
                self.step_after(index, delay, Step::Connected(call, permission));
            }
            Action::Write(call) => {
                let delay = match self.is_slow(index) {
                    true => self.rng.u64(..SLOW_WRITE_MS),
                    false => 0,
                };
                self.step_after(index, delay, Step::WriteCall(call));
            }
            Action::Send(call, is_late) => match self.path.route(self.now, index, call) {
                Route::Direct => self.send_call(index, call),
                Route::Closed => self.step_after(index, 1, Step::CallDone(call, false)),
                Route::InParts(pause) => {
                    let pause = pause + self.slow_delay(index, SLOW_STEP_MS);
                    self.step_after(index, pause, Step::WriteRest(call));
                }
                Route::Held(number) if is_late => {
                    self.path.reset(self.now, number);
                    self.step_after(index, 0, Step::CallDone(call, false));
                }
                Route::Held(number) => self.wait_for_link(index, call, number),
            },
            Action::SendRest(call) => self.send_call(index, call),
        }
    }

    fn slow_delay(&mut self, index: usize, limit: u64) -> u64 {
        match self.is_slow(index) {
            true => self.rng.u64(..limit),
            false => 0,
        }
    }

    /// Handles a call behind a cut link: the sender gives it up, or the link heals first.
    fn wait_for_link(&mut self, index: usize, call: Call, number: u64) {
        self.note(|| format!("call of {} waits for the link", call.sender));
        let limit = EXCHANGE_LIMIT_MS + self.slow_delay(index, SLOW_STEP_MS);
        self.step_after(index, limit, Step::GiveUp(call, number));
        let generation = self.machines[index].generation;
        if let Some(at) = self.path.delivery(self.now, index, number) {
            self.schedule(at, Event::HeldCall(index, generation, number));
        }
    }

    fn receive_held(
        &mut self,
        index: usize,
        generation: u64,
        number: u64,
    ) -> Result<(), Violation> {
        if self.path.is_cut(self.now, index) {
            if let Some(at) = self.path.delivery(self.now, index, number) {
                self.schedule(at, Event::HeldCall(index, generation, number));
            }
            return Ok(());
        }
        match self.path.deliver(self.now, number) {
            Some(call) => self.receive(index, generation, call),
            None => Ok(()),
        }
    }

    /// Rarely up to `limit`, usually zero; always zero once the faults have ended.
    fn rare(&mut self, limit: u64) -> u64 {
        match self.now < self.faults_until && self.rng.u32(..20) == 0 {
            true => self.rng.u64(..limit),
            false => 0,
        }
    }

    /// Time after which a request to the log fails at the sender, if it doesn't reach it.
    fn log_failure(&mut self, index: usize, limit: u64) -> Option<u64> {
        let machine = &self.machines[index];
        if machine.cut_until > self.now || self.log_down_until > self.now {
            return Some(limit);
        }
        (machine.rejected_until > self.now).then_some(2)
    }

    /// Time that a request takes on its way to the log, or an answer on its way back.
    fn log_delay(&mut self) -> u64 {
        match self.log_slow_until > self.now {
            true => self.rng.u64(1..400),
            false => self.rng.u64(1..4),
        }
    }

    fn sent_delay(&mut self, index: usize) -> u64 {
        let delay = self.log_delay();
        match self.is_slow(index) {
            true => delay + self.rng.u64(..SLOW_STEP_MS),
            false => delay,
        }
    }

    fn send_read(&mut self, index: usize, from: u64) {
        if let Some(delay) = self.log_failure(index, READ_LIMIT_MS) {
            return self.step_after(index, delay, Step::ReadDone(None));
        }
        let generation = self.machines[index].generation;
        let at = self.now + self.sent_delay(index);
        self.schedule(at, Event::ReadAtLog(index, generation, from));
    }

    fn read(&mut self, index: usize, generation: u64, from: u64) {
        if self.is_stale(index, generation) {
            return;
        }
        let answer = self.log.read(from);
        let delay = self.log_delay();
        let is_lost = self.rare(2) > 0 || delay > READ_LIMIT_MS;
        if is_lost || self.log_down_until > self.now {
            return self.step_after(index, READ_LIMIT_MS, Step::ReadDone(None));
        }
        self.step_after(index, delay, Step::ReadDone(Some(answer)));
    }

    fn send_append(&mut self, index: usize, append: Append) {
        self.note(|| format!("vm-{index} sends an append at {}", append.at));
        if let Some(delay) = self.log_failure(index, APPEND_LIMIT_MS) {
            return self.step_after(index, delay, Step::AppendDone(append, None));
        }
        let generation = self.machines[index].generation;
        let sent = self.now + self.sent_delay(index);
        let roll = match self.now < self.faults_until {
            true => self.rng.u32(..100),
            false => 100,
        };
        let lost = self.mix.lost_requests;
        let unanswered = lost + self.mix.lost_answers;
        let late = match self.machines[index].earlier && !self.late_earlier {
            true => 0,
            false => unanswered + self.mix.late_appends,
        };
        if roll < unanswered || roll < late {
            let delay = self.rng.u64(5..APPEND_LIMIT_MS) + sent - self.now;
            self.step_after(index, delay, Step::AppendDone(append.clone(), None));
        }
        if roll < lost {
            return;
        }
        let is_late = roll >= unanswered && roll < late;
        let at = match is_late {
            true => sent + self.late_delay(),
            false => sent,
        };
        if is_late {
            self.stats.late_appends += 1;
            self.last_fault = self.last_fault.max(at);
        }
        let answered = roll >= unanswered && !is_late;
        self.schedule(at, Event::AppendAtLog(index, generation, append, answered));
    }

    /// How much later an append takes effect, in half of the cases within the first quarter.
    fn late_delay(&mut self) -> u64 {
        match self.rng.bool() {
            true => self.rng.u64(..LATE_APPEND_MS / 4),
            false => self.rng.u64(..LATE_APPEND_MS),
        }
    }

    fn append(&mut self, index: usize, generation: u64, append: Append, answered: bool) {
        let answer = self.log.append(self.now, append.at, append.bytes.clone());
        self.note(|| {
            let at = append.at;
            format!("log: append of vm-{index} at {at}: {answer:?}")
        });
        if answered && !self.is_stale(index, generation) {
            self.answer_append(index, append, answer);
        }
    }

    fn answer_append(&mut self, index: usize, append: Append, answer: AppendAnswer) {
        let delay = self.log_delay();
        let step = match self.log_down_until > self.now {
            true => Step::AppendDone(append, None),
            false => Step::AppendDone(append, Some(answer)),
        };
        self.step_after(index, delay, step);
    }

    fn send_call(&mut self, index: usize, call: Call) {
        let was_frozen = self.machines[index].thaws.last() == Some(&self.now);
        let limit = if was_frozen {
            THAWED_FLIGHT_MS
        } else {
            CALL_LIMIT_MS
        };
        let flight = self.rng.u64(1..4) + self.rare(limit - 4);
        let generation = self.machines[index].generation;
        self.schedule(
            self.now + flight,
            Event::CallArrives(index, generation, call),
        );
    }

    fn receive(&mut self, index: usize, generation: u64, call: Call) -> Result<(), Violation> {
        let now = self.now;
        let is_recent = |at: &u64| *at <= now && now <= at + THAW_SLACK_MS;
        let thawed = self.machines[index].thaws.iter().any(is_recent);
        let excused = thawed || self.path.healed_recently(now, index);
        self.note(|| {
            let Call {
                sender,
                token,
                figure,
            } = call;
            let note = if excused { " (excused)" } else { "" };
            format!("platform: {sender} acts with token {token}, {figure:?}{note}")
        });
        let before = self.platform.last_call.map(|(_, sender)| sender);
        self.senders = (Some(call.sender), before);
        self.platform.receive(self.now, call, excused)?;
        if !self.is_stale(index, generation) {
            let done = self.rare(2) == 0;
            let delay = self.rng.u64(1..4);
            let (in_time, delay) = self.path.slow_answer(now).unwrap_or((true, delay));
            self.step_after(index, delay, Step::CallDone(call, done && in_time));
        }
        Ok(())
    }

    fn holder(&self) -> Option<usize> {
        let is_holder = |index: &usize| {
            let vm = self.machines[*index].vm.as_ref();
            vm.is_some_and(|vm| vm.lease.permission(self.local_time(*index)).is_some())
        };
        (0..self.machines.len()).find(is_holder)
    }

    /// The holder in half of the cases, or any VM.
    fn pick_vm(&mut self) -> usize {
        let any = self.rng.usize(..self.machines.len());
        match self.rng.bool() {
            true => self.holder().unwrap_or(any),
            false => any,
        }
    }

    fn kill(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.vm = None;
        machine.generation += 1;
        machine.frozen_until = 0;
        machine.thaws.retain(|at| *at <= self.now);
        self.note(|| format!("vm-{index} is killed"));
    }

    fn restart(&mut self, index: usize) {
        self.kill(index);
        let at = self.now + self.rng.u64(1..4_000);
        self.last_fault = self.last_fault.max(at);
        self.schedule(at, Event::Start(index));
    }

    fn fault(&mut self) {
        if self.now >= self.faults_until {
            return;
        }
        if let Some(fault) = self.mix.pick(&mut self.rng) {
            self.stats.faults += 1;
            self.inject(fault);
        }
        let holder = self.holder();
        if let Some(line) = holder.and_then(|i| self.path.inject(self.now, i)) {
            self.note(|| line);
        }
        let pause = self.rng.u64(1..=self.mix.pause_ms.max(1));
        self.schedule(self.now + pause, Event::Fault);
    }

    fn inject(&mut self, fault: Fault) {
        let index = self.pick_vm();
        let until = self.now + self.rng.u64(300..10_000);
        self.note(|| format!("{fault:?}, vm-{index}, until {}", until - START_MS));
        match fault {
            Fault::Freeze => self.freeze(index),
            Fault::Slow => self.machines[index].slow_until = until,
            Fault::Restart => self.restart(index),
            Fault::PowerOff => (0..self.machines.len()).for_each(|i| self.restart(i)),
            Fault::Reject => self.machines[index].rejected_until = until,
            Fault::CutOff => self.machines[index].cut_until = until,
            Fault::Outage => self.log_down_until = until,
            Fault::SlowLog => self.log_slow_until = until,
            Fault::Expire => {
                let keep = self.rng.u64(1..5_000);
                self.log.expire(self.now, keep);
            }
            Fault::Compact => self.log.expire(self.now, 0),
            Fault::Restore => self.restore(),
            Fault::Unreadable => self.append_unreadable(),
        }
    }

    /// Restores an older copy of the log, which may be away for a moment.
    fn restore(&mut self) {
        let lost = self.rng.u64(..10_000);
        let away = self.rng.u64(..2_000) * self.rng.u64(..2);
        self.log.restore(self.now, lost);
        self.log_down_until = self.log_down_until.max(self.now + away);
        let (era, end) = (self.log.era, self.log.end());
        self.note(|| format!("log: era {era} begins, {lost} ms are lost, the end is {end}"));
    }

    fn append_unreadable(&mut self) {
        let end = self.log.end();
        self.log.append(self.now, end, vec![0xc1]);
    }
}
