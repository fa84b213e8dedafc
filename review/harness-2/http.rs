//! A blocking HTTP/1.1 server and client, as far as the stand-ins need them.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or response: its first line, headers with lower-case names, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Returns the path with its query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message. Returns `None` at the end of the channel.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        let entry = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(entry);
    }
}

/// Reads a whole message. A response without a length ends with its channel.
pub fn read(reader: &mut impl BufRead, response: bool) -> Option<Message> {
    let mut message = read_head(reader)?;
    let chunked = message.header("transfer-encoding").is_some();
    let length: Option<usize> = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    match length {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body).ok()?;
        }
        None if response => {
            reader.read_to_end(&mut message.body).ok()?;
        }
        None => {}
    }
    Some(message)
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves channels, each in a thread of its own. A channel ends when `handle` returns `false`.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read(&mut reader, false) {
                    if !handle(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Sends a request on a new channel and reads the whole answer within a time.
pub fn call(address: SocketAddr, request: &str, body: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut bytes = request.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    read(&mut BufReader::new(stream), true)
}

/// Closes a channel with a reset, as a replica does whose answer is lost.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    let length = std::mem::size_of::<Linger>() as u32;
    // SAFETY: the descriptor is open and the value has the size that is stated.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length) };
}
