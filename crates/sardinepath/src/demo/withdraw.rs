//! Withdraws a key while its caller is reading a stream.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;

use crate::demo::calls::CALL_LIMIT;
use crate::demo::fleet::Fleet;
use crate::demo::fleet::WORKSPACES;
use crate::demo::report::Summary;

/// Tokens of the stream. It would last for 40 s, far longer than a withdrawal may take.
const TOKENS: u32 = 20_000;

/// Starts a stream, withdraws its key and waits for the end of the stream.
pub fn play(fleet: &Fleet, summary: &mut Summary) -> anyhow::Result<()> {
    let item = &WORKSPACES[0];
    let mut lines = open_stream(fleet)?;
    wait_for(&mut lines, "data:").context("the stream did not start")?;
    let start = Instant::now();
    fleet.apply(&[item.key])?;
    let end = wait_for(&mut lines, "key_withdrawn").context("the stream went on")?;
    summary.withdrawal_millis = u64::try_from((end - start).as_millis()).unwrap_or(u64::MAX);
    summary.requests += 1;
    summary.refused += 1;
    for number in 0..fleet.entries.len() {
        summary.requests += 1;
        match refused(fleet, number) {
            true => summary.refused += 1,
            false => summary.lost += 1,
        }
    }
    Ok(())
}

fn open_stream(fleet: &Fleet) -> anyhow::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect(fleet.entry(0))?;
    stream.set_read_timeout(Some(Duration::from_secs(CALL_LIMIT)))?;
    let body = format!(r#"{{"prompt":"tag:long","max_tokens":{TOKENS},"stream":true}}"#);
    write!(
        stream,
        "POST /press/press.suggest/v1/completions HTTP/1.1\r\nhost: demo\r\n\
         x-api-key: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        WORKSPACES[0].secret,
        body.len()
    )?;
    Ok(BufReader::new(stream))
}

/// Reads until a line holds the text, and returns the time at which it came.
fn wait_for(lines: &mut impl BufRead, text: &str) -> anyhow::Result<Instant> {
    let mut line = Vec::new();
    loop {
        line.clear();
        if lines.read_until(b'\n', &mut line)? == 0 {
            bail!("the connection closed before {text:?} came");
        }
        if String::from_utf8_lossy(&line).contains(text) {
            return Ok(Instant::now());
        }
    }
}

/// Tells whether an entry refuses the withdrawn key. Every entry has the same few seconds for it.
fn refused(fleet: &Fleet, number: usize) -> bool {
    let end = Instant::now() + Duration::from_secs(5);
    let url = format!(
        "http://{}/press/press.suggest/v1/completions",
        fleet.entry(number)
    );
    while Instant::now() < end {
        let answer = minreq::post(&url)
            .with_header("x-api-key", WORKSPACES[0].secret)
            .with_body(r#"{"prompt":"tag:late","max_tokens":4}"#)
            .with_timeout(CALL_LIMIT)
            .send();
        if answer.is_ok_and(|answer| answer.status_code == 401) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
