//! A caller's connection: one request after the other.

use {
    crate::{
        process::{Connected, Node},
        request::{Job, Reply, StreamEnd, run_plain, run_stream, take},
    },
    clock::{Stamp, within},
    futures_lite::FutureExt,
    h1::{BodyError, BodyReader, Conn, Framing, HeadError, RequestHead, request_framing},
    std::{sync::Arc, time::Duration},
    types::{Reason, Refusal, Verdict},
};

/// Time to send a whole answer.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Time for a body to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Time that a connection is still read after a refusal of what is coming, so that the caller gets the
/// answer before a reset.
const LINGER: Duration = Duration::from_millis(500);

/// What happens to the connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum After {
    Keep,
    Close,
}

/// Serves one connection to its end.
pub(crate) async fn session(node: Arc<Node>, mut conn: Conn, guard: Connected) {
    while turn(&node, &mut conn).await == After::Keep {}
    drop(guard);
}

async fn turn(node: &Arc<Node>, conn: &mut Conn) -> After {
    let limits = node.caller_limits();
    if conn.data().is_empty() {
        let readable = async { matches!(conn.fill().await, Ok(size) if size > 0) };
        let closing = async {
            node.life.idle_closes().await;
            false
        };
        let first = within(&*node.clock, limits.idle, readable.or(closing)).await;
        if first != Ok(true) {
            return After::Close;
        }
    }
    let read = within(
        &*node.clock,
        limits.head_time,
        conn.request_head(limits.head),
    )
    .await;
    let head = match read {
        Ok(Ok(Ok(Some(head)))) => head,
        Ok(Ok(Ok(None)) | Err(_)) => return After::Close,
        Ok(Ok(Err(HeadError::TooLarge))) => {
            return refuse_unread(node, conn, 431, "head over the size limit").await;
        }
        Ok(Ok(Err(HeadError::Malformed))) => {
            return refuse_unread(node, conn, 400, "malformed head").await;
        }
        Err(_) => return refuse_unread(node, conn, 408, "head took too long").await,
    };
    let arrived = node.clock.now();
    let _open = node.life.request();
    let body = match read_body(node, conn, &head).await {
        Ok(body) => body,
        Err(Some((status, text))) => return refuse_unread(node, conn, status, text).await,
        Err(None) => return After::Close,
    };
    serve(node, conn, (head, body), arrived).await
}

/// Reads a request's body; an error is a status to answer with, or nothing for a lost connection.
async fn read_body(
    node: &Arc<Node>,
    conn: &mut Conn,
    head: &RequestHead,
) -> Result<Vec<u8>, Option<(u16, &'static str)>> {
    let limit = node.caller_limits().body;
    let framing = request_framing(head).map_err(|e| {
        log::debug!(error:% = e; "request refused");
        Some((400, "ambiguous or malformed body length"))
    })?;
    if let Framing::Length(size) = framing
        && size > limit.0
    {
        return Err(Some((413, "body over the size limit")));
    }
    if head.headers.has_token("expect", "100-continue") {
        let go_on = conn.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        go_on.map_err(|_| None)?;
    }
    let mut reader = BodyReader::new(framing);
    match within(&*node.clock, BODY_TIME, reader.read_all(conn, limit)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::Io(_))) => Err(None),
        Ok(Err(BodyError::Malformed)) => Err(Some((400, "malformed chunk"))),
        Ok(Err(BodyError::TooLarge)) => Err(Some((413, "body over the size limit"))),
        Err(_) => Err(Some((408, "body took too long"))),
    }
}

/// Refuses what is not read to its end, and closes.
async fn refuse_unread(
    node: &Arc<Node>,
    conn: &mut Conn,
    status: u16,
    text: &'static str,
) -> After {
    log::info!(status = status, cause = text; "request refused unread");
    let mut reply = Reply::refused(Refusal::not_run(Reason::BadRequest, text));
    reply.head.status = status;
    let bytes = reply.bytes(true, false);
    if !matches!(
        within(&*node.clock, WRITE_LIMIT, conn.write_all(&bytes)).await,
        Ok(Ok(()))
    ) {
        return After::Close;
    }
    let drain = async {
        while matches!(conn.fill().await, Ok(size) if size > 0) {
            let size = conn.data().len();
            conn.consume(size);
        }
    };
    let drained = within(&*node.clock, LINGER, drain).await;
    if drained.is_err() {
        log::debug!(status = status; "caller still sends after a refusal");
    }
    After::Close
}

async fn serve(
    node: &Arc<Node>,
    conn: &mut Conn,
    (head, body): (RequestHead, Vec<u8>),
    arrived: Stamp,
) -> After {
    let is_head = head.method == "HEAD";
    let keeps = head.keeps_alive() && !node.life.is_stopping();
    let job = match take(node, head, body, arrived) {
        Ok(job) => job,
        Err(refusal) => {
            node.log_refused(&refusal);
            let reply = Reply::refused(refusal);
            return send(node, conn, &reply, (keeps, is_head)).await;
        }
    };
    node.earn(&job);
    if job.route.kind.is_stream() {
        return serve_stream(node, conn, &job, keeps).await;
    }
    let Some(reply) = answer(node, conn, &job).await else {
        node.log_gone(&job);
        return After::Close;
    };
    node.log_answered(&job, &reply);
    send(node, conn, &reply, (keeps, is_head)).await
}

/// The answer to a request; nothing when the caller left.
async fn answer(node: &Arc<Node>, conn: &mut Conn, job: &Job) -> Option<Reply> {
    let left = job.ends.since(node.clock.now());
    let work = async { Some(run_plain(node, job).await) };
    let gone = async {
        conn.wait_closed().await;
        None
    };
    let done = within(&*node.clock, left, work.or(gone)).await;
    if job.verdict() == Verdict::MayHaveRun {
        node.count_begun(job);
    }
    done.unwrap_or_else(|_| Some(Reply::refused(job.timed_out())))
}

async fn serve_stream(node: &Arc<Node>, conn: &mut Conn, job: &Job, keeps: bool) -> After {
    match run_stream(node, job, conn, !keeps).await {
        StreamEnd::Whole => {
            node.log_streamed(job, "whole");
            if keeps { After::Keep } else { After::Close }
        }
        StreamEnd::Gone => {
            node.log_gone(job);
            After::Close
        }
        StreamEnd::Broken(refusal) => {
            node.log_broken(job, &refusal);
            After::Close
        }
        StreamEnd::Reply(reply) => {
            node.log_answered(job, &reply);
            send(node, conn, &reply, (keeps, false)).await
        }
    }
}

async fn send(
    node: &Arc<Node>,
    conn: &mut Conn,
    reply: &Reply,
    (keeps, is_head): (bool, bool),
) -> After {
    let bytes = reply.bytes(!keeps, is_head);
    let written = within(&*node.clock, WRITE_LIMIT, conn.write_all(&bytes)).await;
    match written {
        Ok(Ok(())) if keeps => After::Keep,
        _ => After::Close,
    }
}
