//! Tests of authorization: the workspace of a request, and keys that must not reach a target.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use proptest::prop_assert_eq;
use proptest::proptest;
use sardinepath_core::decision::authorize::Authorized;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::authorize::authorize;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::domain::call::HeaderField;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::key::KeyDigest;
use serde_json::json;

const KEY: &str = "key/of+dream-diary.0001";
const OTHER: &str = "key/of+dream-diary.0002";

fn field(name: &str, value: &str) -> HeaderField {
    HeaderField {
        name: Arc::from(name),
        value: Arc::from(value.as_bytes()),
    }
}

fn inbound(path: &str, fields: Vec<HeaderField>, body: &str) -> Inbound {
    Inbound {
        method: Arc::from("POST"),
        path: Arc::from(path),
        fields: fields.into(),
        body: Arc::from(body.as_bytes()),
        texts: Vec::new(),
        completion: None,
    }
}

fn keyed(key: &str) -> HeaderField {
    field("x-api-key", key)
}

fn tree(key: &str) -> serde_json::Value {
    json!({
        "scheme": "slug",
        "workspaces": {"diary": {}, "diaries": {}},
        "keys": {
            "app": {"workspace": "diary", "digest": KeyDigest::of(key.as_bytes())},
        },
        "pools": {
            "orders": {"kind": "plain", "targets": {}},
            "model": {"kind": "model", "model": "m", "targets": {}},
        },
        "routes": {
            "orders": {"pool": "orders", "access": {"workspaces": ["diary"]}},
            "others": {"pool": "orders", "access": {"workspaces": ["diaries"]}},
            "open": {"pool": "orders", "access": {"open": "diary"}},
            "model": {"pool": "model", "access": {"workspaces": ["diary"]}},
        },
    })
}

/// Returns a configuration of two teams whose objects have the same names but different keys.
fn config() -> Config {
    let mut config = Config::default();
    for (revision, team, key) in [(1, "print", KEY), (2, "print.press", OTHER)] {
        let state = TeamState {
            revision: Revision(revision),
            tree: Some(Arc::new(serde_json::from_value(tree(key)).unwrap())),
        };
        config.merge(team.into(), state);
    }
    config
}

fn check(inbound: &Inbound) -> Result<Authorized, ErrorKind> {
    authorize(&config(), true, inbound)
}

fn percent(text: &str, lower: bool) -> String {
    let encode = |b: u8| match lower {
        true => format!("%{b:02x}"),
        false => format!("%{b:02X}"),
    };
    text.bytes().map(encode).collect()
}

fn escaped(text: &str) -> String {
    text.bytes().map(|b| format!("\\u{b:04x}")).collect()
}

/// Guards against a key that reaches a target in an encoding that the target decodes.
#[test]
fn key_outside_its_header_is_refused_under_every_encoding() {
    let first = format!("\\u{:04X}{}", KEY.as_bytes()[0], &KEY[1..]);
    let forms = [
        KEY.to_owned(),
        percent(KEY, false),
        percent(KEY, true),
        percent(&percent(KEY, true), false),
        escaped(KEY),
        first,
        KEY.replace('/', "\\/"),
        percent(&escaped(KEY), false),
    ];
    for form in forms {
        let tag = vec![keyed(KEY), field("x-request-tag", &form)];
        let places = [
            inbound(&format!("/print/orders/a?k={form}"), vec![keyed(KEY)], ""),
            inbound(&format!("/print/orders/{form}/b"), vec![keyed(KEY)], ""),
            inbound(
                "/print/orders/a",
                vec![keyed(KEY)],
                &format!("{{\"a\":\"{form}\",\"a\":1}}"),
            ),
            inbound(
                "/print/orders/a",
                vec![keyed(KEY)],
                &format!("not json {form}"),
            ),
            inbound("/print/orders/a", tag, ""),
            inbound(&format!("/print/open/a?k={form}"), vec![keyed(KEY)], ""),
        ];

        let results = places.map(|place| check(&place).unwrap_err());

        assert_eq!(results, [ErrorKind::KeyExposed; 6], "{form}");
    }
}

/// Guards against a valid key that reaches a target although it is not in a key header, or is not
/// the key in the header.
#[test]
fn any_valid_key_outside_the_key_header_is_refused() {
    let places = [
        inbound(&format!("/print/open/a?api_key={OTHER}"), vec![], ""),
        inbound(
            &format!("/print/open/a?k={}&b=1", percent(KEY, true)),
            vec![],
            "",
        ),
        inbound(
            "/print/open/a",
            vec![],
            &format!("{{\"key\":\"{}\"}}", escaped(KEY)),
        ),
        inbound("/print/open/a", vec![], &format!("k=1&key={KEY}&b=2")),
        inbound(
            "/print/open/a",
            vec![field("x-request-tag", &format!("Bearer {KEY}"))],
            "",
        ),
        inbound(
            "/print/orders/a",
            vec![keyed(KEY)],
            &format!("[\"{OTHER}\"]"),
        ),
    ];

    let results = places.map(|place| check(&place).unwrap_err());

    assert_eq!(results, [ErrorKind::KeyExposed; 6]);
}

/// Guards against ordinary requests that are refused because of text that resembles a key.
#[test]
fn request_without_a_known_key_is_not_refused() {
    let text = "{\"prompt\":\"A dream of %41 sardines \\u0041 and tokens=like:this/one\"}";
    let call = inbound("/print/orders/a?next=/b/c%2Fd", vec![keyed(KEY)], text);

    assert!(check(&call).is_ok());
}

/// Guards against key headers that are forwarded to the target, also if both of them are set.
#[test]
fn key_headers_are_not_passed_on() {
    let bearer = field("authorization", &format!("Bearer {KEY}"));
    let tag = field("x-request-tag", "t");
    let call = inbound("/print/orders/a", vec![bearer, keyed(KEY), tag.clone()], "");

    let authorized = check(&call).unwrap();

    assert_eq!(&*authorized.fields, &[tag]);
}

/// Guards against a request with two different keys, of which only one would be checked.
#[test]
fn two_different_keys_are_refused() {
    let bearer = field("authorization", &format!("Bearer {OTHER}"));
    let call = inbound("/print/orders/a", vec![bearer, keyed(KEY)], "");

    assert_eq!(check(&call).unwrap_err(), ErrorKind::BadKey);
}

/// Guards against a compressed body, in which a key cannot be found.
#[test]
fn compressed_body_is_refused() {
    let gzip = field("content-encoding", "gzip");
    let call = inbound("/print/orders/a", vec![keyed(KEY), gzip], "");

    assert_eq!(check(&call).unwrap_err(), ErrorKind::BadRequest);
}

/// Guards against a body that reaches a model engine although it is not a completions request.
#[test]
fn unreadable_body_on_a_model_route_is_refused() {
    let call = inbound(
        "/print/model/v1/completions",
        vec![keyed(KEY)],
        "{\"prompt\":",
    );

    assert_eq!(check(&call).unwrap_err(), ErrorKind::BadRequest);
}

/// Guards against a key that is accepted for a workspace of the same name in another team, or for
/// another workspace of its team.
#[test]
fn key_serves_only_its_own_workspace() {
    let cases = [
        ("/print/orders/a", KEY, None),
        ("/print.press/orders/a", OTHER, None),
        (
            "/print.press/orders/a",
            KEY,
            Some(ErrorKind::WrongWorkspace),
        ),
        ("/print/orders/a", OTHER, Some(ErrorKind::WrongWorkspace)),
        ("/print/others/a", KEY, Some(ErrorKind::WrongWorkspace)),
        ("/print%2Epress/orders/a", OTHER, Some(ErrorKind::NoRoute)),
        ("/Print/orders/a", KEY, Some(ErrorKind::NoRoute)),
    ];
    for (path, key, expected) in cases {
        let result = check(&inbound(path, vec![keyed(key)], ""));

        assert_eq!(result.err(), expected, "{path}");
    }
}

proptest! {
    /// Guards against a key that is not found because each character has a different encoding.
    #[test]
    fn mixed_encodings_do_not_hide_the_key(forms in proptest::collection::vec(0_u8..3, KEY.len())) {
        let mixed: String = KEY.bytes().zip(forms).map(|(b, form)| match form {
            0 => char::from(b).to_string(),
            1 => format!("%{b:02x}"),
            _ => format!("\\u{b:04X}"),
        }).collect();
        let call = inbound("/print/orders/a", vec![keyed(KEY)], &mixed);

        prop_assert_eq!(check(&call).unwrap_err(), ErrorKind::KeyExposed);
    }
}

/// Guards against a caller that sends orders to an engine or reads its status through a route.
#[test]
fn only_completions_paths_reach_an_engine() {
    let outside = [
        "/orders/load",
        "/status",
        "/v1/../orders/load",
        "/v1/%2e%2e/orders/load",
        "/v1//../orders/load",
        "/v1\\..\\orders",
        "/v1",
    ];

    for path in outside {
        let call = inbound(&format!("/print/model{path}"), vec![keyed(KEY)], "");
        assert_eq!(check(&call).unwrap_err(), ErrorKind::NoRoute, "{path}");
    }

    let inside = inbound("/print/model/v1/completions?n=1", vec![keyed(KEY)], "");
    assert_eq!(&*check(&inside).unwrap().path, "/v1/completions?n=1");
}
