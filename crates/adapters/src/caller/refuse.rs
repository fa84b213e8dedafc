//! Refuses connections on which no HTTP exchange is in progress, and closes connections.

use std::io;
use std::time::Duration;

use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::caller::response::error_body;
use crate::runtime::timeout;

/// Time limit for sending an error response and closing the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes that are read and discarded before a connection is closed. Closing with
/// unread bytes resets the connection, and the reset can overtake the response.
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// Sends an error response and closes the connection.
pub(super) async fn refuse(stream: TcpStream, kind: ErrorKind) {
    let _ = timeout(CLOSE_TIMEOUT, write_error(stream, kind)).await;
}

/// Closes a connection after its last response.
pub(super) async fn close(mut stream: TcpStream) {
    let _ = timeout(CLOSE_TIMEOUT, finish(&mut stream)).await;
}

async fn write_error(mut stream: TcpStream, kind: ErrorKind) -> io::Result<()> {
    let failure = Failure::from(kind);
    let status = http::StatusCode::from_u16(kind.answer().status)
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let body = error_body(failure).to_string();
    let response = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(response.as_bytes()).await?;
    finish(&mut stream).await
}

/// Shuts down the sending side, and reads and discards input until the caller closes.
async fn finish(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut buffer = [0; 4096];
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        match stream.read(&mut buffer).await? {
            0 => return Ok(()),
            n => discarded += n,
        }
    }
    Ok(())
}
