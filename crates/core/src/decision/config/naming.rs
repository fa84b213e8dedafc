//! Naming schemes.

use crate::domain::declare::Scheme;

/// Longest name in bytes. Names occur in URL paths and metrics labels.
const NAME_MOST: usize = 64;

/// Tells whether a name follows a scheme.
pub fn follows(scheme: Scheme, name: &str) -> bool {
    name.len() <= NAME_MOST
        && match scheme {
            Scheme::Slug => name.split('-').all(is_word),
            Scheme::Dotted => name.contains('.') && name.split('.').all(is_word),
            Scheme::Coded => is_coded(name),
        }
}

/// Tells whether a name is valid for a team, whose scheme is not known from its name.
pub fn is_team_name(name: &str) -> bool {
    [Scheme::Slug, Scheme::Dotted, Scheme::Coded]
        .into_iter()
        .any(|scheme| follows(scheme, name))
}

/// Tells whether a name that the platform gives (target, data centre, model) is valid.
pub fn is_plain_name(name: &str) -> bool {
    let valid = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'.' | b'_' | b'-');
    (1..=NAME_MOST).contains(&name.len()) && name.bytes().all(valid)
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
