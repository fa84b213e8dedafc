//! Crowds of clients that keep no rules, and what is seen of a process from outside.

#![allow(dead_code)] // Each test crate uses only some of the functions.

pub mod site;

use std::fs;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

/// Size of the pieces in which a body is sent that is not sent whole.
const PIECE_BYTES: usize = 16 << 10;

/// Pause of a client between two pieces, in which the pieces of the others arrive.
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// Time without progress after which a client sends nothing more and stays open.
const PATIENCE: Duration = Duration::from_secs(3);

/// Size of large chunks.
const LARGE_CHUNK_BYTES: usize = 256 << 10;

/// Largest of the very small chunks.
const MAX_SMALL_CHUNK_BYTES: usize = 16;

/// Interval at which the processor time of a process is compared.
const SETTLE_INTERVAL: Duration = Duration::from_millis(700);

/// Processor time in an interval up to which a process counts as idle, in ticks of 10 ms.
const MAX_IDLE_TICKS: u64 = 7;

/// Time after which a process is checked though it is not idle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How a client of a crowd sends its body.
#[derive(Clone, Copy, Debug)]
pub enum Sending {
    /// With a stated length, without a pause, one byte short of the end.
    Whole(usize),
    /// With a stated length, in pieces, one byte short of the end.
    Pieces(usize),
    /// In large chunks, without the last chunk.
    LargeChunks(usize),
    /// In chunks of 1 to 16 bytes, without the last chunk.
    SmallChunks(usize),
    /// A stated length of which only a part is sent.
    Announced {
        /// Length that is stated.
        stated: usize,
        /// Number of bytes that are sent.
        sent: usize,
    },
    /// The complete body.
    Complete,
    /// A head that does not end.
    HalfHead,
}

/// A crowd of clients, whose connections stay open until it is dropped.
pub struct Crowd {
    /// Answers that clients have got, as far as they were read. Empty for a client without one.
    pub answers: Vec<String>,
    _open: Vec<TcpStream>,
}

/// One client of a crowd.
#[derive(Clone, Debug)]
pub struct Client {
    pub address: SocketAddr,
    /// Method, path and headers, each line with its end, without that of the length.
    pub head: String,
    pub sending: Sending,
    /// Body, used only by `Sending::Complete`.
    pub body: Vec<u8>,
}

/// Returns a guard that keeps other crowds of this test program away.
pub fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    // A test that failed leaves nothing behind that matters to the next one.
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends the bodies of all clients at once, and returns when each client has sent what it sends or
/// makes no progress.
pub fn gather(runtime: &Runtime, clients: Vec<Client>) -> Crowd {
    let spawn = |client: Client| runtime.spawn(send(client));
    let running: Vec<JoinHandle<_>> = clients.into_iter().map(spawn).collect();
    let mut crowd = Crowd {
        answers: Vec::new(),
        _open: Vec::new(),
    };
    for client in running {
        let (answer, stream) = runtime.block_on(client).unwrap();
        crowd.answers.push(answer);
        crowd._open.extend(stream);
    }
    crowd
}

async fn send(client: Client) -> (String, Option<TcpStream>) {
    let Ok(mut stream) = TcpStream::connect(client.address).await else {
        return (String::new(), None);
    };
    // A client that is refused or closed stops to send; the test looks at the process alone.
    let _ = send_request(&mut stream, &client).await;
    let patience = match client.sending {
        Sending::Complete => PATIENCE * 10,
        _ => Duration::from_millis(200),
    };
    let mut buffer = vec![0; 1024];
    let read = timeout(patience, stream.read(&mut buffer)).await;
    let length = read.ok().and_then(Result::ok).unwrap_or(0);
    let answer = String::from_utf8_lossy(&buffer[..length]).into_owned();
    (answer, Some(stream))
}

async fn send_request(stream: &mut TcpStream, client: &Client) -> std::io::Result<()> {
    let head = &client.head;
    let stated = |length: usize| format!("{head}content-length: {length}\r\n\r\n");
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    match client.sending {
        Sending::Whole(length) => {
            write(stream, stated(length).as_bytes()).await?;
            write(stream, &vec![b'x'; length - 1]).await
        }
        Sending::Pieces(length) => {
            write(stream, stated(length).as_bytes()).await?;
            for piece in vec![b'x'; length - 1].chunks(PIECE_BYTES) {
                write(stream, piece).await?;
                sleep(PIECE_PAUSE).await;
            }
            Ok(())
        }
        Sending::LargeChunks(length) => {
            write(stream, chunked.as_bytes()).await?;
            for chunk in vec![b'x'; length].chunks(LARGE_CHUNK_BYTES) {
                write(stream, &encode_chunk(chunk)).await?;
            }
            Ok(())
        }
        Sending::SmallChunks(length) => {
            write(stream, chunked.as_bytes()).await?;
            for piece in small_chunks(length).chunks(PIECE_BYTES) {
                write(stream, piece).await?;
            }
            Ok(())
        }
        Sending::Announced {
            stated: length,
            sent,
        } => {
            write(stream, stated(length).as_bytes()).await?;
            for piece in vec![b'x'; sent].chunks(PIECE_BYTES) {
                write(stream, piece).await?;
            }
            Ok(())
        }
        Sending::Complete => {
            write(stream, stated(client.body.len()).as_bytes()).await?;
            write(stream, &client.body).await
        }
        Sending::HalfHead => write(stream, head.as_bytes()).await,
    }
}

/// Writes bytes for as long as the process reads them.
async fn write(stream: &mut TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(PATIENCE, stream.write(bytes)).await;
        let written = written.map_err(|_| std::io::ErrorKind::TimedOut)??;
        bytes = &bytes[written..];
    }
    Ok(())
}

fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Returns a body of this length in chunks of 1 to 16 bytes.
fn small_chunks(length: usize) -> Vec<u8> {
    let mut left = length;
    let mut text = Vec::new();
    for size in (1..=MAX_SMALL_CHUNK_BYTES).cycle() {
        if left < size {
            return text;
        }
        left -= size;
        text.extend(encode_chunk(&vec![b'x'; size]));
    }
    text
}

/// Waits until a process has taken in what it takes in of a crowd: until it uses almost no processor
/// time. What the kernel has accepted for it says nothing about the process.
pub fn settle(pid: u32) {
    let end = Instant::now() + SETTLE_TIMEOUT;
    let mut before = processor_ticks(pid);
    while Instant::now() < end {
        std::thread::sleep(SETTLE_INTERVAL);
        let now = processor_ticks(pid);
        if now - before <= MAX_IDLE_TICKS {
            return;
        }
        before = now;
    }
}

/// Returns the processor time that a process has used, in ticks of the kernel.
fn processor_ticks(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process has ended");
    let (_, fields) = stat.rsplit_once(") ").expect("the name in parentheses");
    // The 14th and 15th field of all, of which the first two stand before.
    let times = fields.split(' ').skip(11).take(2);
    times.map(|time| time.parse::<u64>().expect("a time")).sum()
}

/// Returns the largest resident memory that a process has had, in kilobytes.
pub fn peak_kilobytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("the process has ended");
    peak.trim()
        .trim_end_matches("kB")
        .trim()
        .parse()
        .expect("a number of kilobytes")
}

/// Returns the number of open descriptors of a process.
pub fn open_descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd"))
        .expect("the process has ended")
        .count()
}

/// Checks what must hold of a process while a crowd is there.
pub fn check_process(pid: u32, max_megabytes: u64, max_descriptors: usize) {
    let (peak, descriptors) = (peak_kilobytes(pid), open_descriptors(pid));
    println!("peak of {peak} kB, {descriptors} descriptors");
    assert!(
        peak <= max_megabytes << 10,
        "the process has used {peak} kB, more than {max_megabytes} MB"
    );
    assert!(
        descriptors <= max_descriptors,
        "the process has {descriptors} open descriptors, more than {max_descriptors}"
    );
}
