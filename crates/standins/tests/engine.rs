//! Tests of the model engine and of the completeness of its log.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

use common::open;
use common::read_all;
use common::wait_until;
use sardinepath_core::decision::prefix::prefix_hashes;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_standins::engine::Ending;
use sardinepath_standins::engine::Engine;
use sardinepath_standins::engine::EngineSettings;
use sardinepath_standins::engine::Script;
use serde_json::Value;
use serde_json::json;

fn start(change: impl FnOnce(&mut EngineSettings)) -> Engine {
    let mut settings = EngineSettings::default();
    change(&mut settings);
    Engine::start(settings).unwrap()
}

fn slow(settings: &mut EngineSettings) {
    settings.token_time = Duration::from_millis(20);
}

fn complete(engine: &Engine, prompt: &str, tokens: u64, stream: bool) -> TcpStream {
    prioritized(engine, prompt, tokens, stream, "interactive")
}

fn prioritized(
    engine: &Engine,
    prompt: &str,
    tokens: u64,
    stream: bool,
    priority: &str,
) -> TcpStream {
    let body = json!({"prompt": prompt, "max_tokens": tokens, "stream": stream}).to_string();
    let field = format!("x-priority: {priority}\r\n");
    open(engine.address, "/v1/completions", &field, &body)
}

/// Reads from a stream until it has received `text`, and returns all data read.
fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !String::from_utf8_lossy(&bytes).contains(text) {
        let length = stream.read(&mut buffer).unwrap();
        assert!(length > 0, "the connection closed before {text:?} arrived");
        bytes.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn load(engine: &Engine, version: u64, fence: u64) -> u16 {
    let body = json!({"model": "small", "version": version, "fence": fence}).to_string();
    let url = format!("http://{}/orders/load", engine.address);
    let answer = minreq::post(url).with_body(body).with_timeout(60).send();
    answer.unwrap().status_code
}

fn status(engine: &Engine, after: u64) -> Value {
    let url = format!("http://{}/status?after={after}", engine.address);
    let answer = minreq::get(url).with_timeout(60).send().unwrap();
    serde_json::from_slice(answer.as_bytes()).unwrap()
}

/// Returns the JSON values of all `data:` lines of a streamed answer.
fn chunks(answer: &str) -> Vec<Value> {
    let lines = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    lines
        .filter_map(|json| serde_json::from_str(json).ok())
        .collect()
}

fn text(chunks: &[Value]) -> String {
    let texts = chunks.iter().map(|chunk| &chunk["choices"][0]["text"]);
    texts.filter_map(Value::as_str).collect()
}

/// Guards against streams that are mixed up, truncated or executed twice under load.
#[test]
fn each_of_256_concurrent_streams_gets_its_own_complete_answer() {
    let engine = start(|settings| settings.capacity = 256);
    let prompt = |number: usize| format!("a dream of paper tag:t{number}");

    let streams: Vec<_> = (0..256)
        .map(|n| complete(&engine, &prompt(n), 40, true))
        .collect();
    let answers: Vec<_> = streams.into_iter().map(read_all).collect();

    for (number, answer) in answers.iter().enumerate() {
        assert!(answer.contains("data: [DONE]"), "stream {number} is short");
        let script = Script::new(&prompt(number), Some(40), 0);
        assert_eq!(text(&chunks(answer)), script.text());
        let executions = engine.log().tagged(&format!("t{number}"));
        assert_eq!(executions.len(), 1);
        assert_eq!(
            (executions[0].tokens, executions[0].ending),
            (40, Ending::Completed)
        );
    }
}

/// Guards against a complete answer without its token count or weight version.
#[test]
fn complete_answer_names_tokens_and_version() {
    let engine = start(|_| {});

    let answer = read_all(complete(&engine, "tag:w", 5, false));

    let body = answer.split("\r\n\r\n").nth(1).unwrap();
    let value: Value = serde_json::from_str(body).unwrap();
    assert_eq!(value["usage"]["completion_tokens"], 5);
    assert_eq!(value["weight_version"], 1);
    let script = Script::new("tag:w", Some(5), 0);
    assert_eq!(value["choices"][0]["text"], script.text());
}

/// Guards against a completion that continues to run after its caller has disconnected.
#[test]
fn closed_connection_cancels_the_completion() {
    let engine = start(slow);
    let mut stream = complete(&engine, "tag:gone", 30_000, true);
    read_until(&mut stream, "tag:gone");

    drop(stream);

    wait_until("the cancellation", || {
        engine.log().tagged("gone")[0].ending == Ending::Cancelled
    });
    assert!(engine.log().tagged("gone")[0].tokens < 30_000);
    assert_eq!(engine.load(), (0, 0));
}

/// Guards against a slot that stays occupied until the first token although the caller has
/// disconnected before.
#[test]
fn closed_connection_frees_the_slot_before_the_first_token() {
    let engine = start(|_| {});
    engine.set_faults(|faults| faults.delay = Duration::from_secs(3600));
    let stream = complete(&engine, "tag:early", 5, true);
    wait_until("the start", || engine.load() == (1, 0));

    drop(stream);

    wait_until("the free slot", || engine.load() == (0, 0));
    let execution = &engine.log().tagged("early")[0];
    assert_eq!((execution.tokens, execution.ending), (0, Ending::Cancelled));
}

/// Guards against chunks whose version is not that of the weights that generated their tokens.
#[test]
fn swap_in_mid_stream_changes_the_version_of_later_chunks() {
    let engine = start(slow);
    let mut stream = complete(&engine, "tag:swap", 200, true);
    let begin = read_until(&mut stream, "tag:swap");

    assert_eq!(load(&engine, 2, 1), 200);

    let chunks = chunks(&format!("{begin}{}", read_all(stream)));
    let mut versions: Vec<_> = chunks
        .iter()
        .map(|c| c["weight_version"].as_u64())
        .collect();
    versions.dedup();
    assert_eq!(versions, [Some(1), Some(2)]);
    let executions = engine.log().tagged("swap");
    assert_eq!(executions[0].versions, [WeightVersion(1), WeightVersion(2)]);
}

/// Guards against a failed swap that changes the reported version.
#[test]
fn failed_swap_keeps_the_old_version() {
    let engine = start(|_| {});
    engine.set_faults(|faults| faults.fail_swaps = 1);

    let failed = load(&engine, 2, 1);
    let kept = status(&engine, 0);
    let repeated = load(&engine, 2, 1);

    assert_eq!((failed, &kept["version"]), (500, &json!(1)));
    assert_eq!((repeated, &status(&engine, 0)["version"]), (200, &json!(2)));
}

/// Guards against an engine that carries out an order of a previous lease holder.
#[test]
fn old_fence_is_refused_only_where_it_is_checked() {
    let checking = start(|_| {});
    let trusting = start(|settings| settings.checks_fence = false);

    let codes = [&checking, &trusting].map(|engine| (load(engine, 3, 7), load(engine, 2, 6)));

    assert_eq!(codes, [(200, 409), (200, 200)]);
    assert_eq!(status(&checking, 0)["version"], 3);
    assert_eq!(status(&trusting, 0)["version"], 2);
    let accepted: Vec<_> = checking.log().orders.iter().map(|o| o.accepted).collect();
    assert_eq!(accepted, [true, false]);
}

/// Guards against a crash that a client sees as a complete answer, or that clears the log.
#[test]
fn crash_breaks_streams_and_clears_all_but_the_log() {
    let engine = start(slow);
    assert_eq!(load(&engine, 2, 1), 200);
    let mut stream = complete(
        &engine,
        &format!("{} tag:crash", "x".repeat(64)),
        30_000,
        true,
    );
    read_until(&mut stream, "tag:crash");

    engine.crash();

    assert!(!read_all(stream).contains("[DONE]"));
    assert!(TcpStream::connect(engine.address).is_err());
    assert_eq!(engine.log().tagged("crash")[0].ending, Ending::Crashed);
    engine.restart().unwrap();
    let status = status(&engine, 1);
    assert_eq!(
        (&status["version"], &status["gap"]),
        (&json!(1), &json!(true))
    );
}

/// Guards against a truncated answer that a client could take for a complete one.
#[test]
fn truncated_answers_break_off_in_both_forms() {
    let engine = start(|_| {});
    engine.set_faults(|faults| faults.truncate = 2);

    let streamed = read_all(complete(&engine, "tag:cut", 20, true));
    let whole = read_all(complete(&engine, "tag:cut", 20, false));

    assert_eq!(chunks(&streamed).len(), 10);
    assert!(!streamed.contains("[DONE]") && !streamed.ends_with("0\r\n\r\n"));
    assert!(whole.contains("tag:cut") && !whole.ends_with("0\r\n\r\n"));
    let endings: Vec<_> = engine
        .log()
        .tagged("cut")
        .iter()
        .map(|e| e.ending)
        .collect();
    assert_eq!(endings, [Ending::Truncated, Ending::Truncated]);
}

/// Guards against a stopped stream that already HTTP reports as incomplete. Tests of clients could
/// then not show that a missing closing event is detected.
#[test]
fn stopped_stream_ends_cleanly_without_its_closing_event() {
    let engine = start(|_| {});
    engine.set_faults(|faults| faults.stop = 1);

    let answer = read_all(complete(&engine, "tag:stop", 20, true));

    assert!(!answer.contains("[DONE]") && answer.ends_with("0\r\n\r\n"));
    assert_eq!(engine.log().tagged("stop")[0].ending, Ending::Truncated);
}

/// Guards against a role that the status does not show, or that a previous lease holder sets.
#[test]
fn role_changes_only_with_a_current_fence() {
    let engine = start(|_| {});
    let order = |role: &str, fence: u64| {
        let body = json!({"role": role, "fence": fence}).to_string();
        let answer = read_all(open(engine.address, "/orders/role", "", &body));
        answer.starts_with("HTTP/1.1 200")
    };

    let accepted = [order("decode", 7), order("prefill", 6)];

    assert_eq!(accepted, [true, false]);
    assert_eq!(status(&engine, 0)["role"], "decode");
}

/// Guards against a refusal with `x-not-run` for a request that was executed.
#[test]
fn refused_request_is_seen_but_not_executed() {
    let engine = start(|_| {});
    engine.set_faults(|faults| faults.refuse = 1);

    let answer = read_all(complete(&engine, "tag:no", 5, true));

    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("x-not-run: 1"));
    let log = engine.log();
    assert!(log.tagged("no").is_empty());
    assert!(String::from_utf8_lossy(&log.requests[0].body).contains("tag:no"));
}

/// Guards against a queue that ignores priorities.
#[test]
fn training_overtakes_waiting_batch_work() {
    let engine = start(|settings| {
        slow(settings);
        settings.capacity = 1;
    });
    let mut first = complete(&engine, "tag:first", 30_000, true);
    read_until(&mut first, "tag:first");
    let batch = prioritized(&engine, "tag:batch", 2, false, "batch");
    wait_until("the batch request's arrival", || engine.load().1 == 1);
    let training = prioritized(&engine, "tag:training", 2, false, "training");
    wait_until("the training request's arrival", || engine.load().1 == 2);

    drop(first);
    read_all(batch);
    read_all(training);

    let order: Vec<_> = engine.log().executions.into_iter().map(|e| e.tag).collect();
    assert_eq!(order, ["first", "training", "batch"]);
}

/// Guards against an unlimited cache, and against a dropped event that readers cannot detect.
#[test]
fn cache_events_show_additions_evictions_and_gaps() {
    let engine = start(|settings| settings.cache_blocks = 2);
    let prompt = |letter: &str| letter.repeat(64);
    let run = |letter: &str| read_all(complete(&engine, &prompt(letter), 1, false));
    run("a");
    run("b");
    run("c");

    let all = status(&engine, 0);
    engine.lose_events(1);
    run("d");
    let later = status(&engine, 4);

    let hash = |letter: &str| prefix_hashes(&prompt(letter))[0];
    assert_eq!(all["cached"], json!([hash("a"), hash("b"), hash("c")]));
    assert_eq!(all["evicted"], json!([hash("a")]));
    assert_eq!((&all["sequence"], &all["gap"]), (&json!(4), &json!(false)));
    assert_eq!(
        (&later["sequence"], &later["gap"]),
        (&json!(6), &json!(true))
    );
}

/// Guards against a status that shows load or cache events before their lag has passed.
#[test]
fn status_shows_load_and_cache_only_after_their_lag() {
    let hour = Duration::from_secs(3600);
    let engine = start(|settings| {
        slow(settings);
        settings.load_lag = hour;
        settings.event_lag = hour;
    });
    let mut stream = complete(
        &engine,
        &format!("{} tag:lag", "x".repeat(64)),
        30_000,
        true,
    );
    read_until(&mut stream, "tag:lag");

    let status = status(&engine, 0);

    assert_eq!(engine.load(), (1, 0));
    assert_eq!(
        (&status["running"], &status["sequence"]),
        (&json!(0), &json!(0))
    );
}

/// Guards against a hanging engine that answers, or that stays silent after the fault is reset.
#[test]
fn hanging_engine_is_silent_until_it_recovers() {
    let engine = start(|_| {});
    engine.set_faults(|faults| faults.hang = true);
    let url = format!("http://{}/status?after=0", engine.address);

    let silent = minreq::get(url).with_timeout(1).send();
    engine.set_faults(|faults| faults.hang = false);

    assert!(silent.is_err());
    assert_eq!(status(&engine, 0)["capacity"], 64);
}
