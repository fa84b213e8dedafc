//! Texts of ended jobs, which a later job with the same items may continue.

use std::collections::VecDeque;

use sha2::Digest;
use sha2::Sha256;

use crate::domain::batch::Draft;
use crate::domain::batch::Head;
use crate::domain::batch::Item;
use crate::domain::name::ModelName;
use crate::domain::name::WorkspaceName;

/// Maximum number of retained texts.
const MAX_TEXTS: usize = 256;

/// Maximum size of all retained texts, in bytes.
const MAX_BYTES: usize = 8 << 20;

/// Texts of ended jobs, the oldest one first. Each is given only to an item of the same origin.
#[derive(Debug, Default)]
pub struct RetainedTexts {
    texts: VecDeque<(Origin, Draft)>,
    /// Size of all texts, in bytes.
    size: usize,
}

/// Digest of everything for which a text was generated. Ids alone do not show it: callers choose them,
/// and those of different workspaces may be equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Origin([u8; 32]);

impl RetainedTexts {
    /// Retains the text of an item of a job, and evicts the oldest texts above the limits.
    pub fn insert(&mut self, head: &Head, item: &Item, draft: Draft) {
        let origin = Origin::of(head, item);
        if let Some(index) = self.texts.iter().position(|(known, _)| *known == origin) {
            let before = self.texts.remove(index);
            self.size -= before.map_or(0, |(_, draft)| draft.partial.text.len());
        }
        self.size += draft.partial.text.len();
        self.texts.push_back((origin, draft));
        while self.texts.len() > MAX_TEXTS || self.size > MAX_BYTES {
            let Some((_, evicted)) = self.texts.pop_front() else {
                return;
            };
            self.size -= evicted.partial.text.len();
        }
    }

    /// Returns the text that was retained for an item like this one.
    pub fn find(&self, head: &Head, item: &Item) -> Option<Draft> {
        // The id is compared first, since most items have no text and a digest reads the whole item.
        if !self.texts.iter().any(|(_, draft)| draft.id == item.id) {
            return None;
        }
        let origin = Origin::of(head, item);
        let mut texts = self.texts.iter();
        let (_, draft) = texts.find(|(known, _)| *known == origin)?;
        Some(draft.clone())
    }
}

impl Origin {
    /// Returns the origin of the texts of an item.
    fn of(head: &Head, item: &Item) -> Self {
        let workspace = head.workspace.as_ref().map(WorkspaceName::as_str);
        let model = head.model.as_ref().map(ModelName::as_str);
        let mut hasher = Sha256::new();
        for part in [workspace, model] {
            hasher.update([u8::from(part.is_some())]);
            hash_part(&mut hasher, part.unwrap_or_default().as_bytes());
        }
        for part in [
            &head.host,
            head.route.as_str(),
            item.id.as_str(),
            &item.path,
        ] {
            hash_part(&mut hasher, part.as_bytes());
        }
        for (name, value) in &item.headers {
            hash_part(&mut hasher, name.as_bytes());
            hash_part(&mut hasher, value.as_bytes());
        }
        hash_part(&mut hasher, &item.body);
        Self(hasher.finalize().into())
    }
}

/// Adds a part with its length, so that parts cannot be divided otherwise.
fn hash_part(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_be_bytes());
    hasher.update(part);
}
