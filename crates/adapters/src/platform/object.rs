//! HTTP client of the platform's object API. `docs/object-api.md` describes the protocol.

use std::fmt::Display;
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
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::port::object::Change;
use sardinepath_core::port::object::Listing;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use serde::Deserialize;

use crate::elements;
use crate::event::emit;

/// Time limit for a call in seconds. It is shorter than the contact limit of entries, so that a
/// failed call leaves time for another one.
const CALL_TIMEOUT_SECONDS: u64 = 3;

/// Maximum size of a response in bytes. A listing holds the trees of all teams.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Maximum size of a value in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Set of characters to percent-encode in a path.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_');

/// HTTP client of the object API.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    root: Arc<str>,
}

/// Body of the response to a write.
#[derive(Deserialize)]
struct WriteBody {
    revision: Option<Revision>,
}

/// Body of the response to a rejected call.
#[derive(Deserialize)]
struct ErrorBody {
    #[serde(rename = "error")]
    _error: String,
}

/// An object, or the deletion of an object if there is no value.
#[derive(Deserialize)]
struct ObjectBody {
    path: Arc<str>,
    revision: Revision,
    value: Option<Arc<str>>,
}

/// A response with its complete body.
struct Response {
    status: u16,
    revision: Option<u64>,
    body: Vec<u8>,
}

/// Reason why a call got no response.
enum CallError {
    /// The request was not sent.
    NotSent(String),
    /// The request may have taken effect.
    MayHaveArrived(String),
}

impl ObjectBody {
    /// Decodes an object. A value that cannot be decoded is passed on as it is written, so that its
    /// reader refuses it; it does not count as deleted.
    fn decode(text: &[u8]) -> Option<Self> {
        serde_json::from_slice(text).ok().or_else(|| {
            let part = |name: &str| elements::field(text, name).ok().flatten();
            // No reader takes an empty value for one that is deleted.
            let value = String::from_utf8_lossy(part("value").unwrap_or_default());
            let path = part("path").and_then(|path| serde_json::from_slice(path).ok());
            let revision = part("revision").and_then(|at| serde_json::from_slice(at).ok());
            let (Some(path), Some(revision)) = (path, revision) else {
                emit(Event::ObjectUnreadable, &[("kind", &"object")]);
                return None;
            };
            Some(Self {
                path,
                revision,
                value: Some(Arc::from(value)),
            })
        })
    }
}

impl HttpObjects {
    /// Creates a client for the API at `address`. No connection is opened before the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            root: Arc::from(format!("http://{address}/v1")),
        }
    }

    fn object_url(&self, path: &str) -> String {
        let path = utf8_percent_encode(path, ESCAPED);
        format!("{}/objects/{path}", self.root)
    }
}

impl ObjectPort for HttpObjects {
    fn get(&self, path: &str) -> Result<Option<Object>, ObjectError> {
        let response = read(minreq::get(self.object_url(path)), CALL_TIMEOUT_SECONDS)?;
        if response.status == 404 {
            return Ok(None);
        }
        let response = expect_ok(response)?;
        let revision = response
            .revision
            .ok_or_else(|| ObjectError::Unavailable("the response has no revision".to_owned()))?;
        let value = String::from_utf8(response.body)
            .map_err(|e| ObjectError::Unavailable(format!("the value is not UTF-8: {e}")))?;
        Ok(Some(Object {
            path: Arc::from(path),
            revision: Revision(revision),
            value: Arc::from(value),
        }))
    }

    fn list(&self, prefix: &str) -> Result<Listing, ObjectError> {
        let prefix = utf8_percent_encode(prefix, ESCAPED);
        let url = format!("{}/list?prefix={prefix}", self.root);
        let response = expect_ok(read(minreq::get(url), CALL_TIMEOUT_SECONDS)?)?;
        let (revision, objects) = decode(&response.body, "objects")?;
        let objects = objects.into_iter().filter_map(|object| {
            Some(Object {
                path: object.path,
                revision: object.revision,
                value: object.value?,
            })
        });
        Ok(Listing {
            revision,
            objects: objects.collect(),
        })
    }

    fn put(&self, path: &str, value: &str, expect: Precondition) -> Result<Revision, ObjectError> {
        if value.len() > MAX_VALUE_BYTES {
            let text = format!(
                "{path} has {} bytes; the maximum is {MAX_VALUE_BYTES}",
                value.len()
            );
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
        let prefix = utf8_percent_encode(prefix, ESCAPED);
        let wait_ms = wait.as_millis();
        let root = &self.root;
        let url = format!("{root}/watch?prefix={prefix}&after={after}&wait={wait_ms}");
        let response = read(minreq::get(url), wait.as_secs() + 1 + CALL_TIMEOUT_SECONDS)?;
        if response.status == 410 {
            return Err(ObjectError::Compacted);
        }
        let (revision, changes) = decode(&expect_ok(response)?.body, "changes")?;
        Ok((revision, changes.into_iter().map(to_change).collect()))
    }
}

/// Sends a read request. Its failure is never ambiguous, since reads have no effect.
fn read(request: Request, timeout_seconds: u64) -> Result<Response, ObjectError> {
    send(request, timeout_seconds).map_err(|e| match e {
        CallError::NotSent(text) | CallError::MayHaveArrived(text) => {
            ObjectError::Unavailable(text)
        }
    })
}

fn expect_ok(response: Response) -> Result<Response, ObjectError> {
    match response.status {
        200 => Ok(response),
        400 => Err(ObjectError::Invalid(describe(&response))),
        _ => Err(ObjectError::Unavailable(describe(&response))),
    }
}

/// Sends a write request. Returns `ObjectError::Unknown` if a failed write may have taken effect.
fn write(request: Request) -> Result<Revision, ObjectError> {
    let response = send(request, CALL_TIMEOUT_SECONDS).map_err(|e| match e {
        CallError::NotSent(text) => ObjectError::Unavailable(text),
        CallError::MayHaveArrived(text) => ObjectError::Unknown(text),
    })?;
    let unknown = |text| ObjectError::Unknown(text);
    match response.status {
        200 => {
            let written: WriteBody =
                serde_json::from_slice(&response.body).map_err(|e| unknown(e.to_string()))?;
            let missing = || unknown("the response has no revision".to_owned());
            written.revision.ok_or_else(missing)
        }
        412 => {
            let written: WriteBody =
                serde_json::from_slice(&response.body).map_err(|e| unknown(e.to_string()))?;
            Err(ObjectError::Conflict(written.revision))
        }
        400 | 413 => Err(ObjectError::Invalid(describe(&response))),
        429 | 503 if has_error_body(&response) => {
            Err(ObjectError::Unavailable(describe(&response)))
        }
        _ => Err(unknown(describe(&response))),
    }
}

/// Returns `true` if the API itself rejected the call. `minreq` also reports status 503 if the
/// connection closed without a response, and then a write may have taken effect.
fn has_error_body(response: &Response) -> bool {
    serde_json::from_slice::<ErrorBody>(&response.body).is_ok()
}

fn send(request: Request, timeout_seconds: u64) -> Result<Response, CallError> {
    let response = request
        .with_timeout(timeout_seconds)
        .with_follow_redirects(false)
        .send_lazy()
        .map_err(classify_error)?;
    read_response(response)
        .map_err(|e| CallError::MayHaveArrived(format!("the response is incomplete: {e}")))
}

fn read_response(response: ResponseLazy) -> io::Result<Response> {
    let status = response.status_code;
    let revision = header_number(&response, "x-revision");
    let length = header_number(&response, "content-length");
    let mut body = Vec::new();
    let size = response
        .take(MAX_RESPONSE_BYTES + 1)
        .read_to_end(&mut body)?;
    if size as u64 > MAX_RESPONSE_BYTES {
        return Err(io::Error::other(format!(
            "it is larger than {MAX_RESPONSE_BYTES} bytes"
        )));
    }
    // `minreq` treats the end of the connection as the end of the body.
    if length.is_some_and(|length| length != size as u64) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Response {
        status,
        revision,
        body,
    })
}

fn header_number(response: &ResponseLazy, name: &str) -> Option<u64> {
    let mut headers = response.headers.iter();
    let value = headers.find(|(field, _)| field.eq_ignore_ascii_case(name));
    value.and_then(|(_, value)| value.parse().ok())
}

/// Returns whether a failed request may have arrived. A timeout is ambiguous, since `minreq` uses
/// the same error while it connects and while it waits for the response.
fn classify_error(error: minreq::Error) -> CallError {
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
            CallError::NotSent(text)
        }
        minreq::Error::AddressNotFound => CallError::NotSent(text),
        _ => CallError::MayHaveArrived(text),
    }
}

/// Decodes the revision of a response and the objects in one of its fields. An object that cannot be
/// decoded does not affect the others.
fn decode(body: &[u8], name: &str) -> Result<(Revision, Vec<ObjectBody>), ObjectError> {
    let revision = serde_json::from_slice(field(body, "revision")?);
    let revision = revision.map_err(|e| malformed(&e))?;
    let objects = elements::elements(field(body, name)?).map_err(|e| malformed(&e))?;
    let objects = objects.into_iter().filter_map(ObjectBody::decode);
    Ok((revision, objects.collect()))
}

/// Returns the text of a field that a response must have.
fn field<'a>(body: &'a [u8], name: &str) -> Result<&'a [u8], ObjectError> {
    let found = elements::field(body, name).map_err(|e| malformed(&e))?;
    found.ok_or_else(|| malformed(&format!("the field {name} is missing")))
}

fn malformed(error: &dyn Display) -> ObjectError {
    ObjectError::Unavailable(format!("malformed response: {error}"))
}

fn to_change(object: ObjectBody) -> Change {
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

fn describe(response: &Response) -> String {
    let text = String::from_utf8_lossy(&response.body);
    let excerpt: String = text.chars().take(200).collect();
    format!("status {}: {excerpt}", response.status)
}
