//! Damaged, forged and replayed datagrams are refused with the right reason; valid ones open once.

use std::time;

use pier_types::{epochs, ids, times};
use pier_wire::{messages, seals};
use proptest::{collection, prelude::*, test_runner};

fn key() -> seals::WireKey {
    "a-key-of-enough-characters".parse().unwrap()
}

fn sealer(instance: u128) -> seals::DatagramSealer {
    let name = "node-1".parse::<ids::NodeName>().unwrap();
    seals::DatagramSealer::new(key(), name, seals::NodeInstance::new(instance))
}

fn opener() -> seals::DatagramOpener {
    seals::DatagramOpener::new(key(), seals::NodeInstance::new(99))
}

fn hint(version: u64) -> messages::PeerMessage {
    messages::PeerMessage::ConfigHint(epochs::ConfigVersion::new(version))
}

fn one_datagram(instance: u128) -> Vec<u8> {
    sealer(instance).seal(vec![hint(4)]).unwrap().remove(0)
}

const NOW: times::BootTime = times::BootTime::from_millis(5_000);

#[test]
fn every_truncation_is_refused() {
    let datagram = one_datagram(1);
    for length in 0..datagram.len() {
        let refusal = opener().open(&datagram[..length], NOW).unwrap_err();
        let expected = if length < 17 {
            seals::SealRefusal::Truncated
        } else {
            seals::SealRefusal::Forged
        };
        assert_eq!(refusal, expected, "at {length} bytes");
    }
}

#[test]
fn every_flipped_bit_is_refused() {
    let datagram = one_datagram(1);
    for bit in 0..datagram.len() * 8 {
        let mut damaged = datagram.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        let refusal = opener().open(&damaged, NOW).unwrap_err();
        let version = damaged[0];
        let expected = if bit < 8 {
            seals::SealRefusal::OtherVersion { found: version }
        } else {
            seals::SealRefusal::Forged
        };
        assert_eq!(refusal, expected, "bit {bit}");
    }
}

#[test]
fn datagrams_of_another_key_are_refused() {
    let other = "another-key-of-enough-length".parse().unwrap();
    let mut opener = seals::DatagramOpener::new(other, seals::NodeInstance::new(99));
    let refusal = opener.open(&one_datagram(1), NOW).unwrap_err();
    assert_eq!(refusal, seals::SealRefusal::Forged);
}

#[test]
fn replay_is_refused_and_a_new_instance_is_accepted() {
    let mut opener = opener();
    let datagram = one_datagram(1);
    assert!(opener.open(&datagram, NOW).is_ok());
    assert_eq!(
        opener.open(&datagram, NOW),
        Err(seals::SealRefusal::Replayed)
    );
    assert!(opener.open(&one_datagram(2), NOW).is_ok());
}

#[test]
fn echoed_and_oversized_datagrams_are_refused() {
    let mut opener = opener();
    let echo = opener.open(&one_datagram(99), NOW);
    assert_eq!(echo, Err(seals::SealRefusal::OwnEcho));
    let long = vec![1; seals::MAX_DATAGRAM_BYTES + 1];
    assert_eq!(opener.open(&long, NOW), Err(seals::SealRefusal::TooLong));
}

#[test]
fn replay_guard_evicts_and_expires_senders() {
    let expiry = time::Duration::from_mins(1);
    let mut guard = seals::ReplayGuard::new(8, expiry);
    let name = "node-1".parse::<ids::NodeName>().unwrap();
    for run in 0..100 {
        let now = times::BootTime::from_millis(u64::try_from(run).unwrap());
        assert!(guard.accept(&name, seals::NodeInstance::new(run), 1, now));
    }
    assert_eq!(guard.sender_count(), 8);
    let last = seals::NodeInstance::new(99);
    assert!(!guard.accept(&name, last, 1, times::BootTime::from_millis(200)));
    assert!(guard.accept(&name, seals::NodeInstance::new(500), 1, NOW.after(expiry)));
    assert_eq!(guard.sender_count(), 1);
}

#[test]
fn replay_window_accepts_each_number_once_in_any_order() {
    let config = ProptestConfig {
        cases: 64,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let numbers = collection::vec(1_u64..400, 1..300);
    let outcome = runner.run(&numbers, |numbers| {
        let mut window = seals::ReplayWindow::default();
        let mut accepted = std::collections::BTreeSet::new();
        let mut highest = 0;
        for number in numbers {
            let fresh = window.accept(number);
            let expected = number + 128 > highest && !accepted.contains(&number);
            prop_assert_eq!(fresh, expected);
            accepted.insert(number);
            highest = highest.max(number);
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn random_bytes_are_refused() {
    let config = ProptestConfig {
        cases: 128,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let bytes = collection::vec(any::<u8>(), 0..1_300);
    let outcome = runner.run(&bytes, |mut bytes| {
        prop_assert!(opener().open(&bytes, NOW).is_err());
        if let Some(version) = bytes.first_mut() {
            *version = 1;
        }
        prop_assert!(opener().open(&bytes, NOW).is_err());
        Ok(())
    });
    outcome.unwrap();
}
