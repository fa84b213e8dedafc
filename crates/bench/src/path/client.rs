//! Blocking HTTP caller on one persistent connection. Each concurrent caller needs its own thread.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;

/// Timeout for each read of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Address, path prefix and key of the calls of a caller.
#[derive(Clone, Debug)]
pub(super) struct Destination {
    pub(super) address: SocketAddr,
    /// Prefix of the path that selects the route of an entry. Empty for direct calls.
    pub(super) prefix: &'static str,
    pub(super) key: Option<&'static str>,
}

/// Connection of a caller.
pub(super) struct Caller {
    stream: TcpStream,
    destination: Destination,
    buffer: Vec<u8>,
}

impl Caller {
    pub(super) fn connect(destination: &Destination) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(destination.address).context("could not connect")?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self {
            stream,
            destination: destination.clone(),
            buffer: Vec::new(),
        })
    }

    /// Sends a call and returns the time until its answer is complete. Fails unless the status is
    /// 200.
    pub(super) fn call(&mut self, path: &str, body: &str) -> anyhow::Result<Duration> {
        let start = Instant::now();
        self.send(path, body)?;
        self.buffer.clear();
        while !is_complete(&self.buffer) {
            self.read_chunk()?;
        }
        let elapsed = start.elapsed();
        self.check_status()?;
        Ok(elapsed)
    }

    /// Sends a call and returns the time until the first token of its streamed answer. The rest of
    /// the answer is not read.
    pub(super) fn open_stream(&mut self, path: &str, body: &str) -> anyhow::Result<Duration> {
        let start = Instant::now();
        self.send(path, body)?;
        self.await_token()?;
        Ok(start.elapsed())
    }

    /// Waits for the first token of the answer to the last call.
    pub(super) fn await_token(&mut self) -> anyhow::Result<()> {
        self.buffer.clear();
        while !contains(&self.buffer, b"\"text\"") {
            self.read_chunk()?;
        }
        self.check_status()
    }

    /// Sends a call without reading its answer.
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

    fn read_chunk(&mut self) -> anyhow::Result<()> {
        let mut chunk = [0; 4096];
        let size = self.stream.read(&mut chunk)?;
        if size == 0 {
            bail!("the connection was closed before the answer");
        }
        self.buffer.extend(&chunk[..size]);
        Ok(())
    }

    fn check_status(&self) -> anyhow::Result<()> {
        if !self.buffer.starts_with(b"HTTP/1.1 200") {
            bail!(
                "unexpected answer: {}",
                String::from_utf8_lossy(&self.buffer)
            );
        }
        Ok(())
    }
}

/// Returns `true` if the body is as long as its content length.
fn is_complete(answer: &[u8]) -> bool {
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

fn contains(text: &[u8], pattern: &[u8]) -> bool {
    text.windows(pattern.len()).any(|window| window == pattern)
}
