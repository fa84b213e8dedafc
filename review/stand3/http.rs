//! HTTP/1.1 over blocking sockets: a server with one thread a connection, and a client.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Interval at which a listener looks for new channels.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method of a request.
    pub method: String,
    /// Path and query of a request.
    pub path: String,
    /// Status of a response.
    pub status: u16,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the path without the query.
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }

    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.path.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// What a handler does with its connection.
pub enum Next {
    /// Send this response and read the next request.
    Answer(u16, Vec<(String, String)>, Vec<u8>),
    /// Close the connection. The handler may have written to it.
    Close,
}

/// Serves requests on a free port of an address. Returns the address.
pub fn serve<F>(ip: IpAddr, handle: F) -> SocketAddr
where
    F: Fn(&Message, &mut TcpStream) -> Next + Send + Sync + 'static,
{
    serve_until(ip, Arc::default(), handle)
}

/// The same until `gone` is set, from which on new channels are refused.
pub fn serve_until<F>(ip: IpAddr, gone: Arc<AtomicBool>, handle: F) -> SocketAddr
where
    F: Fn(&Message, &mut TcpStream) -> Next + Send + Sync + 'static,
{
    let listener = TcpListener::bind((ip, 0)).expect("a free loopback port");
    let address = listener.local_addr().expect("the address of a listener");
    let handle = Arc::new(handle);
    listener
        .set_nonblocking(true)
        .expect("a listener that does not block");
    thread::spawn(move || {
        while !gone.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let handle = handle.clone();
            let _ = stream.set_nonblocking(false);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    address
}

fn serve_connection<F>(stream: TcpStream, handle: &F)
where
    F: Fn(&Message, &mut TcpStream) -> Next,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        match handle(&request, &mut writer) {
            Next::Answer(status, headers, body) => {
                let mut text = format!("HTTP/1.1 {status} X\r\n");
                for (name, value) in headers {
                    text.push_str(&format!("{name}: {value}\r\n"));
                }
                text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
                let mut bytes = text.into_bytes();
                bytes.extend(body);
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            Next::Close => break,
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
}

/// Reads a request or response to the end of its body.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut words = line.split_whitespace();
    let first = words.next()?.to_owned();
    if first.starts_with("HTTP/") {
        message.status = words.next()?.parse().ok()?;
    } else {
        message.method = first;
        message.path = words.next()?.to_owned();
    }
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let name = name.to_ascii_lowercase();
        message.headers.push((name, value.trim().to_owned()));
    }
    if message.header("transfer-encoding").contains("chunked") {
        read_chunks(reader, &mut message.body)?;
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// Sends a request on a new channel. Returns `None` if no whole answer comes within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    read_message(&mut BufReader::new(stream))
}
