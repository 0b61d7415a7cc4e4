//! Syntax tree of a scenario file.

use {
    compact_str::CompactString,
    load::RequestKind,
    standin::{engine, service},
    std::time::Duration,
    types::{ClassId, OrgId, ZoneId},
};

/// Selects VMs or endpoints: all, those of an availability zone, or one of a zone by its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Selector {
    All,
    Zone(ZoneId),
    One(ZoneId, usize),
}

impl Selector {
    /// Whether this selects number `index` of `zone`, counted from 1.
    pub(crate) fn selects(&self, zone: &ZoneId, index: usize) -> bool {
        match self {
            Self::All => true,
            Self::Zone(z) => z == zone,
            Self::One(z, i) => z == zone && *i == index,
        }
    }
}

/// An availability zone to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ZoneSpec {
    pub(crate) zone: ZoneId,
    pub(crate) vms: usize,
    pub(crate) engines: usize,
    pub(crate) cheap: usize,
    pub(crate) services: usize,
    /// Engines that the platform can start when they are ordered.
    pub(crate) stock: usize,
}

/// A named flow of requests.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct FlowSpec {
    pub(crate) name: CompactString,
    pub(crate) work: RequestKind,
    pub(crate) org: OrgId,
    pub(crate) class: ClassId,
    /// Arrivals per second.
    pub(crate) rate: f64,
}

/// An action on a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessAction {
    Stop,
    Kill,
    Pause,
    Continue,
    Start,
}

/// A process of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessRole {
    Entry,
    Steward,
}

/// The connections that a link carries: to engines, plain services, entries' mesh ports, entries'
/// caller ports, or the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LinkKind {
    Engine,
    Service,
    Mesh,
    Callers,
    Platform,
}

/// An action on links: replace their faults, or reset their connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LinkAction {
    Set(crate::LinkFaults),
    Reset,
}

/// An action on the platform: set or clear a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PlatformAction {
    Down,
    Up,
    Slow(Duration),
    LoseResponses(u32),
}

/// A condition that must hold.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Check {
    /// Every request got a complete response that is its own; none was refused.
    AnswersWhole,
    /// No caller got a response that isn't its own or that was cut short without an error.
    AnswersOwn,
    /// No endpoint executed a request that was refused as not run.
    RefusalsTrue,
    /// No POST was executed twice.
    Once,
    /// No endpoint received a caller's key.
    KeysHidden,
    /// Every request was executed for the organisation whose key it carried.
    OrgsRight,
    /// Every request of a flow was refused with a reason code.
    Refused(CompactString, CompactString),
    /// At least a percentage of a flow's requests got a complete response.
    Served(CompactString, u32),
    /// The median time to the first token of one flow is less than half that of another.
    Sooner(CompactString, CompactString),
    /// Some request of a flow was cut or refused.
    Hurt(CompactString),
    /// Endpoints have executed no request since a mark.
    Idle(LinkKind, Selector, CompactString),
    /// No request was executed and no token generated for an organisation since a mark.
    Silent(OrgId, CompactString),
    /// A request was executed or a token generated for an organisation since a mark.
    Busy(OrgId, CompactString),
    /// Every running entry has the configuration that results from the log.
    ConfigEverywhere,
    /// No ready entry went back to an earlier configuration.
    ConfigForward,
    /// At least one order was sent, and in each availability zone only by one lease holder at a
    /// time.
    OrdersFenced,
    /// At least one engine, and at most this many, were ordered in an availability zone.
    Started(ZoneId, usize),
    /// Of the last race's changes, every running entry accepted exactly one, and the same.
    OneWinner,
}

/// One step of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Step {
    Load(Vec<CompactString>, Duration),
    Finish,
    Sleep(Duration),
    Process(ProcessAction, ProcessRole, Selector),
    Platform(PlatformAction),
    Engine(Selector, engine::EngineCommand),
    Service(Selector, service::ServiceCommand),
    Link(LinkKind, Selector, LinkAction),
    Leave(Selector),
    Remove(Selector),
    Withdraw(OrgId),
    Weight(OrgId, u32),
    Race(OrgId, u32),
    /// Publishes bounds for the number of engines in an availability zone.
    Pool(ZoneId, u32, u32),
    Settle,
    Mark(CompactString),
    Check(Check),
}

/// A step and its line number.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct NumberedStep {
    pub(crate) line: usize,
    pub(crate) step: Step,
}

/// A parsed scenario.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Scenario {
    pub(crate) title: String,
    pub(crate) seed: u64,
    pub(crate) zones: Vec<ZoneSpec>,
    /// Further arguments of the engines.
    pub(crate) engine_args: Vec<String>,
    /// Further lines of the stewards' settings, as YAML.
    pub(crate) steward_settings: String,
    pub(crate) flows: Vec<FlowSpec>,
    pub(crate) steps: Vec<NumberedStep>,
}

impl Scenario {
    /// Title: the property that the scenario checks.
    pub fn title(&self) -> &str {
        &self.title
    }
}
