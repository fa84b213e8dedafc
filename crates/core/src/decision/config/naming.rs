//! Validation of names against the naming schemes.

use crate::domain::declare::Scheme;

/// Maximum length of a name in bytes. Names appear in URL paths and metric labels.
const MAX_NAME_BYTES: usize = 64;

/// Returns `true` if a name follows a scheme.
pub fn follows(scheme: Scheme, name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
        && match scheme {
            Scheme::Slug => name.split('-').all(is_word),
            Scheme::Dotted => name.contains('.') && name.split('.').all(is_word),
            Scheme::Coded => is_coded(name),
        }
}

/// Returns `true` if a team name follows any of the schemes.
pub fn is_team_name(name: &str) -> bool {
    [Scheme::Slug, Scheme::Dotted, Scheme::Coded]
        .into_iter()
        .any(|scheme| follows(scheme, name))
}

/// Returns `true` if a name assigned by the platform (target, data centre, model) is valid.
pub fn is_plain_name(name: &str) -> bool {
    let valid = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'.' | b'_' | b'-');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(valid)
}

fn is_word(word: &str) -> bool {
    let valid = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit();
    !word.is_empty() && word.bytes().all(valid)
}

fn is_coded(name: &str) -> bool {
    let Some((letters, digits)) = name.split_once('-') else {
        return false;
    };
    (2..=4).contains(&letters.len())
        && letters.bytes().all(|c| c.is_ascii_uppercase())
        && digits.len() == 5
        && digits.bytes().all(|c| c.is_ascii_digit())
}
