//! The connections of this machine by the kernel's list.

use std::{collections, fs, io, net};

/// The kernel's lists, of both families of addresses.
const LISTS: [&str; 2] = ["/proc/net/tcp", "/proc/net/tcp6"];

/// The state of a connection that neither side has closed.
const ESTABLISHED: &str = "01";

/// Hexadecimal digits of one word of an address.
const WORD_DIGITS: usize = 8;

/// The callers whose connections to one port are open.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionTable {
    callers: collections::BTreeSet<net::SocketAddr>,
}

impl ConnectionTable {
    /// Reads the kernel's lists; blocks for a moment.
    ///
    /// # Errors
    ///
    /// Fails when a list can not be read.
    pub fn load(port: u16) -> io::Result<Self> {
        let mut table = Self::default();
        for list in LISTS {
            match fs::read_to_string(list) {
                Ok(text) => table.add(&text, port),
                // A machine without this family of addresses.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => return Err(error),
            }
        }
        Ok(table)
    }

    /// Tells whether the kernel's lists show connections of this process; blocks for a moment.
    ///
    /// # Errors
    ///
    /// Fails when a list can not be read or no connection of the process to itself can be made.
    pub fn check() -> io::Result<bool> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let caller = net::TcpStream::connect(address)?;
        let _accepted = listener.accept()?;
        Ok(Self::load(address.port())?.contains(caller.local_addr()?))
    }

    /// Adds the open connections to a port out of one list.
    pub fn add(&mut self, text: &str, port: u16) {
        let found = text.lines().filter_map(|line| read_line(line, port));
        self.callers.extend(found);
    }

    /// Tells whether a caller's connection is open.
    pub fn contains(&self, caller: net::SocketAddr) -> bool {
        let mapped = match caller.ip() {
            net::IpAddr::V4(ip) => net::IpAddr::V6(ip.to_ipv6_mapped()),
            other @ net::IpAddr::V6(_) => other,
        };
        let mapped = net::SocketAddr::new(mapped, caller.port());
        self.callers.contains(&caller) || self.callers.contains(&mapped)
    }
}

/// Returns the far end of a line's connection if it is an open one to the port.
fn read_line(line: &str, port: u16) -> Option<net::SocketAddr> {
    let mut fields = line.split_ascii_whitespace().skip(1);
    let (local, remote, state) = (fields.next()?, fields.next()?, fields.next()?);
    let (_ip, local_port) = local.split_once(':')?;
    let is_wanted = u16::from_str_radix(local_port, 16).ok()? == port && state == ESTABLISHED;
    let (ip, remote_port) = remote.split_once(':')?;
    let remote_port = u16::from_str_radix(remote_port, 16).ok()?;
    is_wanted.then(|| Some(net::SocketAddr::new(read_ip(ip)?, remote_port)))?
}

/// Reads an address: words in the machine's order of bytes.
fn read_ip(text: &str) -> Option<net::IpAddr> {
    let mut bytes = Vec::new();
    for start in (0..text.len()).step_by(WORD_DIGITS) {
        let word = text.get(start..start + WORD_DIGITS)?;
        bytes.extend(u32::from_str_radix(word, 16).ok()?.to_ne_bytes());
    }
    if let Ok(bytes) = <[u8; 4]>::try_from(bytes.as_slice()) {
        return Some(bytes.into());
    }
    let bytes = <[u8; 16]>::try_from(bytes.as_slice()).ok()?;
    Some(bytes.into())
}
