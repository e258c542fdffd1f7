//! The open connections of this machine, from the kernel's list.

use std::{collections, fs, io, net};

use procfs::{FromBufReadSI as _, net as lists};

/// The kernel's connection lists for IPv4 and IPv6.
const LISTS: [&str; 2] = ["/proc/net/tcp", "/proc/net/tcp6"];

/// The callers with an open connection to one port, and what the kernel has yet to send to them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionTable {
    callers: collections::BTreeSet<net::SocketAddr>,
    unsent: collections::BTreeMap<net::SocketAddr, u32>,
}

impl ConnectionTable {
    /// Reads the kernel's lists; blocks briefly.
    ///
    /// # Errors
    ///
    /// Fails when a list cannot be read.
    pub fn load(port: u16) -> anyhow::Result<Self> {
        let mut table = Self::default();
        for list in LISTS {
            match fs::File::open(list) {
                Ok(file) => table.read(io::BufReader::new(file), port)?,
                // The machine does not support this address family.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(table)
    }

    /// Returns whether the kernel's lists show connections of this process; blocks briefly.
    ///
    /// # Errors
    ///
    /// Fails when a list cannot be read or the process cannot connect to itself.
    pub fn check() -> anyhow::Result<bool> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let caller = net::TcpStream::connect(address)?;
        let _accepted = listener.accept()?;
        Ok(Self::load(address.port())?.contains(caller.local_addr()?))
    }

    /// Adds the connections to a port from one list.
    ///
    /// # Errors
    ///
    /// Fails when the list cannot be read.
    pub fn read(&mut self, list: impl io::BufRead, port: u16) -> anyhow::Result<()> {
        let entries = lists::TcpNetEntries::from_buf_read(list, procfs::current_system_info())?
            .0
            .into_iter()
            .filter(|entry| entry.local_address.port() == port);
        for entry in entries {
            if entry.state == lists::TcpState::Established {
                self.callers.insert(entry.remote_address);
            }
            if entry.tx_queue > 0 && entry.state != lists::TcpState::Listen {
                self.unsent.insert(entry.remote_address, entry.tx_queue);
            }
        }
        Ok(())
    }

    /// Returns how many bytes callers have not acknowledged, by connection; closing ones count too.
    pub const fn unsent(&self) -> &collections::BTreeMap<net::SocketAddr, u32> {
        &self.unsent
    }

    /// Returns whether a caller's connection is open.
    ///
    /// An IPv4 caller may be listed under its IPv4-mapped IPv6 address.
    pub fn contains(&self, caller: net::SocketAddr) -> bool {
        let mapped = match caller.ip() {
            net::IpAddr::V4(ip) => net::IpAddr::V6(ip.to_ipv6_mapped()),
            other @ net::IpAddr::V6(_) => other,
        };
        let mapped = net::SocketAddr::new(mapped, caller.port());
        self.callers.contains(&caller) || self.callers.contains(&mapped)
    }
}
