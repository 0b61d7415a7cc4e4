//! Messages between a request's entry and the entry that schedules its model.
//!
//! Each message is safe to receive twice or late: it names its ticket, and a ticket belongs to one start
//! of one process.

use {
    compact_str::CompactString,
    route::{RequestOutcome, Requirements},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    types::{
        ClassId, EndpointId, Incarnation, ModelId, OrgId, Refusal, Tier, Tokens, VmId, ZoneId,
    },
};

/// Path of message batches.
pub const LINK_PATH: &str = "/mesh/link";

/// A request's number at the entry that asks.
pub type TicketNo = u64;

/// A request that asks for a slot of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AskMsg {
    /// The request's number.
    pub ticket: TicketNo,
    /// Model or service.
    pub serves: ModelId,
    /// Organisation that the request runs for.
    pub org: OrgId,
    /// The organisation's share relative to others.
    pub weight: u32,
    /// Class of work.
    pub class: ClassId,
    /// Service tier.
    pub tier: Tier,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time until the first token is due; zero when it is overdue.
    pub remaining: Duration,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// What the request needs of its endpoint.
    pub need: Requirements,
    /// Whether the request was dispatched before.
    pub resumed: bool,
}

/// A request that runs at an endpoint already.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdoptMsg {
    /// The request's number.
    pub ticket: TicketNo,
    /// Model or service.
    pub serves: ModelId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Organisation that the request runs for.
    pub org: OrgId,
    /// The organisation's share relative to others.
    pub weight: u32,
    /// Class of work.
    pub class: ClassId,
}

/// Tokens that a running request got since its last message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgressMsg {
    /// The request's number.
    pub ticket: TicketNo,
    /// Time to the first token, when it came since the last message.
    #[serde(default)]
    pub first: Option<Duration>,
    /// Tokens.
    pub tokens: Tokens,
    /// Time in which they came.
    pub span: Duration,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkMsg {
    /// Asks for a slot.
    Ask(AskMsg),
    /// Withdraws an ask.
    Cancel(TicketNo),
    /// Gives a slot: the request's number, the endpoint and where it listens.
    Grant(TicketNo, EndpointId, SocketAddr),
    /// Refuses an ask.
    Refuse(TicketNo, Refusal),
    /// The scheduler is leaving; the request is to ask elsewhere.
    Moved(TicketNo),
    /// Tokens of a running request.
    Progress(ProgressMsg),
    /// A running request ended.
    Done(TicketNo, RequestOutcome),
    /// All running requests of the sender that the receiver schedules. Others are no longer held.
    Held(Vec<TicketNo>),
    /// Running requests that the sender does not know; it asks for their particulars.
    Unknown(Vec<TicketNo>),
    /// Particulars of a running request.
    Adopt(AdoptMsg),
}

/// A message as it is carried, so that a receiver can skip one that it does not understand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EncodedMsg(#[serde(with = "serde_bytes")] pub Vec<u8>);

/// Free slots of a model in an availability zone, as its scheduler last told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Headroom {
    /// Availability zone.
    pub zone: ZoneId,
    /// Model or service.
    pub serves: ModelId,
    /// Slots that requests could take.
    pub free: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Age of the figures.
    pub age: Duration,
}

/// Messages from one VM to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkBatch {
    /// Sender.
    pub from: VmId,
    /// Start of the sender's process.
    pub incarnation: Incarnation,
    /// Messages in order.
    pub msgs: Vec<EncodedMsg>,
}

/// Answer to a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkAnswer {
    /// Answering VM.
    pub from: VmId,
    /// Start of the answering process.
    pub incarnation: Incarnation,
    /// Whether the answering VM is stopping.
    #[serde(default)]
    pub leaving: bool,
    /// Free slots of what the answering VM schedules.
    #[serde(default)]
    pub headroom: Vec<Headroom>,
    /// Note of what could not be understood, for logs.
    #[serde(default)]
    pub skipped: Option<CompactString>,
}
