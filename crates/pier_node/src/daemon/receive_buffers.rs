//! Limits what the system receives for a server before it is read.

use std::{fs, net};

use anyhow::Context as _;
use rustix::process;

/// Bytes that a connection may receive before they are read; the system adds as much for itself. A caller
/// at 100 ms sends eight megabytes in half the default time for a body.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Limits the receive buffers of the connections that a server of this process accepts.
///
/// Rocket keeps its listener to itself. A second descriptor of the listener has the same options, which
/// the connections inherit.
///
/// # Errors
///
/// Fails when no listener with the address is found, or the system does not allow the change.
pub(super) fn limit(address: net::SocketAddr) -> anyhow::Result<()> {
    let this = process::pidfd_open(process::getpid(), process::PidfdFlags::empty())?;
    for entry in fs::read_dir("/proc/self/fd")? {
        let name = entry?.file_name();
        let Some(number) = name.to_str().and_then(|name| name.parse().ok()) else {
            continue;
        };
        let flags = process::PidfdGetfdFlags::empty();
        let Ok(descriptor) = process::pidfd_getfd(&this, number, flags) else {
            continue;
        };
        let socket = socket2::Socket::from(descriptor);
        let listens = socket.is_listener().unwrap_or(false);
        let local = socket.local_addr().ok().and_then(|local| local.as_socket());
        if listens && local == Some(address) {
            let limited = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
            return limited.context("setting the size of the receive buffer");
        }
    }
    anyhow::bail!("no listener at {address}")
}
