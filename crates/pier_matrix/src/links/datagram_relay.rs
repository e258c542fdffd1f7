//! Forwards the datagrams of one node to another.

use std::sync;

use pier_types::times::clocks;
use pier_wire::{messages, seals};
use tokio::net;

use crate::links;

/// Forwards datagrams in one direction.
///
/// Nodes exchange addresses in their membership messages. The relay opens each datagram, replaces
/// these addresses by those of the relays, and seals it again, so that no node bypasses the relays.
#[derive(Debug)]
pub(super) struct DatagramRelay {
    /// Name of the node that sends.
    pub(super) sender: String,
    /// Name of the node that receives.
    pub(super) receiver: String,
    /// Socket to which the sender sends.
    pub(super) inlet: sync::Arc<net::UdpSocket>,
    /// Socket from which the receiver gets the datagrams.
    pub(super) outlet: sync::Arc<net::UdpSocket>,
    /// Tells whether the direction is cut.
    pub(super) switch: links::LinkSwitch,
    /// The addresses of all nodes.
    pub(super) address_book: sync::Arc<sync::Mutex<links::AddressBook>>,
    /// The key that all nodes share.
    pub(super) key: seals::WireKey,
}

impl DatagramRelay {
    /// Relays until the task is aborted; datagrams that cannot be relayed are dropped.
    pub(super) async fn run(self) {
        let mut opener =
            seals::DatagramOpener::new(self.key.clone(), seals::NodeInstance::new(u128::MAX));
        let mut sealer = None;
        let mut buffer = vec![0; seals::MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok(length) = self.inlet.recv(&mut buffer).await else {
                continue;
            };
            if self.switch.is_cut() {
                continue;
            }
            if let Ok(opened) = opener.open(&buffer[..length], clocks::boot_now()) {
                self.forward(opened, &mut sealer).await;
            }
        }
    }

    async fn forward(
        &self,
        opened: seals::OpenedDatagram,
        sealer: &mut Option<seals::DatagramSealer>,
    ) {
        let Some((receiver, messages)) = self.translate(opened.messages) else {
            return;
        };
        let sealer = sealer.get_or_insert_with(|| {
            seals::DatagramSealer::new(self.key.clone(), opened.sender, opened.instance)
        });
        for datagram in sealer.seal(messages).unwrap_or_default() {
            let _lost = self.outlet.send_to(&datagram, receiver).await;
        }
    }

    /// Returns the receiver's address and the messages with translated addresses.
    ///
    /// Returns `None` until the receiver's address is known.
    fn translate(
        &self,
        messages: Vec<messages::PeerMessage>,
    ) -> Option<(std::net::SocketAddr, Vec<messages::PeerMessage>)> {
        let address_book = self.address_book.lock();
        let address_book = address_book.unwrap_or_else(sync::PoisonError::into_inner);
        let receiver = address_book.bound(&self.receiver)?;
        let messages = messages.into_iter();
        let messages = messages.map(|message| match message {
            messages::PeerMessage::Members(entries) => {
                let entries = entries.into_iter();
                let entries =
                    entries.filter_map(|entry| self.translate_entry(&address_book, entry));
                messages::PeerMessage::Members(entries.collect())
            }
            other => other,
        });
        Some((receiver, messages.collect()))
    }

    fn translate_entry(
        &self,
        address_book: &links::AddressBook,
        mut entry: messages::MemberEntry,
    ) -> Option<messages::MemberEntry> {
        entry.address = address_book.translate(entry.address, &self.sender, &self.receiver)?;
        Some(entry)
    }
}
