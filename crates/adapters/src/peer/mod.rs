//! Protocol between gateways: state, counts and results, as JSON over HTTP/1.1.
//!
//! `GET /ping` returns a `Pong`. `GET /counts/{window}` returns the counts of a usage window.
//! `GET /results/{batch}` with `after`, `wait` (milliseconds) and `workspace` in the query returns
//! `ResultPage`, 404 if there is no such job, and 503 if this process cannot be sure.
//! `POST /submissions/{batch}` with `host`, `path` and `workspace` in the query and a submission as
//! its body returns 202 if the job is accepted, 503 if nothing of it will run, and 502 otherwise.

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
use sardinepath_core::decision::gateway::message::Pong;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::decision::tally::Counts;
use sardinepath_core::domain::batch::Outcome;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::WorkspaceName;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::web::Body;
use crate::web::Pool;
use crate::web::SendError;
use crate::web::query_field;

/// Time for a question about the state of another process.
const PING_LIMIT: Duration = Duration::from_millis(450);

/// Time for results beyond the time that the question may wait.
const RESULTS_LIMIT: Duration = Duration::from_millis(500);

/// Most bytes of an answer.
const ANSWER_MOST: usize = 4 << 20;

/// Characters that stay as they are in a path or query.
const PLAIN: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');

/// Time for the acceptance of a submission.
const SUBMIT_LIMIT: Duration = Duration::from_millis(400);

/// A submission that is passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Name of the job.
    pub id: BatchId,
    /// Host that selects the route.
    pub host: Arc<str>,
    /// Path that selects the route.
    pub path: String,
    /// Workspace of the key.
    pub workspace: Option<WorkspaceName>,
}

/// What became of a submission that was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// The job is accepted.
    Accepted,
    /// Nothing of it will run there.
    NotAccepted,
    /// The other process was not reached.
    NotSent,
    /// The job may be accepted.
    Unsure,
}

/// Results of a job.
#[derive(Debug, Serialize, Deserialize)]
struct ResultPage {
    total: usize,
    after: usize,
    outcomes: Vec<Arc<Outcome>>,
}

/// Asks another process for its state.
pub async fn ping(pool: &Pool, address: SocketAddr) -> Option<Pong> {
    get(pool, address, "/ping", PING_LIMIT).await.ok()
}

/// Asks another process for its counts of a window.
pub async fn counts(pool: &Pool, address: SocketAddr, window: u64) -> Option<Counts> {
    let path = format!("/counts/{window}");
    get(pool, address, &path, PING_LIMIT).await.ok()
}

/// Asks another process for results. `None` if it cannot answer.
pub async fn results(
    pool: &Pool,
    address: SocketAddr,
    id: &BatchId,
    workspace: Option<&WorkspaceName>,
    after: usize,
    wait: Duration,
) -> Option<Reply> {
    let id = utf8_percent_encode(id.as_str(), PLAIN);
    let mut path = format!("/results/{id}?after={after}&wait={}", wait.as_millis());
    if let Some(workspace) = workspace {
        let workspace = utf8_percent_encode(workspace.as_str(), PLAIN);
        path.push_str(&format!("&workspace={workspace}"));
    }
    let page = get::<ResultPage>(pool, address, &path, wait + RESULTS_LIMIT).await;
    match page {
        Ok(page) => Some(Reply::Results(page.total, page.after, page.outcomes)),
        Err(Some(StatusCode::NOT_FOUND)) => Some(Reply::NotFound),
        Err(_) => None,
    }
}

/// Passes a submission on to another process.
pub async fn submit(
    pool: &Pool,
    address: SocketAddr,
    submission: &Submission,
    body: Bytes,
) -> Passed {
    let encode = |text: &str| utf8_percent_encode(text, PLAIN).to_string();
    let mut path = format!(
        "/submissions/{}?host={}&path={}",
        encode(submission.id.as_str()),
        encode(&submission.host),
        encode(&submission.path),
    );
    if let Some(workspace) = &submission.workspace {
        path.push_str(&format!("&workspace={}", encode(workspace.as_str())));
    }
    let request = Request::post(&path).header("host", address.to_string());
    let Ok(request) = request.body(Body::new(body)) else {
        return Passed::NotSent;
    };
    match pool.call(address, request, SUBMIT_LIMIT, ANSWER_MOST).await {
        Ok((head, _)) => match head.status {
            StatusCode::ACCEPTED => Passed::Accepted,
            StatusCode::SERVICE_UNAVAILABLE => Passed::NotAccepted,
            _ => Passed::Unsure,
        },
        Err(SendError::NotSent(_)) => Passed::NotSent,
        Err(SendError::Dropped(_) | SendError::MayHaveArrived(_)) => Passed::Unsure,
    }
}

/// Decodes a submission that another process passes on.
pub fn submission(path: &str, query: Option<&str>) -> Option<Submission> {
    let id = path.strip_prefix("/submissions/")?;
    Some(Submission {
        id: BatchId::from(decode(id)?),
        host: Arc::from(decode(query_field(query, "host")?)?),
        path: decode(query_field(query, "path")?)?,
        workspace: match query_field(query, "workspace") {
            Some(workspace) => Some(WorkspaceName::from(decode(workspace)?)),
            None => None,
        },
    })
}

/// Encodes what became of a submission that another process passed on.
pub fn passed(passed: Passed) -> Response<Body> {
    status(match passed {
        Passed::Accepted => StatusCode::ACCEPTED,
        Passed::NotAccepted | Passed::NotSent => StatusCode::SERVICE_UNAVAILABLE,
        Passed::Unsure => StatusCode::BAD_GATEWAY,
    })
}

/// Decodes a question of another process.
pub fn question(path: &str, query: Option<&str>) -> Option<Question> {
    let mut parts = path.trim_start_matches('/').split('/');
    match (parts.next()?, parts.next()) {
        ("ping", None) => Some(Question::Ping),
        ("counts", Some(window)) => window.parse().ok().map(Question::UsageCounts),
        ("results", Some(id)) => {
            let id = BatchId::from(decode(id)?);
            let wait = query_field(query, "wait").and_then(|w| w.parse().ok());
            let workspace = query_field(query, "workspace").and_then(decode);
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

/// Encodes the reply to a question of another process.
pub fn answer(reply: Reply) -> Response<Body> {
    match reply {
        Reply::Pong(pong) => json(&pong),
        Reply::Counts(counts) => json(&counts),
        Reply::Results(total, after, outcomes) => json(&ResultPage {
            total,
            after,
            outcomes,
        }),
        Reply::NotFound => status(StatusCode::NOT_FOUND),
        _ => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Returns an answer without a body.
pub fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = code;
    response
}

fn json(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(text) => Response::new(Body::new(Bytes::from(text))),
        Err(e) => {
            log::warn!("an answer to another process cannot be encoded: {e}");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn decode(text: &str) -> Option<String> {
    let decoded = percent_decode_str(text).decode_utf8();
    decoded.ok().map(std::borrow::Cow::into_owned)
}

async fn get<T: DeserializeOwned>(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<T, Option<StatusCode>> {
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Body::default())
        .map_err(|_| None)?;
    let (head, body) = pool
        .call(address, request, limit, ANSWER_MOST)
        .await
        .map_err(|e| {
            log::debug!("{address}{path}: {e}");
            None
        })?;
    if head.status != StatusCode::OK {
        return Err(Some(head.status));
    }
    serde_json::from_slice(&body).map_err(|e| {
        log::warn!("{address}{path}: the answer cannot be read: {e}");
        None
    })
}
