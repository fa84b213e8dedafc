//! The platform's object API over HTTP. `docs/object-api.md` describes the protocol.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use minreq::Request;
use minreq::ResponseLazy;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::Listing;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Time for a call in seconds. It is below the contact limit of entries, so that a call that
/// fails leaves time for another.
const CALL_LIMIT: u64 = 3;

/// Largest answer in bytes. A listing holds the trees of all teams.
const ANSWER_MOST: u64 = 64 << 20;

/// Largest value in bytes.
const VALUE_MOST: usize = 1 << 20;

/// Characters of a path that are sent as they are.
const PLAIN: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_');

/// A client of the object API.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    root: Arc<str>,
}

/// Answer to a write.
#[derive(Deserialize)]
struct Written {
    revision: Option<Revision>,
}

/// Answer to a call that was refused.
#[derive(Deserialize)]
struct Refusal {
    #[serde(rename = "error")]
    _error: String,
}

/// Answer to a list.
#[derive(Deserialize)]
struct ListBody {
    revision: Revision,
    objects: Vec<ObjectBody>,
}

/// Answer to a watch.
#[derive(Deserialize)]
struct WatchBody {
    revision: Revision,
    changes: Vec<ObjectBody>,
}

/// An object, or its deletion if it has no value.
#[derive(Deserialize)]
struct ObjectBody {
    path: Arc<str>,
    revision: Revision,
    value: Option<Arc<str>>,
}

/// An answer that was read to its end.
struct Answer {
    status: u16,
    revision: Option<u64>,
    body: Vec<u8>,
}

/// Why there is no answer.
enum NoAnswer {
    /// The request did not leave this host.
    NotSent(String),
    /// The request may have been carried out.
    Lost(String),
}

impl HttpObjects {
    /// Creates a client. No connection is made before the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            root: Arc::from(format!("http://{address}/v1")),
        }
    }

    fn object_url(&self, path: &str) -> String {
        let path = utf8_percent_encode(path, PLAIN);
        format!("{}/objects/{path}", self.root)
    }
}

impl ObjectPort for HttpObjects {
    fn get(&self, path: &str) -> Result<Option<Object>, ObjectError> {
        let answer = read(minreq::get(self.object_url(path)), CALL_LIMIT)?;
        if answer.status == 404 {
            return Ok(None);
        }
        let answer = expect_ok(answer)?;
        let revision = answer
            .revision
            .ok_or_else(|| ObjectError::Unavailable("the answer has no revision".to_owned()))?;
        let value = String::from_utf8(answer.body)
            .map_err(|e| ObjectError::Unavailable(format!("the value is not text: {e}")))?;
        Ok(Some(Object {
            path: Arc::from(path),
            revision: Revision(revision),
            value: Arc::from(value),
        }))
    }

    fn list(&self, prefix: &str) -> Result<Listing, ObjectError> {
        let prefix = utf8_percent_encode(prefix, PLAIN);
        let url = format!("{}/list?prefix={prefix}", self.root);
        let body: ListBody = decode(&expect_ok(read(minreq::get(url), CALL_LIMIT)?)?)?;
        let objects = body.objects.into_iter().filter_map(|object| {
            Some(Object {
                path: object.path,
                revision: object.revision,
                value: object.value?,
            })
        });
        Ok(Listing {
            revision: body.revision,
            objects: objects.collect(),
        })
    }

    fn put(&self, path: &str, value: &str, expect: Precondition) -> Result<Revision, ObjectError> {
        if value.len() > VALUE_MOST {
            let text = format!("{path} has {} bytes; {VALUE_MOST} fit", value.len());
            return Err(ObjectError::Invalid(text));
        }
        let request = minreq::put(self.object_url(path)).with_body(value);
        let request = match expect {
            Precondition::Absent => request.with_header("if-none-match", "*"),
            Precondition::At(revision) => request.with_header("if-match", revision.to_string()),
        };
        write(request)
    }

    fn delete(&self, path: &str, at: Revision) -> Result<Revision, ObjectError> {
        let request = minreq::delete(self.object_url(path));
        write(request.with_header("if-match", at.to_string()))
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Change>), ObjectError> {
        let prefix = utf8_percent_encode(prefix, PLAIN);
        let wait_ms = wait.as_millis();
        let root = &self.root;
        let url = format!("{root}/watch?prefix={prefix}&after={after}&wait={wait_ms}");
        let answer = read(minreq::get(url), wait.as_secs() + 1 + CALL_LIMIT)?;
        if answer.status == 410 {
            return Err(ObjectError::Compacted);
        }
        let body: WatchBody = decode(&expect_ok(answer)?)?;
        let changes = body.changes.into_iter().map(change);
        Ok((body.revision, changes.collect()))
    }
}

/// Sends a read. A read has no effect, so each failure is certain.
fn read(request: Request, limit: u64) -> Result<Answer, ObjectError> {
    send(request, limit).map_err(|e| match e {
        NoAnswer::NotSent(text) | NoAnswer::Lost(text) => ObjectError::Unavailable(text),
    })
}

fn expect_ok(answer: Answer) -> Result<Answer, ObjectError> {
    match answer.status {
        200 => Ok(answer),
        400 => Err(ObjectError::Invalid(described(&answer))),
        _ => Err(ObjectError::Unavailable(described(&answer))),
    }
}

/// Sends a write and tells a certain failure from one that may have had its effect.
fn write(request: Request) -> Result<Revision, ObjectError> {
    let answer = send(request, CALL_LIMIT).map_err(|e| match e {
        NoAnswer::NotSent(text) => ObjectError::Unavailable(text),
        NoAnswer::Lost(text) => ObjectError::Unknown(text),
    })?;
    let unknown = |text| ObjectError::Unknown(text);
    match answer.status {
        200 => {
            let written: Written =
                serde_json::from_slice(&answer.body).map_err(|e| unknown(e.to_string()))?;
            let none = || unknown("the answer has no revision".to_owned());
            written.revision.ok_or_else(none)
        }
        412 => {
            let written: Written =
                serde_json::from_slice(&answer.body).map_err(|e| unknown(e.to_string()))?;
            Err(ObjectError::Conflict(written.revision))
        }
        400 | 413 => Err(ObjectError::Invalid(described(&answer))),
        429 | 503 if is_refusal(&answer) => Err(ObjectError::Unavailable(described(&answer))),
        _ => Err(unknown(described(&answer))),
    }
}

/// Tells whether the API itself refused the call. `minreq` also gives status 503 to a connection
/// that closed without an answer, and then the write may have had its effect.
fn is_refusal(answer: &Answer) -> bool {
    serde_json::from_slice::<Refusal>(&answer.body).is_ok()
}

fn send(request: Request, limit: u64) -> Result<Answer, NoAnswer> {
    let response = request
        .with_timeout(limit)
        .with_follow_redirects(false)
        .send_lazy()
        .map_err(no_answer)?;
    finish(response).map_err(|e| NoAnswer::Lost(format!("the answer broke off: {e}")))
}

fn finish(response: ResponseLazy) -> io::Result<Answer> {
    let status = response.status_code;
    let revision = number(&response, "x-revision");
    let length = number(&response, "content-length");
    let mut body = Vec::new();
    let size = response.take(ANSWER_MOST + 1).read_to_end(&mut body)?;
    if size as u64 > ANSWER_MOST {
        return Err(io::Error::other(format!("it exceeds {ANSWER_MOST} bytes")));
    }
    // `minreq` takes the end of the connection for the end of the body.
    if length.is_some_and(|length| length != size as u64) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Answer {
        status,
        revision,
        body,
    })
}

fn number(response: &ResponseLazy, name: &str) -> Option<u64> {
    let mut headers = response.headers.iter();
    let found = headers.find(|(field, _)| field.eq_ignore_ascii_case(name));
    found.and_then(|(_, value)| value.parse().ok())
}

/// Tells whether the request left this host. A time-out is ambiguous, since `minreq` uses the
/// same error while it connects and while it waits for the answer.
fn no_answer(error: minreq::Error) -> NoAnswer {
    let text = error.to_string();
    match error {
        minreq::Error::IoError(e)
            if matches!(
                e.kind(),
                io::ErrorKind::ConnectionRefused
                    | io::ErrorKind::HostUnreachable
                    | io::ErrorKind::NetworkUnreachable
            ) =>
        {
            NoAnswer::NotSent(text)
        }
        minreq::Error::AddressNotFound => NoAnswer::NotSent(text),
        _ => NoAnswer::Lost(text),
    }
}

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, ObjectError> {
    serde_json::from_slice(&answer.body)
        .map_err(|e| ObjectError::Unavailable(format!("the answer cannot be read: {e}")))
}

fn change(object: ObjectBody) -> Change {
    match object.value {
        Some(value) => Change::Put(Object {
            path: object.path,
            revision: object.revision,
            value,
        }),
        None => Change::Delete {
            path: object.path,
            revision: object.revision,
        },
    }
}

fn described(answer: &Answer) -> String {
    let text = String::from_utf8_lossy(&answer.body);
    let start: String = text.chars().take(200).collect();
    format!("status {}: {start}", answer.status)
}
