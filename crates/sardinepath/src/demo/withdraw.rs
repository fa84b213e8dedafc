//! Withdrawal of a key while a caller that uses it is reading a stream.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;

use crate::demo::calls::CALL_TIMEOUT_SECONDS;
use crate::demo::fleet::Fleet;
use crate::demo::fleet::WORKSPACES;
use crate::demo::report::Summary;

/// Number of tokens of the stream. It would last 40 s, far longer than a withdrawal may take.
const STREAM_TOKENS: u32 = 20_000;

/// Starts a stream, withdraws its key and waits until the stream ends. Then checks that every entry
/// refuses the key.
pub fn run(fleet: &Fleet, summary: &mut Summary) -> anyhow::Result<()> {
    let workspace = &WORKSPACES[0];
    let mut lines = open_stream(fleet)?;
    wait_for(&mut lines, "data:").context("the stream did not start")?;
    let start = Instant::now();
    fleet.apply(&[workspace.key])?;
    let end = wait_for(&mut lines, "key_withdrawn")
        .context("the stream did not end with the withdrawal of its key")?;
    summary.withdrawal_millis = u64::try_from((end - start).as_millis()).unwrap_or(u64::MAX);
    summary.requests += 1;
    summary.refused += 1;
    for number in 0..fleet.entries.len() {
        summary.requests += 1;
        match is_refused(fleet, number) {
            true => summary.refused += 1,
            false => summary.lost += 1,
        }
    }
    Ok(())
}

fn open_stream(fleet: &Fleet) -> anyhow::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect(fleet.entry(0))?;
    stream.set_read_timeout(Some(Duration::from_secs(CALL_TIMEOUT_SECONDS)))?;
    let body = format!(r#"{{"prompt":"tag:long","max_tokens":{STREAM_TOKENS},"stream":true}}"#);
    write!(
        stream,
        "POST /press/press.suggest/v1/completions HTTP/1.1\r\nhost: demo\r\n\
         x-api-key: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        WORKSPACES[0].secret,
        body.len()
    )?;
    Ok(BufReader::new(stream))
}

/// Reads until a line contains the text, and returns the time at which that line arrived.
fn wait_for(lines: &mut impl BufRead, text: &str) -> anyhow::Result<Instant> {
    let mut line = Vec::new();
    loop {
        line.clear();
        if lines.read_until(b'\n', &mut line)? == 0 {
            bail!("the connection closed before {text:?} arrived");
        }
        if String::from_utf8_lossy(&line).contains(text) {
            return Ok(Instant::now());
        }
    }
}

/// Returns `true` if an entry refuses the withdrawn key within 5 s.
fn is_refused(fleet: &Fleet, number: usize) -> bool {
    let end = Instant::now() + Duration::from_secs(5);
    let url = format!(
        "http://{}/press/press.suggest/v1/completions",
        fleet.entry(number)
    );
    while Instant::now() < end {
        let answer = minreq::post(&url)
            .with_header("x-api-key", WORKSPACES[0].secret)
            .with_body(r#"{"prompt":"tag:late","max_tokens":4}"#)
            .with_timeout(CALL_TIMEOUT_SECONDS)
            .send();
        if answer.is_ok_and(|answer| answer.status_code == 401) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
