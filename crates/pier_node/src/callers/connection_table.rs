//! The connections of this machine by the kernel's list.

use std::{collections, fs, io, net};

use procfs::{FromBufReadSI as _, net as lists};

/// The kernel's lists, of both families of addresses.
const LISTS: [&str; 2] = ["/proc/net/tcp", "/proc/net/tcp6"];

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
    pub fn load(port: u16) -> anyhow::Result<Self> {
        let mut table = Self::default();
        for list in LISTS {
            match fs::File::open(list) {
                Ok(file) => table.read(io::BufReader::new(file), port)?,
                // A machine without this family of addresses.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(table)
    }

    /// Tells whether the kernel's lists show connections of this process; blocks for a moment.
    ///
    /// # Errors
    ///
    /// Fails when a list can not be read or no connection of the process to itself can be made.
    pub fn check() -> anyhow::Result<bool> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let caller = net::TcpStream::connect(address)?;
        let _accepted = listener.accept()?;
        Ok(Self::load(address.port())?.contains(caller.local_addr()?))
    }

    /// Adds the open connections to a port out of one list.
    ///
    /// # Errors
    ///
    /// Fails when the list can not be read.
    pub fn read(&mut self, list: impl io::BufRead, port: u16) -> anyhow::Result<()> {
        let entries = lists::TcpNetEntries::from_buf_read(list, procfs::current_system_info())?
            .0
            .into_iter();
        let open = entries.filter(|entry| {
            entry.local_address.port() == port && entry.state == lists::TcpState::Established
        });
        self.callers.extend(open.map(|entry| entry.remote_address));
        Ok(())
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
