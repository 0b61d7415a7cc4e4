//! What a scenario file says.

use {
    compact_str::CompactString,
    load::RequestKind,
    standin::{engine, service},
    std::time::Duration,
    types::{ClassId, OrgId, ZoneId},
};

/// VMs or endpoints: all, those of an availability zone, or one of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Place {
    All,
    Zone(ZoneId),
    One(ZoneId, usize),
}

impl Place {
    /// Whether the `index`th of `zone`, from 1, is meant.
    pub(crate) fn holds(&self, zone: &ZoneId, index: usize) -> bool {
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
    /// Engines that the platform can start on order.
    pub(crate) stock: usize,
}

/// A named flow of requests.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct FlowSpec {
    pub(crate) name: CompactString,
    pub(crate) work: RequestKind,
    pub(crate) org: OrgId,
    pub(crate) class: ClassId,
    /// Arrivals a second.
    pub(crate) rate: f64,
}

/// What is done to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Act {
    Stop,
    Kill,
    Pause,
    Continue,
    Start,
}

/// Which process of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Entry,
    Steward,
}

/// Which connections a link carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Line {
    Engine,
    Service,
    Mesh,
    Callers,
    Platform,
}

/// A fault of links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LinkFault {
    Set(crate::LinkFaults),
    Reset,
}

/// A fault of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PlatformFault {
    Down,
    Up,
    Slow(Duration),
    LoseAnswers(u32),
}

/// What must hold.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Check {
    /// Every answer was whole and the request's own; nothing was refused.
    Whole,
    /// No caller got an answer that is not its own or not whole, unless it was told so.
    Own,
    /// What was refused as not run is in no record.
    RefusalsTrue,
    /// No POST was executed twice.
    Once,
    /// No endpoint received a caller's key.
    KeysHidden,
    /// Every execution ran for the organisation whose key came with the request.
    OrgsRight,
    /// Every request of a flow was refused for a reason.
    Refused(CompactString, CompactString),
    /// A share of a flow, in percent, was answered whole.
    Served(CompactString, u32),
    /// The median time to the first token of one flow is below half that of another.
    Sooner(CompactString, CompactString),
    /// Some request of a flow was cut or refused.
    Hurt(CompactString),
    /// Nothing new ran at endpoints since a mark.
    Idle(Line, Place, CompactString),
    /// Nothing was made for an organisation since a mark.
    Silent(OrgId, CompactString),
    /// Something ran for an organisation since a mark.
    Busy(OrgId, CompactString),
    /// Every running entry has the configuration that the log folds to.
    Config,
    /// No ready entry went back to an earlier configuration.
    Forward,
    /// At least one order came, and an availability zone's orders came from one holder after another.
    OrdersFenced,
    /// At most so many engines were started in an availability zone.
    Started(ZoneId, usize),
    /// The last race let exactly one operator through.
    OneWinner,
}

/// One step of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Step {
    Load(Vec<CompactString>, Duration),
    Finish,
    Sleep(Duration),
    Process(Act, Role, Place),
    Platform(PlatformFault),
    Engine(Place, engine::EngineCommand),
    Service(Place, service::ServiceCommand),
    Link(Line, Place, LinkFault),
    Leave(Place),
    Remove(Place),
    Withdraw(OrgId),
    Weight(OrgId, u32),
    Race(OrgId, u32),
    /// Publishes bounds for the engines of an availability zone.
    Pool(ZoneId, u32, u32),
    Settle,
    Mark(CompactString),
    Check(Check),
}

/// A step and its line.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Placed {
    pub(crate) line: usize,
    pub(crate) step: Step,
}

/// A whole scenario.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Scenario {
    pub(crate) title: String,
    pub(crate) seed: u64,
    pub(crate) zones: Vec<ZoneSpec>,
    pub(crate) engines: Vec<String>,
    /// Further lines of the stewards' settings.
    pub(crate) stewards: String,
    pub(crate) flows: Vec<FlowSpec>,
    pub(crate) steps: Vec<Placed>,
}

impl Scenario {
    /// What the scenario proves.
    pub fn title(&self) -> &str {
        &self.title
    }
}
