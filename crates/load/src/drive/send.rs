//! Sends one request and verifies its response, token by token.

use {
    super::{Outcome, Sample},
    crate::plan::{Arrival, Flow, LoadPlan, RequestKind},
    clock::{Instant, SharedClock},
    compact_str::CompactString,
    http_types::Method,
    serde::Deserialize,
    serde_json::json,
    standin::engine::token_text,
    std::{net::SocketAddr, time::Duration},
    types::{Bytes, RequestId},
    wire::{
        Call, CallTimeouts, Client, Event, EventSplitter, Reply, SendErrorKind, VERDICT_HEADER,
    },
};

const TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_secs(2),
    head: Duration::from_secs(120),
    body_idle: Duration::from_secs(60),
};
/// Header with the request id. Entries replace it; an endpoint that is called directly needs it.
const ID_HEADER: &str = "x-request-id";
const MAX_BODY: Bytes = Bytes(16 * 1024 * 1024);

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: CompactString,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Sends the request of one arrival and verifies the response. Latencies count from `due`, its
/// planned time.
pub(super) async fn send(
    client: &Client,
    clock: &SharedClock,
    plan: &LoadPlan,
    arrival: &Arrival,
    entries: &[SocketAddr],
    due: Instant,
) -> Sample {
    let flow = &plan.flows[arrival.flow];
    let mut sample = Sample {
        flow: arrival.flow,
        serial: arrival.serial,
        id: None,
        outcome: Outcome::NoResponse,
        first_token: None,
        inter_token: None,
        total: Duration::ZERO,
        tokens: 0,
    };
    if let Some(mut reply) = send_to_first(client, flow, arrival, entries).await {
        sample.id = reply.header(ID_HEADER).and_then(|v| v.parse().ok());
        let mut reader = ResponseReader {
            clock,
            due,
            sample: &mut sample,
        };
        let outcome = match (reply.status(), &flow.work) {
            (200..=299, RequestKind::Chat { .. }) => {
                reader.read_stream(&mut reply, arrival.tokens).await
            }
            (200..=299, RequestKind::Get { .. } | RequestKind::Post { .. }) => {
                reader.read_plain(&mut reply, arrival.serial).await
            }
            _ => read_refusal(&mut reply).await,
        };
        sample.outcome = outcome;
    }
    sample.total = clock.now().since(due);
    sample
}

/// Sends the request to the first entry that accepts the connection.
async fn send_to_first(
    client: &Client,
    flow: &Flow,
    arrival: &Arrival,
    entries: &[SocketAddr],
) -> Option<Reply> {
    for entry in entries {
        match client.send(build_call(flow, arrival, *entry)).await {
            Ok(reply) => return Some(reply),
            Err(e) if e.kind == SendErrorKind::Connect => {}
            Err(_) => return None,
        }
    }
    None
}

fn build_call(flow: &Flow, arrival: &Arrival, entry: SocketAddr) -> Call {
    let serial = format!("{:016x}", arrival.serial);
    let mut call = match &flow.work {
        RequestKind::Chat { model, prompt, .. } => {
            let prefix_text = format!("shared start {} ", arrival.prefix).repeat(32);
            let mut text: String = prefix_text.chars().take((*prompt).max(64)).collect();
            text.push_str(&format!(" case {serial} len={}", arrival.tokens));
            let message = json!({ "role": "user", "content": text });
            let body = json!({ "model": model, "stream": true, "messages": [message] });
            Call::new(entry, Method::Post, "/v1/chat/completions")
                .body(body.to_string().into_bytes())
        }
        RequestKind::Get { path } => Call::new(entry, Method::Get, path),
        RequestKind::Post { path, keyed } => {
            let mut call = Call::new(entry, Method::Post, path).body(serial.clone().into_bytes());
            if *keyed {
                call.request.insert_header("idempotency-key", serial);
            }
            call
        }
    };
    call.request
        .insert_header("authorization", format!("Bearer {}", flow.key));
    let id = RequestId::from_bits(u128::from(arrival.serial));
    call.request.insert_header(ID_HEADER, id.to_string());
    call.request
        .insert_header("x-celerystage-class", flow.class.as_str());
    call.request
        .insert_header("content-type", "application/json");
    call.reuse = false;
    call.timeouts(TIMEOUTS)
}

async fn read_refusal(reply: &mut Reply) -> Outcome {
    let status = reply.status();
    let verdict = reply.header(VERDICT_HEADER).and_then(|v| v.parse().ok());
    let retry_after = reply.header("retry-after").is_some();
    let body: Option<ErrorBody> = reply.json(MAX_BODY).await.ok();
    let code = body.map(|b| b.error.code).unwrap_or_default();
    Outcome::Refused {
        status,
        verdict,
        code,
        retry_after,
    }
}

struct ResponseReader<'a> {
    clock: &'a SharedClock,
    due: Instant,
    sample: &'a mut Sample,
}

impl ResponseReader<'_> {
    async fn read_plain(&mut self, reply: &mut Reply, serial: u64) -> Outcome {
        let Ok(bytes) = reply.bytes(MAX_BODY).await else {
            return Outcome::Truncated;
        };
        self.sample.first_token = Some(self.clock.now().since(self.due));
        let text = String::from_utf8_lossy(&bytes);
        let own_response =
            text.contains(&format!("{serial:016x}")) || text.contains("\"echo\":\"\"");
        if own_response {
            Outcome::Complete
        } else {
            Outcome::Incorrect("response to another request".into())
        }
    }

    async fn read_stream(&mut self, reply: &mut Reply, expected: u64) -> Outcome {
        let Some(id) = self.sample.id else {
            return Outcome::Incorrect("response without a request id".into());
        };
        let mut splitter = EventSplitter::default();
        let mut first_token_at = None;
        let mut ended = false;
        loop {
            let bytes = match reply.next_chunk().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(_) => return Outcome::Truncated,
            };
            let Ok(events) = splitter.push(&bytes) else {
                return Outcome::Truncated;
            };
            for event in events {
                match self.verify_event(&event, id) {
                    Ok(end_of_stream) => ended |= end_of_stream,
                    Err(outcome) => return outcome,
                }
            }
            if first_token_at.is_none() && self.sample.tokens > 0 {
                let now = self.clock.now();
                first_token_at = Some(now);
                self.sample.first_token = Some(now.since(self.due));
            }
        }
        if let (Some(at), 2..) = (first_token_at, self.sample.tokens) {
            let intervals = u32::try_from(self.sample.tokens - 1).unwrap_or(u32::MAX);
            self.sample.inter_token = Some(self.clock.now().since(at) / intervals);
        }
        match (ended, self.sample.tokens == expected) {
            (true, true) => Outcome::Complete,
            (true, false) => {
                Outcome::Incorrect(format!("{} of {expected} tokens", self.sample.tokens).into())
            }
            (false, _) => Outcome::Incorrect("stream ended without [DONE]".into()),
        }
    }

    /// Verifies the tokens of one event. Returns whether it is `[DONE]`, which ends the stream.
    fn verify_event(&mut self, event: &Event, id: RequestId) -> Result<bool, Outcome> {
        if event.is_done() {
            return Ok(true);
        }
        if event.raw.starts_with(b"event: error") {
            return Err(Outcome::Truncated);
        }
        let incorrect = |what: &str| Err(Outcome::Incorrect(what.into()));
        let Some(data) = event.data() else {
            return Ok(false);
        };
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
            return incorrect("event is not a valid completion chunk");
        };
        for text in chunk.choices.into_iter().filter_map(|c| c.delta.content) {
            if text != token_text(id, self.sample.tokens) {
                return incorrect("token of another response, repeated or missing token");
            }
            self.sample.tokens += 1;
        }
        Ok(false)
    }
}
