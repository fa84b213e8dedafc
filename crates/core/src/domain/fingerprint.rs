//! Identity of a request that its caller sends again under another id.

use sha2::Digest;
use sha2::Sha256;

use crate::domain::hash::OFFSET_BASIS;
use crate::domain::hash::fnv1a;
use crate::domain::name::Fingerprint;
use crate::domain::name::WorkspaceName;

/// Number of bytes of the digest that a fingerprint keeps.
const DIGEST_BYTES: usize = 16;

/// Number of hexadecimal digits of the shape at the start of a fingerprint.
const SHAPE_DIGITS: usize = 16;

/// Byte between two parts of a request in a hash, which no part but the body contains.
const SEPARATOR: &[u8] = b"\n";

/// Parts of a request that make it the same request whenever it comes again.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Workspace of the caller's key, or `None` on a route that needs no key.
    pub workspace: Option<&'a WorkspaceName>,
    /// Host name of the route.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// Hash of a request without the content of its body. It is cheap, and requests with different shapes
/// have different fingerprints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestShape(u64);

impl RequestParts<'_> {
    /// Returns the shape of the request.
    pub fn shape(&self) -> RequestShape {
        let length = self.body.len().to_string();
        let parts = self.head().into_iter().chain([length.as_bytes()]);
        let hash = |before, part: &[u8]| fnv1a(fnv1a(before, part), SEPARATOR);
        RequestShape(parts.fold(OFFSET_BASIS, hash))
    }

    /// Returns the fingerprint of the request. The digest covers the whole body, so a caller cannot
    /// produce the fingerprint of another workspace's request.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = Sha256::new();
        for part in self.head() {
            hasher.update(part);
            hasher.update(SEPARATOR);
        }
        hasher.update(self.body);
        let digest = hex::encode(&hasher.finalize()[..DIGEST_BYTES]);
        Fingerprint::from(format!("{:016x}{digest}", self.shape().0))
    }

    /// Returns the parts of the request before its body.
    fn head(&self) -> [&[u8]; 4] {
        let workspace = self.workspace.map_or("", WorkspaceName::as_str);
        [workspace, self.host, self.method, self.path].map(str::as_bytes)
    }
}

impl Fingerprint {
    /// Returns the shape of the requests with this fingerprint, or `None` if the text is no
    /// fingerprint.
    pub fn shape(&self) -> Option<RequestShape> {
        let digits = self.as_str().get(..SHAPE_DIGITS)?;
        u64::from_str_radix(digits, 16).ok().map(RequestShape)
    }
}
