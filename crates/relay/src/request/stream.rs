//! Requests that are answered by events, passed on as they come.

use {
    super::{
        attempt::{Answering, attempt},
        job::Job,
        plain::{may_go_on, retry_after_miss},
        reply::{Reply, finish},
        slot::Slot,
    },
    crate::{process::Node, version::Kind},
    clock::{Stamp, within},
    futures_lite::FutureExt,
    h1::{Conn, Event, EventSplitter, ResponseHead},
    route::PlacementOutcome,
    std::{future::Future, sync::Arc, time::Duration},
    types::{EndpointId, Reason, Refusal, Verdict},
};

/// Time that a caller may take to receive what was sent to it.
const WRITE_LIMIT: Duration = Duration::from_secs(4);
/// Gap between events, in pauses that are still on time, after which a stream that can go on
/// elsewhere does: callers leave after eight such pauses or two seconds.
const GAP_PAUSES: u32 = 4;
/// Shortest gap after which a stream goes on elsewhere: a burst of long prompts takes about as long.
const SHORTEST_GAP: Duration = Duration::from_millis(1_200);
/// Time between two looks whether an endpoint that has not answered yet shows any sign of life.
const SILENCE_LOOK: Duration = Duration::from_millis(400);

/// How a stream ended.
pub(crate) enum StreamEnd {
    /// Whole; the connection can be kept.
    Whole,
    /// The caller left.
    Gone,
    /// Nothing was sent yet: this is the answer.
    Reply(Reply),
    /// It broke after its head was sent; the connection has to be closed.
    Broken(Refusal),
}

/// The caller's side of a stream.
struct Output<'a> {
    conn: &'a mut Conn,
    node: &'a Arc<Node>,
    ends: Stamp,
    closes: bool,
    started: bool,
    last: Option<u64>,
}

enum Watched<T> {
    Done(T),
    Gone,
    TimedOut,
}

/// How one endpoint's part of a stream ended.
enum Part {
    Whole,
    Gone,
    TimedOut,
    Broken(&'static str, PlacementOutcome),
}

/// Finds an endpoint for the request and passes its events on.
pub(crate) async fn run_stream(
    node: &Arc<Node>,
    job: &Job,
    conn: &mut Conn,
    closes: bool,
) -> StreamEnd {
    let mut out = Output {
        conn,
        node,
        ends: job.ends,
        closes,
        started: false,
        last: job.caller.last_event,
    };
    let mut avoid: Vec<EndpointId> = Vec::new();
    loop {
        let slot = match node.place(job, &avoid) {
            Ok(slot) => slot,
            Err(refusal) => return out.fail(refusal),
        };
        if job.sends() > 0 && !node.take_repeat(job) {
            return out.fail(job.unplaced("retry budget is spent"));
        }
        avoid.push(slot.endpoint().clone());
        let last = out.last;
        let may_move = job.route.kind == Kind::Resumable && may_go_on_after_send(job);
        let sending = async {
            let work = async { Some(attempt(node, job, &slot, last).await) };
            if !may_move {
                return work.await;
            }
            work.or(silence(node, job, &slot)).await
        };
        match out.watch(sending).await {
            Watched::Gone => return StreamEnd::Gone,
            Watched::TimedOut => return out.fail(job.timed_out()),
            Watched::Done(None) => {
                job.sent(Verdict::MayHaveRun, Some("no answer from the endpoint"));
                slot.end(PlacementOutcome::Unreachable);
                if !may_go_on(job, Verdict::MayHaveRun) {
                    return out.fail(job.unplaced("no answer from the endpoint"));
                }
            }
            Watched::Done(Some(Err(miss))) => {
                slot.end(miss.ended);
                if !retry_after_miss(job, &miss, avoid.len()) {
                    return out.fail(node.refusal_after(job, miss.cause));
                }
            }
            Watched::Done(Some(Ok(answering))) => {
                if !(200..300).contains(&answering.head.status) {
                    return out.pass_on(job, slot, answering).await;
                }
                match out.events(job, slot, answering).await {
                    Part::Whole => return out.end().await,
                    Part::Gone => return StreamEnd::Gone,
                    Part::TimedOut => return out.fail(job.timed_out()),
                    Part::Broken(cause, _) if !may_go_on(job, Verdict::MayHaveRun) => {
                        return out.fail(job.unplaced(cause));
                    }
                    Part::Broken(..) => {}
                }
            }
        }
    }
}

/// Resolves when the endpoint of a request shows no sign of life. A long wait alone is no reason to
/// leave: the request would queue again elsewhere.
async fn silence<T>(node: &Node, job: &Job, slot: &Slot) -> Option<T> {
    loop {
        node.clock.sleep(SILENCE_LOOK).await;
        if node.is_silent(&job.service, slot.endpoint()) {
            return None;
        }
    }
}

fn may_go_on_after_send(job: &Job) -> bool {
    job.sends() + 1 < job.route.attempts
}

fn gap_limit(job: &Job) -> Duration {
    let pause = job.route.pause.unwrap_or_default();
    (pause * GAP_PAUSES).max(SHORTEST_GAP)
}

impl Output<'_> {
    /// Runs `work` unless the caller leaves or the time is over.
    async fn watch<T>(&mut self, work: impl Future<Output = T>) -> Watched<T> {
        let left = self.ends.since(self.node.clock.now());
        let done = async { Watched::Done(work.await) };
        let gone = async {
            self.conn.wait_closed().await;
            Watched::Gone
        };
        let watched = within(&*self.node.clock, left, done.or(gone)).await;
        watched.unwrap_or(Watched::TimedOut)
    }

    fn fail(&self, refusal: Refusal) -> StreamEnd {
        if self.started {
            return StreamEnd::Broken(refusal);
        }
        StreamEnd::Reply(Reply::refused(refusal))
    }

    /// Passes on an answer that is no stream.
    async fn pass_on(&mut self, job: &Job, slot: Slot, answering: Answering) -> StreamEnd {
        let node = self.node.clone();
        let read = self.watch(answering.finish(&node, &slot)).await;
        match read {
            Watched::Gone => StreamEnd::Gone,
            Watched::TimedOut => self.fail(job.timed_out()),
            Watched::Done(Err(_)) => {
                job.sent(Verdict::MayHaveRun, Some("answer cut short"));
                slot.end(PlacementOutcome::Failed);
                self.fail(job.unplaced("answer cut short"))
            }
            Watched::Done(Ok((head, body))) => {
                job.sent(Verdict::Ran, None);
                slot.end(PlacementOutcome::Failed);
                if self.started {
                    let failed = Refusal::after(
                        Verdict::Ran,
                        Reason::EndpointFailed,
                        "stream could not go on",
                    );
                    return StreamEnd::Broken(failed);
                }
                StreamEnd::Reply(Reply::passed_on(head, body))
            }
        }
    }

    /// Passes the events of one endpoint on.
    async fn events(&mut self, job: &Job, mut slot: Slot, mut answering: Answering) -> Part {
        let mut splitter = EventSplitter::default();
        let mut bytes = Vec::new();
        let mut heard = false;
        let part = loop {
            bytes.clear();
            let node = self.node.clone();
            let may_move = may_go_on_after_send(job) && job.route.kind == Kind::Resumable;
            let reading = async {
                let next = answering.reader.next(&mut answering.conn, &mut bytes);
                let next = async { Some(next.await) };
                match (may_move, heard) {
                    (false, _) => next.await,
                    (true, false) => next.or(silence(&node, job, &slot)).await,
                    (true, true) => {
                        let timed = within(&*node.clock, gap_limit(job), next).await;
                        timed.ok().flatten()
                    }
                }
            };
            match self.watch(reading).await {
                Watched::Gone => break Part::Gone,
                Watched::TimedOut => break Part::TimedOut,
                Watched::Done(None) => {
                    break Part::Broken("stream went silent", PlacementOutcome::Unreachable);
                }
                Watched::Done(Some(Err(_))) => {
                    break Part::Broken("stream cut", PlacementOutcome::Failed);
                }
                Watched::Done(Some(Ok(false))) if splitter.is_empty() && heard => {
                    break Part::Whole;
                }
                Watched::Done(Some(Ok(false))) => {
                    break Part::Broken("stream cut", PlacementOutcome::Failed);
                }
                Watched::Done(Some(Ok(true))) => {}
            }
            let Ok(events) = splitter.push(&bytes) else {
                break Part::Broken("event over the size limit", PlacementOutcome::Failed);
            };
            if events.is_empty() {
                continue;
            }
            if heard {
                slot.progress();
            } else {
                heard = true;
                slot.first();
                self.node.count_begun(job);
                let mut progress = job.progress.lock();
                progress
                    .first
                    .get_or_insert(self.node.clock.now().since(job.arrived));
            }
            match self.write(job, &answering.head, events).await {
                Ok(()) => {}
                Err(part) => break part,
            }
        };
        let verdict = match part {
            Part::Whole => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        };
        match &part {
            Part::Whole => {
                job.sent(verdict, None);
                answering.keep(self.node, &slot);
                slot.end(PlacementOutcome::Completed);
            }
            Part::Broken(cause, ended) => {
                // The endpoint stops its run when its connection closes, before the next one starts.
                drop(answering);
                job.sent(verdict, Some(cause));
                slot.end(*ended);
            }
            Part::Gone | Part::TimedOut => {}
        }
        part
    }

    /// Writes events that the caller does not have yet.
    async fn write(
        &mut self,
        job: &Job,
        head: &ResponseHead,
        events: Vec<Event>,
    ) -> Result<(), Part> {
        let mut out = Vec::new();
        let mut body = Vec::new();
        let mut count = 0;
        for event in events {
            let id = event.id();
            let old = id.zip(self.last).is_some_and(|(id, last)| id <= last);
            if old {
                continue;
            }
            let gap = id.zip(self.last).is_some_and(|(id, last)| id != last + 1);
            if gap {
                return Err(Part::Broken("event missing", PlacementOutcome::Failed));
            }
            self.last = id.or(self.last);
            body.extend_from_slice(&event.raw);
            count += 1;
        }
        if body.is_empty() {
            return Ok(());
        }
        if !self.started {
            self.started = true;
            let mut head = head.clone();
            head.headers.strip_hop_by_hop();
            head.headers.push("Transfer-Encoding", "chunked");
            finish(&mut head.headers, self.closes);
            head.write(&mut out);
        }
        out.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
        out.extend_from_slice(&body);
        out.extend_from_slice(b"\r\n");
        job.progress.lock().events += count;
        let written = within(&*self.node.clock, WRITE_LIMIT, self.conn.write_all(&out)).await;
        match written {
            Ok(Ok(())) => Ok(()),
            _ => Err(Part::Gone),
        }
    }

    async fn end(&mut self) -> StreamEnd {
        let written = within(
            &*self.node.clock,
            WRITE_LIMIT,
            self.conn.write_all(b"0\r\n\r\n"),
        )
        .await;
        match written {
            Ok(Ok(())) => StreamEnd::Whole,
            _ => StreamEnd::Gone,
        }
    }
}
