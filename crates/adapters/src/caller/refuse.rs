//! Answers callers with whom no HTTP exchange is under way, and closes their connections.

use std::io;
use std::time::Duration;

use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::caller::answer::error_body;
use crate::runtime::timeout;

/// Longest time for the last words on a connection.
const CLOSE_TIME: Duration = Duration::from_secs(2);

/// Most bytes read and dropped before a connection is closed. Closing with unread bytes resets
/// the connection, and the reset can overtake the answer.
const DISCARD_MOST: usize = 4 << 20;

/// Writes an error answer and closes the connection.
pub(super) async fn refuse(stream: TcpStream, kind: ErrorKind) {
    let _ = timeout(CLOSE_TIME, write(stream, kind)).await;
}

/// Closes a connection after its last answer.
pub(super) async fn close(mut stream: TcpStream) {
    let _ = timeout(CLOSE_TIME, drain(&mut stream)).await;
}

async fn write(mut stream: TcpStream, kind: ErrorKind) -> io::Result<()> {
    let failure = Failure::from(kind);
    let status = http::StatusCode::from_u16(kind.answer().status)
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let body = error_body(failure).to_string();
    let reply = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(reply.as_bytes()).await?;
    drain(&mut stream).await
}

async fn drain(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut buffer = [0; 4096];
    let mut dropped = 0;
    while dropped < DISCARD_MOST {
        match stream.read(&mut buffer).await? {
            0 => return Ok(()),
            n => dropped += n,
        }
    }
    Ok(())
}
