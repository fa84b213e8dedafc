//! Protocol between gateways for state, usage counts, results and submissions.
//!
//! It uses HTTP/1.1 with JSON bodies.
//!
//! - `GET /ping` takes the query fields `leaving`, a JSON list of `LeaveStatement`, and `paces`, which
//!   is 1 if the paces of targets are needed. It returns a `Pong`.
//! - `GET /counts/{window}` returns the counts of a usage window.
//! - `GET /results/{batch}` takes the query fields `after`, `wait` (milliseconds) and `workspace`.
//!   It returns a `ResultPage`, 404 if there is no such job, or 503 if the gateway cannot tell.
//! - `POST /submissions/{batch}` takes the query fields `host`, `path` and `workspace` and the
//!   submission as its body. It returns 202 if the job was accepted, 503 if nothing of it will run,
//!   and 502 if it may have been accepted.
//! - `GET /ended/{batch}` takes the query field `revision`, that of the head that ended the job.
//! - `POST /permits` takes a `PermitRequest` and returns a `PermitGrant`.

mod permits;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use hyper::Request;
use hyper::Response;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;
use sardinepath_core::decision::gateway::message::PingRequest;
use sardinepath_core::decision::gateway::message::Pong;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::decision::tally::Counts;
use sardinepath_core::domain::batch::Outcome;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::leave::LeaveStatement;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::WorkspaceName;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use crate::peer::permits::permits;
pub use crate::peer::permits::read_permit_request;
use crate::web::Body;
use crate::web::Pool;
use crate::web::SendError;
use crate::web::query_field;

/// Time limit for a ping and for reading usage counts.
const PING_TIMEOUT: Duration = Duration::from_millis(450);

/// Time limit for reading results, in addition to the time that the request may wait for them.
const RESULTS_MARGIN: Duration = Duration::from_millis(500);

/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Set of characters to percent-encode in a path or query.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');

/// Time limit for forwarding a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(400);

/// Submission of a batch job that one gateway forwards to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Identifier of the job.
    pub id: BatchId,
    /// Value of the `host` header that the route requires. Selects the route with `path`.
    pub host: Arc<str>,
    /// Path of the caller's request.
    pub path: String,
    /// Workspace of the caller's key, or `None` on a route that needs no key.
    pub workspace: Option<WorkspaceName>,
    /// Time for which the caller still waits, or `None` if it does not say.
    pub patience: Option<Duration>,
}

/// Outcome of forwarding a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// The other gateway accepted the job.
    Accepted,
    /// The other gateway did not accept the job and will run nothing of it.
    NotAccepted,
    /// The submission was not sent, since the other gateway was not reached.
    NotSent,
    /// The other gateway may have accepted the job.
    Unsure,
}

/// Body of the response to a results request.
#[derive(Debug, Serialize, Deserialize)]
struct ResultPage {
    total: usize,
    after: usize,
    outcomes: Vec<Arc<Outcome>>,
}

/// Requests the state of another gateway and tells it of leaving targets. Returns `None` if the
/// request fails.
pub async fn ping(pool: &Pool, address: SocketAddr, ping: &PingRequest) -> Option<Pong> {
    let path = ping_path(ping);
    get_json(pool, address, &path, PING_TIMEOUT).await.ok()
}

fn ping_path(ping: &PingRequest) -> String {
    let mut fields = Vec::new();
    if let Ok(text) = serde_json::to_string(&ping.leaving)
        && !ping.leaving.is_empty()
    {
        fields.push(format!("leaving={}", utf8_percent_encode(&text, ESCAPED)));
    }
    if ping.paces {
        fields.push("paces=1".to_owned());
    }
    match fields.is_empty() {
        true => "/ping".to_owned(),
        false => format!("/ping?{}", fields.join("&")),
    }
}

/// Returns the leaving targets in the query of a ping. A list that cannot be read is left out, since
/// the state of this gateway matters more.
fn decode_leaving(query: Option<&str>) -> Vec<LeaveStatement> {
    let text = query_field(query, "leaving").and_then(percent_decode);
    let decoded = text.map(|text| serde_json::from_str(&text));
    decoded
        .transpose()
        .unwrap_or_else(|e| {
            log::warn!("the leaving targets of a ping cannot be read: {e}");
            None
        })
        .unwrap_or_default()
}

/// Requests another gateway's counts of a usage window. Returns `None` if the request fails.
pub async fn counts(pool: &Pool, address: SocketAddr, window: u64) -> Option<Counts> {
    let path = format!("/counts/{window}");
    get_json(pool, address, &path, PING_TIMEOUT).await.ok()
}

/// Tells another gateway that a job was ended with this revision of its head. Its watch of the store
/// tells it too, so a failure is only logged.
pub async fn tell_ended(pool: &Pool, address: SocketAddr, id: &BatchId, revision: Revision) {
    let id = utf8_percent_encode(id.as_str(), ESCAPED);
    let path = format!("/ended/{id}?revision={revision}");
    let request = Request::get(&path).header("host", address.to_string());
    let Ok(request) = request.body(Body::default()) else {
        return;
    };
    let told = pool
        .call(address, request, PING_TIMEOUT, MAX_RESPONSE_BYTES)
        .await;
    if let Err(e) = told {
        log::debug!("{address}{path}: {e}");
    }
}

/// Requests results of a job from another gateway, which waits at most `wait` for new ones.
///
/// Returns `None` if the request fails or the other gateway cannot tell.
pub async fn results(
    pool: &Pool,
    address: SocketAddr,
    id: &BatchId,
    workspace: Option<&WorkspaceName>,
    after: usize,
    wait: Duration,
) -> Option<Reply> {
    let id = utf8_percent_encode(id.as_str(), ESCAPED);
    let mut path = format!("/results/{id}?after={after}&wait={}", wait.as_millis());
    if let Some(workspace) = workspace {
        let workspace = utf8_percent_encode(workspace.as_str(), ESCAPED);
        path.push_str(&format!("&workspace={workspace}"));
    }
    let page = get_json::<ResultPage>(pool, address, &path, wait + RESULTS_MARGIN).await;
    match page {
        Ok(page) => Some(Reply::Results(page.total, page.after, page.outcomes)),
        Err(Some(StatusCode::NOT_FOUND)) => Some(Reply::NotFound),
        Err(_) => None,
    }
}

/// Forwards a submission to another gateway.
pub async fn submit(
    pool: &Pool,
    address: SocketAddr,
    submission: &Submission,
    body: Bytes,
) -> Forwarded {
    let encode = |text: &str| utf8_percent_encode(text, ESCAPED).to_string();
    let mut path = format!(
        "/submissions/{}?host={}&path={}",
        encode(submission.id.as_str()),
        encode(&submission.host),
        encode(&submission.path),
    );
    if let Some(workspace) = &submission.workspace {
        path.push_str(&format!("&workspace={}", encode(workspace.as_str())));
    }
    if let Some(patience) = submission.patience {
        path.push_str(&format!("&patience={}", patience.as_millis()));
    }
    let request = Request::post(&path).header("host", address.to_string());
    let Ok(request) = request.body(Body::new(body)) else {
        return Forwarded::NotSent;
    };
    match pool
        .call(address, request, SUBMIT_TIMEOUT, MAX_RESPONSE_BYTES)
        .await
    {
        Ok((head, _)) => match head.status {
            StatusCode::ACCEPTED => Forwarded::Accepted,
            StatusCode::SERVICE_UNAVAILABLE => Forwarded::NotAccepted,
            _ => Forwarded::Unsure,
        },
        Err(SendError::NotSent(_)) => Forwarded::NotSent,
        Err(SendError::Closed(_) | SendError::MayHaveArrived(_)) => Forwarded::Unsure,
    }
}

/// Decodes the path and query of a forwarded submission. Returns `None` if they are malformed.
pub fn decode_submission(path: &str, query: Option<&str>) -> Option<Submission> {
    let id = path.strip_prefix("/submissions/")?;
    Some(Submission {
        id: BatchId::from(percent_decode(id)?),
        host: Arc::from(percent_decode(query_field(query, "host")?)?),
        path: percent_decode(query_field(query, "path")?)?,
        workspace: match query_field(query, "workspace") {
            Some(workspace) => Some(WorkspaceName::from(percent_decode(workspace)?)),
            None => None,
        },
        patience: match query_field(query, "patience") {
            Some(millis) => Some(Duration::from_millis(millis.parse().ok()?)),
            None => None,
        },
    })
}

/// Returns the response to a forwarded submission.
pub fn encode_forwarded(forwarded: Forwarded) -> Response<Body> {
    empty_response(match forwarded {
        Forwarded::Accepted => StatusCode::ACCEPTED,
        Forwarded::NotAccepted | Forwarded::NotSent => StatusCode::SERVICE_UNAVAILABLE,
        Forwarded::Unsure => StatusCode::BAD_GATEWAY,
    })
}

/// Decodes the path and query of a `GET` request. Returns `None` if they are malformed.
pub fn decode_question(path: &str, query: Option<&str>) -> Option<Question> {
    let mut parts = path.trim_start_matches('/').split('/');
    match (parts.next()?, parts.next()) {
        ("ping", None) => Some(Question::Ping(PingRequest {
            leaving: decode_leaving(query),
            paces: query_field(query, "paces") == Some("1"),
        })),
        ("counts", Some(window)) => window.parse().ok().map(Question::UsageCounts),
        ("ended", Some(id)) => {
            let revision = query_field(query, "revision")?.parse().ok()?;
            let id = BatchId::from(percent_decode(id)?);
            Some(Question::JobEnded(id, Revision(revision)))
        }
        ("results", Some(id)) => {
            let id = BatchId::from(percent_decode(id)?);
            let wait = query_field(query, "wait").and_then(|w| w.parse().ok());
            let workspace = query_field(query, "workspace").and_then(percent_decode);
            Some(Question::Read {
                id,
                workspace: workspace.map(WorkspaceName::from),
                after: query_field(query, "after")
                    .and_then(|a| a.parse().ok())
                    .unwrap_or(0),
                wait: Duration::from_millis(wait.unwrap_or(0)),
                local: true,
            })
        }
        _ => None,
    }
}

/// Returns the response to a `GET` request of another gateway.
pub fn encode_reply(reply: Reply) -> Response<Body> {
    match reply {
        Reply::Pong(pong) => json_response(&pong),
        Reply::Counts(counts) => json_response(&counts),
        Reply::Permits(grant) => json_response(&grant),
        Reply::Results(total, after, outcomes) => json_response(&ResultPage {
            total,
            after,
            outcomes,
        }),
        Reply::Ended => empty_response(StatusCode::OK),
        Reply::NotFound => empty_response(StatusCode::NOT_FOUND),
        _ => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Returns a response without a body.
pub fn empty_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = code;
    response
}

fn json_response(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(text) => Response::new(Body::new(Bytes::from(text))),
        Err(e) => {
            log::warn!("a response to another gateway cannot be encoded: {e}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn percent_decode(text: &str) -> Option<String> {
    let decoded = percent_decode_str(text).decode_utf8();
    decoded.ok().map(std::borrow::Cow::into_owned)
}

async fn get_json<T: DeserializeOwned>(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<T, Option<StatusCode>> {
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Body::default())
        .map_err(|_| None)?;
    call_json(pool, address, path, request, limit).await
}

/// Sends a request and decodes the JSON body of its response. An error holds the status of the
/// response, if there is one.
async fn call_json<T: DeserializeOwned>(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    request: Request<Body>,
    limit: Duration,
) -> Result<T, Option<StatusCode>> {
    let (head, body) = pool
        .call(address, request, limit, MAX_RESPONSE_BYTES)
        .await
        .map_err(|e| {
            log::debug!("{address}{path}: {e}");
            None
        })?;
    if head.status != StatusCode::OK {
        return Err(Some(head.status));
    }
    serde_json::from_slice(&body).map_err(|e| {
        log::warn!("{address}{path}: malformed response: {e}");
        None
    })
}
