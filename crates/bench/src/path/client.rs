//! A caller on one kept connection. It blocks, so each concurrent caller is a thread.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;

/// Longest wait for bytes of an answer.
const READ_LIMIT: Duration = Duration::from_secs(30);

/// Where calls go and what they carry.
#[derive(Clone, Debug)]
pub(super) struct Destination {
    pub(super) address: SocketAddr,
    /// Path before the path of the target.
    pub(super) prefix: &'static str,
    pub(super) key: Option<&'static str>,
}

/// A caller's connection.
pub(super) struct Caller {
    stream: TcpStream,
    destination: Destination,
    buffer: Vec<u8>,
}

impl Caller {
    pub(super) fn connect(destination: &Destination) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(destination.address).context("could not connect")?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_LIMIT))?;
        Ok(Self {
            stream,
            destination: destination.clone(),
            buffer: Vec::new(),
        })
    }

    /// Sends a call and returns the time to its whole answer, which must be a success.
    pub(super) fn call(&mut self, path: &str, body: &str) -> anyhow::Result<Duration> {
        let start = Instant::now();
        self.send(path, body)?;
        self.buffer.clear();
        while !is_whole(&self.buffer) {
            self.read()?;
        }
        let taken = start.elapsed();
        self.check()?;
        Ok(taken)
    }

    /// Sends a call and returns the time to the first token of its streamed answer. The rest of
    /// the answer stays unread.
    pub(super) fn open(&mut self, path: &str, body: &str) -> anyhow::Result<Duration> {
        let start = Instant::now();
        self.send(path, body)?;
        self.await_token()?;
        Ok(start.elapsed())
    }

    /// Waits for the first token of the answer to a call that was sent.
    pub(super) fn await_token(&mut self) -> anyhow::Result<()> {
        self.buffer.clear();
        while !contains(&self.buffer, b"\"text\"") {
            self.read()?;
        }
        self.check()
    }

    /// Sends a call and leaves its answer unread.
    pub(super) fn send(&mut self, path: &str, body: &str) -> anyhow::Result<()> {
        let Destination { prefix, key, .. } = self.destination;
        let key = key.map_or(String::new(), |key| {
            format!("authorization: Bearer {key}\r\n")
        });
        let request = format!(
            "POST {prefix}{path} HTTP/1.1\r\nhost: bench\r\n{key}content-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(request.as_bytes())?;
        Ok(())
    }

    fn read(&mut self) -> anyhow::Result<()> {
        let mut part = [0; 4096];
        let size = self.stream.read(&mut part)?;
        if size == 0 {
            bail!("the connection was closed before the answer");
        }
        self.buffer.extend(&part[..size]);
        Ok(())
    }

    fn check(&self) -> anyhow::Result<()> {
        if !self.buffer.starts_with(b"HTTP/1.1 200") {
            bail!("answer: {}", String::from_utf8_lossy(&self.buffer));
        }
        Ok(())
    }
}

/// Tells whether the body is as long as the head says.
fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|length| length.parse::<usize>().ok());
    length.is_some_and(|length| body.len() >= length)
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
