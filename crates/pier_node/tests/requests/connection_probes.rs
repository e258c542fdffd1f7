//! Connections to targets survive lost keep-alive probes.

use std::{fs, net, os::fd, time};

use pier_node::requests;
use rustix::process;
use tokio::net::TcpListener;

/// Fewest probes that have to go unanswered before a connection ends.
const MIN_PROBES: u128 = 4;

/// Shortest time between the first of these probes and the end of the connection.
const MIN_SPAN: time::Duration = time::Duration::from_secs(10);

/// Returns a duplicate of this process' socket that is connected to an address.
fn socket_to(peer: net::SocketAddr) -> Option<fd::OwnedFd> {
    let own = process::pidfd_open(process::getpid(), process::PidfdFlags::empty()).unwrap();
    let numbers = fs::read_dir("/proc/self/fd").unwrap();
    let numbers = numbers.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    let mut duplicates = numbers.filter_map(|number| {
        process::pidfd_getfd(&own, number, process::PidfdGetfdFlags::empty()).ok()
    });
    duplicates.find(|duplicate| {
        let address = socket2::SockRef::from(duplicate).peer_addr();
        address.is_ok_and(|address| address.as_socket() == Some(peer))
    })
}

/// Guards against a connection that ends because a single keep-alive probe met a silence of its
/// target: a time-out for unacknowledged bytes decides over probes too, whatever their count.
#[tokio::test(flavor = "multi_thread")]
async fn one_lost_probe_ends_no_connection() {
    let pooled = requests::target_client::pooled().unwrap();
    let one_time = requests::target_client::one_time().unwrap();
    for client in [pooled, one_time] {
        let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = target.local_addr().unwrap();
        let waiting = tokio::spawn(client.get(format!("http://{address}/")).send());
        let _connection = target.accept().await.unwrap();
        let socket = socket_to(address).unwrap();
        let socket = socket2::SockRef::from(&socket);
        let idle = socket.tcp_keepalive_time().unwrap();
        let interval = socket.tcp_keepalive_interval().unwrap();
        let limit = socket.tcp_user_timeout().unwrap().unwrap();
        let span = limit.saturating_sub(idle);
        let probes = span.as_nanos().div_ceil(interval.as_nanos());
        assert!(
            probes >= MIN_PROBES && span >= MIN_SPAN,
            "probes after {idle:?}, each {interval:?}, end the connection after {limit:?}"
        );
        waiting.abort();
    }
}
