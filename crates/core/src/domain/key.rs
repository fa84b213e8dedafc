//! Digests of caller keys. The keys themselves are never stored.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// SHA-256 digest of a caller's key.
///
/// Keys are long and random, so an unsalted digest cannot be reversed by guessing. The text form is
/// `sha256:` followed by 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

/// Prefix of the text form.
const PREFIX: &str = "sha256:";

impl KeyDigest {
    /// Computes the digest of the key that a caller presented.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let digits = text
            .strip_prefix(PREFIX)
            .ok_or_else(|| format!("a key digest starts with {PREFIX:?}"))?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(digits, &mut bytes)
            .map_err(|e| format!("a key digest has 64 hexadecimal digits: {e}"))?;
        Ok(Self(bytes))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        format!("{PREFIX}{}", hex::encode(digest.0))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}", hex::encode(&self.0[..4]))
    }
}
