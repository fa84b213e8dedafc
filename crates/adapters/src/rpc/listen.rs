//! Listeners of the gRPC servers.

use std::net::SocketAddr;
use std::net::TcpListener;

use anyhow::Context as _;
use tonic::transport::server::TcpIncoming;

use crate::runtime::Spawner;

/// Registers a listener with the runtime and returns its address and incoming connections.
pub(super) fn incoming(
    spawner: &Spawner,
    listener: TcpListener,
) -> anyhow::Result<(SocketAddr, TcpIncoming)> {
    let address = listener.local_addr().context("listener has no address")?;
    listener.set_nonblocking(true)?;
    let _context = spawner.enter();
    // `Server::tcp_nodelay` has no effect on an existing listener. Without the option the last
    // frames of a response wait 40 ms for a delayed acknowledgement.
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Ok((address, incoming))
}
