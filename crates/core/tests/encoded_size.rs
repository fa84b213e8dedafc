//! Sizes of results and drafts as they are stored, for texts that grow when they are encoded.
#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;
use sardinepath_core::decision::batch::EncodedPage;
use sardinepath_core::domain::batch::Draft;
use sardinepath_core::domain::batch::Outcome;
use sardinepath_core::domain::batch::PartialText;

/// Maximum size of a page that holds more than one result, in bytes.
const MAX_PAGE_BYTES: usize = 700 << 10;

/// Characters of every kind that is encoded in its own way.
fn character() -> impl Strategy<Value = char> {
    prop_oneof![
        any::<char>(),
        (0_u8..0x20).prop_map(char::from),
        select(vec!['"', '\\', '\n', '\u{7f}', '\u{2028}', '𝄞']),
    ]
}

fn text() -> impl Strategy<Value = String> {
    vec(character(), 0..400).prop_map(String::from_iter)
}

fn outcome(id: &str, text: &str, versions: &[u64], score: Option<String>) -> Outcome {
    Outcome {
        id: id.into(),
        complete: true,
        text: Arc::from(text),
        versions: versions.to_vec(),
        score: score.map(Arc::from),
    }
}

proptest! {
    /// Guards against a result or draft that is larger when it is stored than it was counted.
    #[test]
    fn no_result_is_stored_larger_than_it_is_counted(
        text in text(),
        id in text(),
        versions in vec(any::<u64>(), 0..5),
        score in proptest::option::of(text()),
    ) {
        let outcome = outcome(&id, &text, &versions, score);
        let draft = Draft {
            id: id.as_str().into(),
            partial: PartialText { text, events: u64::MAX, versions, software: Some(id.as_str().into()) },
            whole: false,
        };

        let stored = serde_json::to_string(&outcome).unwrap().len();
        let drafted = serde_json::to_string(&draft).unwrap().len();

        prop_assert!(stored <= outcome.encoded_size(), "{stored}");
        prop_assert!(drafted <= draft.encoded_size(), "{drafted}");
    }
}

/// Guards against a page of results that the store refuses for its size, again and again: results of
/// 8 KB, two thirds of which are characters that are encoded in two bytes.
#[test]
fn results_that_grow_when_encoded_fill_a_page_sooner() {
    let texts = [
        "\"\\x".repeat(2_700),
        "\u{1}".repeat(8_000),
        "x".repeat(8_000),
    ];
    for text in texts {
        let outcomes: Vec<_> = (0..200)
            .map(|index| Arc::new(outcome(&format!("i{index}"), &text, &[1], None)))
            .collect();

        let mut page = EncodedPage::new(MAX_PAGE_BYTES);
        let fitting: Vec<_> = outcomes
            .iter()
            .take_while(|o| page.add(o.encoded_size()))
            .collect();

        let stored = serde_json::to_string(&fitting.iter().map(|o| &***o).collect::<Vec<_>>());
        let stored = stored.unwrap().len();
        assert!(stored <= MAX_PAGE_BYTES, "{stored}");
        assert!(stored > MAX_PAGE_BYTES / 2, "{stored}");
    }
}

/// Guards against a page without any result, after which none would ever be listed.
#[test]
fn a_page_holds_at_least_one_result() {
    let mut page = EncodedPage::new(MAX_PAGE_BYTES);

    let added = [page.add(2 * MAX_PAGE_BYTES), page.add(1)];

    assert_eq!(added, [true, false]);
}
