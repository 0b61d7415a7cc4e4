//! Messages between a request's entry and the entry that schedules its model.
//!
//! Every message is safe to receive late or more than once: it carries its ticket, and a ticket is
//! valid for one incarnation of one process only.

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

/// Number that the asking entry gives a request.
pub type TicketNo = u64;

/// Asks the scheduler for an endpoint slot for one request.
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
    /// Class of the request.
    pub class: ClassId,
    /// Service tier.
    pub tier: Tier,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time until the first token is due; zero when it is overdue.
    pub remaining: Duration,
    /// Length of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: Tokens,
    /// Requirements on the endpoint.
    #[serde(rename = "need")]
    pub requirements: Requirements,
    /// Whether the request was already sent to an endpoint before.
    pub resumed: bool,
}

/// Describes a request that already runs at an endpoint, so that its scheduler can account for it.
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
    /// Class of the request.
    pub class: ClassId,
}

/// Progress of a running request since its last message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgressMsg {
    /// The request's number.
    pub ticket: TicketNo,
    /// Time to the first token, if it arrived since the last message.
    #[serde(rename = "first", default)]
    pub first_token: Option<Duration>,
    /// Tokens received.
    pub tokens: Tokens,
    /// Time over which they were received.
    pub span: Duration,
}

/// A message between an entry and the scheduler of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkMsg {
    /// Asks for a slot.
    Ask(AskMsg),
    /// Withdraws the ask of a ticket.
    Cancel(TicketNo),
    /// Grants a slot: the ticket, the endpoint and its address.
    Grant(TicketNo, EndpointId, SocketAddr),
    /// Refuses the ask of a ticket.
    Refuse(TicketNo, Refusal),
    /// The scheduler is stopping; the request must ask another scheduler.
    Moved(TicketNo),
    /// Reports progress of a running request.
    Progress(ProgressMsg),
    /// Reports how a running request ended.
    Done(TicketNo, RequestOutcome),
    /// Lists all requests of the sender that the receiver schedules, running or waiting. The receiver
    /// frees the slots of requests that are not listed.
    Held(Vec<TicketNo>),
    /// Lists requests that the sender has no record of. The receiver replies with `Adopt` for those that
    /// run, and sends those that wait again.
    Unknown(Vec<TicketNo>),
    /// Describes a running request that the receiver has no record of.
    Adopt(AdoptMsg),
}

/// An encoded [`LinkMsg`]. Messages are encoded one by one, so that a receiver can skip a message
/// that it cannot decode and still read the rest of the batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EncodedMsg(#[serde(with = "serde_bytes")] pub Vec<u8>);

/// Free slots of a model in an availability zone, as last reported by its scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Headroom {
    /// Availability zone.
    pub zone: ZoneId,
    /// Model or service.
    pub serves: ModelId,
    /// Free slots.
    pub free: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Time since the scheduler counted them.
    pub age: Duration,
}

/// A batch of messages from one VM to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkBatch {
    /// Sender.
    pub from: VmId,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Messages in sending order.
    pub msgs: Vec<EncodedMsg>,
}

/// Response to a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkResponse {
    /// Responding VM.
    pub from: VmId,
    /// Incarnation of the responding process.
    pub incarnation: Incarnation,
    /// Whether the responding VM is stopping.
    #[serde(default)]
    pub leaving: bool,
    /// Free slots of the models that the responding VM schedules.
    #[serde(default)]
    pub headroom: Vec<Headroom>,
    /// Text that says how many messages could not be decoded, for logs.
    #[serde(default)]
    pub skipped: Option<CompactString>,
}
