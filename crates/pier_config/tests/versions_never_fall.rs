//! Guards against a node that goes back to a lower version when copies and hints are stale or
//! arrive in any order.

use std::sync;

use pier_config::{documents, watches};
use pier_types::{epochs, times};
use proptest::{prelude::*, test_runner};

const SAMPLE: &str = include_str!("../../../examples/tarifas.ini");
const SEED: [u8; 32] = [7; 32];
const CASES: u32 = 200;

fn text(version: u64) -> sync::Arc<str> {
    SAMPLE
        .replacen("tarifas", &format!("tarifas-{version}"), 1)
        .into()
}

fn copy(version: u64, source: watches::ConfigSource) -> watches::ConfigCopy {
    // Every fifth version is invalid.
    let text = if version.is_multiple_of(5) {
        "[bad]".into()
    } else {
        text(version)
    };
    watches::ConfigCopy {
        version: epochs::ConfigVersion::new(version),
        text,
        source,
    }
}

fn peer(name: &str) -> watches::ConfigSource {
    watches::ConfigSource::Peer(name.parse().unwrap())
}

fn applied(actions: &[watches::WatchAction]) -> Vec<u64> {
    let records = actions.iter().filter_map(|action| match action {
        watches::WatchAction::Apply(record) => Some(record.version.get()),
        _ => None,
    });
    records.collect()
}

/// Returns a watcher that is past its start-up wait and has a version in force.
fn started_watcher(version: u64) -> watches::ConfigWatcher {
    let mut watcher = watches::ConfigWatcher::new(times::BootTime::default());
    let now = times::BootTime::from_millis(2_000);
    let actions = watcher.offer(&copy(version, watches::ConfigSource::Platform), now);
    assert_eq!(applied(&actions), vec![version]);
    watcher
}

#[derive(Debug, Clone)]
enum Step {
    Platform(u64),
    Peer(u64),
    Hint(u64),
    Tick,
    Absent,
}

fn steps() -> impl Strategy<Value = Vec<(Step, u64)>> {
    let version = 1_u64..30;
    let step = prop_oneof![
        version.clone().prop_map(Step::Platform),
        version.clone().prop_map(Step::Peer),
        version.prop_map(Step::Hint),
        Just(Step::Tick),
        Just(Step::Absent),
    ];
    prop::collection::vec((step, 0_u64..900), 1..60)
}

#[test]
fn versions_increase_in_any_order_of_events() {
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &SEED);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    runner
        .run(&steps(), |steps| {
            let mut watcher = watches::ConfigWatcher::new(times::BootTime::default());
            let (mut millis, mut in_force, mut highest_valid) = (0, 0, 0);
            for (step, gap) in steps {
                millis += gap;
                let now = times::BootTime::from_millis(millis);
                let offered = match step {
                    Step::Platform(version) | Step::Peer(version) => version,
                    _ => 0,
                };
                if !offered.is_multiple_of(5) {
                    highest_valid = highest_valid.max(offered);
                }
                let actions = match step {
                    Step::Platform(version) => {
                        watcher.offer(&copy(version, watches::ConfigSource::Platform), now)
                    }
                    Step::Peer(version) => watcher.offer(&copy(version, peer("b")), now),
                    Step::Hint(version) => {
                        let version = epochs::ConfigVersion::new(version);
                        watcher.hint(&"a".parse().unwrap(), version, now)
                    }
                    Step::Tick => watcher.tick(now),
                    Step::Absent => watcher.absent(),
                };
                for version in applied(&actions) {
                    prop_assert!(version > in_force, "{in_force} then {version}");
                    prop_assert!(!version.is_multiple_of(5), "bad version {version} in force");
                    in_force = version;
                }
                prop_assert_eq!(watcher.version().get(), in_force);
            }
            // After the last event, the highest valid copy comes into force.
            let now = times::BootTime::from_millis(millis + 10_000);
            let _actions = watcher.tick(now);
            prop_assert_eq!(watcher.version().get(), highest_valid);
            Ok(())
        })
        .unwrap();
}

#[test]
fn starting_node_waits_for_peers_before_applying_a_stale_read() {
    let mut watcher = watches::ConfigWatcher::new(times::BootTime::default());
    let early = times::BootTime::from_millis(10);
    let platform = watches::ConfigSource::Platform;
    assert!(watcher.offer(&copy(3, platform), early).is_empty());
    let asked = watcher.hint(&"a".parse().unwrap(), epochs::ConfigVersion::new(4), early);
    assert!(asked.contains(&watches::WatchAction::AskPeer("a".parse().unwrap())));
    assert!(asked.contains(&watches::WatchAction::ReadPlatform));
    assert!(watcher.tick(times::BootTime::from_millis(1_500)).is_empty());
    let actions = watcher.offer(&copy(4, peer("a")), times::BootTime::from_millis(1_600));
    assert_eq!(applied(&actions), vec![4]);
}

#[test]
fn hints_cause_a_bounded_number_of_questions() {
    let mut watcher = started_watcher(1);
    let mut asked = 0;
    for millis in 2_000..3_000 {
        let now = times::BootTime::from_millis(millis);
        let actions = watcher.hint(&"a".parse().unwrap(), epochs::ConfigVersion::new(2), now);
        asked += actions.len();
    }
    assert_eq!(
        asked, 5,
        "one read of the platform and four requests to the peer"
    );
}

#[test]
fn bad_document_changes_nothing_and_is_reported_once() {
    let mut watcher = started_watcher(4);
    let now = times::BootTime::from_millis(3_000);
    let bad = copy(5, watches::ConfigSource::Platform);
    let reports = watcher.offer(&bad, now);
    assert!(matches!(
        reports[..],
        [watches::WatchAction::Report(
            watches::WatchReport::CopyRefused { .. }
        )]
    ));
    assert!(watcher.offer(&bad, now).is_empty());
    assert_eq!(watcher.version().get(), 4);
    assert!(watcher.refused().is_some());
    assert_eq!(applied(&watcher.offer(&copy(6, peer("a")), now)), vec![6]);
    assert!(watcher.refused().is_none());
}

#[test]
fn truncated_peer_copy_does_not_block_the_valid_one() {
    let mut watcher = started_watcher(1);
    let now = times::BootTime::from_millis(3_000);
    let mut truncated = copy(2, peer("a"));
    truncated.text = truncated.text[..truncated.text.len() / 2].into();
    assert!(applied(&watcher.offer(&truncated, now)).is_empty());
    let valid = copy(2, watches::ConfigSource::Platform);
    assert_eq!(applied(&watcher.offer(&valid, now)), vec![2]);
}

#[test]
fn deleted_document_stays_in_force_and_is_reported() {
    let mut watcher = started_watcher(3);
    assert_eq!(watcher.absent().len(), 1);
    assert!(watcher.absent().is_empty());
    assert_eq!(watcher.version().get(), 3);
    let document = watcher
        .in_force()
        .map(|record| sync::Arc::clone(&record.document));
    let expected = text(3).parse::<documents::ConfigDocument>().unwrap();
    assert_eq!(document.as_deref(), Some(&expected));
}
