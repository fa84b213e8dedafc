//! Streams of a stand-in target: generations of items, and streams for callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use hyper::Request;
use hyper::body::Incoming;
use sardinepath_adapters::web::ResponseBody;
use sardinepath_adapters::web::streamed_body;
use sardinepath_adapters::web::whole_body;
use sardinepath_platform::names;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::body;
use crate::failing::failing_status;
use crate::refusal::misdirected;
use crate::target::TargetStandIn;
use crate::target::header;

/// Number of events in each generation.
pub const GENERATION_EVENTS: u64 = 12;

/// Returns the data of an event in the generation of a request. Events count from 1.
pub fn event_data(id: &str, event: u64) -> String {
    format!("{id}-{event}")
}

/// Streams the events of a stream for a caller, after the last one that the caller has. The data of
/// each event is the software version of the target.
pub(crate) async fn serve_stream(
    target: Arc<TargetStandIn>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    // The request body has no effect.
    let _ = body::json(body).await;
    if header(&head.headers, names::EXPECT_TARGET).is_some_and(|name| name != target.name) {
        return misdirected(&head.headers).map(whole_body);
    }
    let id = target.record_start(&head.headers);
    let last_event = last_event(&head.headers);
    let (interval, break_after) = {
        let state = target.lock();
        (state.event_interval, state.break_after)
    };
    let (sender, body) = streamed_body();
    let mut response = Response::new(body);
    let signed = [
        (names::REQUEST_ID, id.clone()),
        (names::DIGEST, format!("d.{id}")),
        ("content-type", "text/event-stream".to_owned()),
    ];
    for (name, value) in signed.into_iter().chain(target.statements()) {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    tokio::spawn(async move {
        for event in last_event + 1..=GENERATION_EVENTS {
            sleep(interval).await;
            if last_event == 0 && break_after.is_some_and(|last| event > last) {
                return sender.abort("the target breaks the stream").await;
            }
            let event = format!("id: {event}\ndata: {}\n\n", target.software);
            if sender.send(Bytes::from(event)).await.is_err() {
                return;
            }
        }
    });
    response
}

/// Reads one request and streams its events, starting after the last event that the caller has.
pub(crate) async fn serve_generation(target: Arc<TargetStandIn>, mut stream: TcpStream) {
    let Some(headers) = read_request(&mut stream).await else {
        return;
    };
    let (busy, event_interval, version) = {
        let state = target.lock();
        (state.busy, state.event_interval, state.version)
    };
    let id = header(&headers, names::REQUEST_ID).unwrap_or_default();
    let named = format!("{}: {id}\r\n", names::REQUEST_ID);
    if header(&headers, names::EXPECT_TARGET).is_some_and(|expected| expected != target.name) {
        let statements = statement_lines(&target);
        let refusal = format!(
            "HTTP/1.1 421 Misdirected Request\r\n{named}{statements}content-length: 0\r\n\r\n"
        );
        let _ = stream.write_all(refusal.as_bytes()).await;
        return;
    }
    if busy {
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{named}X-Not-Run: 1\r\ncontent-length: 0\r\n\r\n"
        );
        let _ = stream.write_all(refusal.as_bytes()).await;
        return;
    }
    let id = target.record_start(&headers);
    let last_event = last_event(&headers);
    let statements = statement_lines(&target);
    if let Some(status) = failing_status(&id) {
        *target.lock().log.failures.entry(id).or_default() += 1;
        let failure = format!("HTTP/1.1 {status}\r\n{named}{statements}content-length: 0\r\n\r\n");
        // The gateway may have dropped the request, so the failure need not arrive.
        let _ = stream.write_all(failure.as_bytes()).await;
        return;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: d.{id}\r\n{}: {version}\r\n{statements}\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        names::REQUEST_ID,
        names::DIGEST,
        names::WEIGHT_VERSION,
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    let first = last_event + 1;
    send_events(&target, stream, &id, first, version, event_interval).await;
}

/// Sends the events of a generation from the first one on, and closes the connection.
async fn send_events(
    target: &TargetStandIn,
    mut stream: TcpStream,
    id: &str,
    first: u64,
    version: u64,
    event_interval: Duration,
) {
    let mut sent_version = version;
    for event in first..=GENERATION_EVENTS {
        sleep(event_interval).await;
        let now = target.lock().version;
        let changed = match now != sent_version {
            true => format!("{}: {now}\n", names::WEIGHT_VERSION),
            false => String::new(),
        };
        sent_version = now;
        let event = format!("{changed}id: {event}\ndata: {}\n\n", event_data(id, event));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
    }
    // Each generation uses its own connection, so the connection closes with it.
    let _ = stream.write_all(b"0\r\n\r\n").await;
    let _ = stream.shutdown().await;
}

/// Returns the header lines in which an answer describes the target.
fn statement_lines(target: &TargetStandIn) -> String {
    let statements = target.statements().into_iter();
    statements
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect()
}

/// Reads a request up to the end of its body and returns its headers. Returns `None` if the
/// connection closes early or the head is malformed.
async fn read_request(stream: &mut TcpStream) -> Option<HeaderMap> {
    let mut buffer = Vec::new();
    let mut headers = HeaderMap::new();
    let end = loop {
        let read = stream.read_buf(&mut buffer).await.ok()?;
        if read == 0 {
            return None;
        }
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    for line in head.lines().skip(1) {
        let (name, value) = line.split_once(':')?;
        let name: http::HeaderName = name.trim().parse().ok()?;
        headers.append(name, value.trim().parse().ok()?);
    }
    let length: usize = header(&headers, "content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    while buffer.len() < end + 4 + length {
        if stream.read_buf(&mut buffer).await.ok()? == 0 {
            return None;
        }
    }
    Some(headers)
}

/// Returns the number of the last event that a caller has, or 0.
fn last_event(headers: &HeaderMap) -> u64 {
    let stated = header(headers, names::LAST_EVENT_ID).and_then(|n| n.parse().ok());
    stated.unwrap_or(0)
}
