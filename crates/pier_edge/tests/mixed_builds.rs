//! Nodes of different builds side by side.

mod support;

use std::{collections, time};

use pier_edge::links;
use pier_types::epochs;
use support::{
    EarlierMessage, EarlierNode, EarlierPhase, EarlierRelay, EarlierSteward, FakePlatform,
    FirstBeat, KEY, RawCaller, Script, ScriptedTarget, TestNode, document, document_at,
    plain_entry,
};
use tokio::io::AsyncReadExt as _;

/// A heartbeat that commit 7a64715 encoded.
const FIRST_BEAT: &str = "0002613104646331610903000101010276310201ac020102763201027633";

/// A heartbeat that commit d02f8a5 encoded.
const UNNUMBERED_BEAT: &str =
    "0002613104646331610903000101010276310201ac020102763201027633007f000001ab230105706c61696e";

/// Other messages that commit d02f8a5 encoded: of a steward, a node's load, a hub's sums and a
/// leaving target.
const UNNUMBERED_MESSAGES: [&str; 4] = [
    "01026131046463316128010464633162010464633161026131020708090101027634",
    "020261310703010276310201ac0201027632",
    "03026131046463316104010703010276310201ac02000001027633",
    "05010276350b",
];

/// Time within which a change of the store has to be in force at a node that has to read it itself.
const APPLY_TIME: time::Duration = time::Duration::from_secs(2);

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let digits = digits.map(|pair| std::str::from_utf8(pair).unwrap());
    digits
        .map(|pair| u8::from_str_radix(pair, 16).unwrap())
        .collect()
}

async fn status(node: &TestNode, path: &str) -> u16 {
    let mut caller = RawCaller::connect(node.callers).await;
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-timeout-ms: 2000\r\n\r\n"
    );
    caller.send(&request).await;
    caller.answer().await.status()
}

async fn start_plain(platform: &FakePlatform) -> ScriptedTarget {
    let target = ScriptedTarget::start(Script::Whole("done")).await;
    platform.put_target(plain_entry("t0", target.address));
    platform.put_document(document());
    target
}

// Guards against changing the frozen types along with the code.
#[test]
fn the_frozen_types_read_what_the_landed_builds_wrote() {
    let first: FirstBeat = postcard::from_bytes(&bytes(FIRST_BEAT)[1..]).unwrap();
    let EarlierMessage::Beat(beat) = postcard::from_bytes(&bytes(UNNUMBERED_BEAT)).unwrap() else {
        panic!("not a heartbeat");
    };
    assert_eq!((first.number, first.document.get()), (9, 3));
    assert_eq!((&first.node, &first.loads), (&beat.node, &beat.loads));
    assert_eq!(beat.forwards, "127.0.0.1:4523".parse().unwrap());
    assert_eq!(beat.reached[0].as_str(), "plain");
    let written = postcard::to_stdvec(&EarlierMessage::Beat(beat)).unwrap();
    assert_eq!(written, bytes(UNNUMBERED_BEAT));
}

// Guards against a fleet that splits into two halves while its nodes are replaced by a newer build.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_of_landed_builds_are_heard() {
    let node = TestNode::start_bare().await;
    let socket = tokio::net::UdpSocket::bind(support::free_address())
        .await
        .unwrap();
    for hex in [FIRST_BEAT, UNNUMBERED_BEAT]
        .into_iter()
        .chain(UNNUMBERED_MESSAGES)
    {
        socket.send_to(&bytes(hex), node.peers).await.unwrap();
    }
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    assert_eq!(node.metric("bad_beats_total").await, 0);
    assert_eq!(node.metric("unknown_messages_total").await, 0);
    // A node that is heard of gets heartbeats.
    let mut buffer = vec![0; 65_536];
    let receiving = socket.recv_from(&mut buffer);
    let received = tokio::time::timeout(time::Duration::from_secs(2), receiving).await;
    received.expect("no heartbeat came").unwrap();
}

// Guards against heartbeats that a build which is being replaced cannot read.
#[tokio::test(flavor = "multi_thread")]
async fn a_landed_build_reads_this_builds_heartbeats() {
    let node = TestNode::start_bare().await;
    let earlier = EarlierNode::start(&node.platform, "a0", "dc-a").await;
    let messages = earlier.receive(time::Duration::from_secs(1)).await;
    let beats = messages.iter().filter_map(|message| match message {
        EarlierMessage::Beat(beat) => Some(beat),
        EarlierMessage::Relay(_) => None,
    });
    let beat = beats.into_iter().next_back().expect("no heartbeat came");
    assert!(beat.node.as_str().starts_with("n1-"));
    assert_eq!(beat.phase, EarlierPhase::Serving);
    assert_eq!(beat.forwards, node.forwards);
}

// Guards against datagrams of other builds, or damaged ones, that end the process or its reader.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_extended_and_unknown_datagrams_are_counted_and_dropped() {
    let node = TestNode::start_bare().await;
    let _target = start_plain(&node.platform).await;
    let socket = tokio::net::UdpSocket::bind(support::free_address())
        .await
        .unwrap();
    let beat = bytes(UNNUMBERED_BEAT);
    for length in 0..beat.len() {
        socket.send_to(&beat[..length], node.peers).await.unwrap();
        // As many datagrams at once as the socket's buffer is sure to hold.
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
    for kind in 0..=255_u8 {
        for filler in [0, 1, 127, 255] {
            let mut datagram = vec![filler; 40];
            datagram[0] = kind;
            socket.send_to(&datagram, node.peers).await.unwrap();
        }
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
    let later = [beat, vec![9, 0, 0, 1, 2, 3, 4]].concat();
    socket.send_to(&later, node.peers).await.unwrap();
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    assert!(node.metric("bad_beats_total").await >= 20);
    assert!(node.metric("unknown_messages_total").await >= 4 * 100);
    assert_eq!(status(&node, "/read/x").await, 200);
}

// Guards against a document, or a key taken away, that stays unknown to nodes whose steward runs an
// earlier build, which serves neither list nor document.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_with_a_steward_of_an_earlier_build_read_the_store_themselves() {
    let platform = FakePlatform::default();
    let _target = start_plain(&platform).await;
    // Enough nodes that the others would follow a steward of their own build.
    let mut earlier = Vec::new();
    for number in 0..14 {
        earlier.push(EarlierNode::start(&platform, &format!("a{number}"), "dc-a").await);
    }
    let steward = EarlierSteward {
        holder: earlier[0].name.clone(),
        term: epochs::LeaseTerm::new(1),
    };
    platform.put_node("steward.dc-a", "{\"holder\":\"a0\",\"term\":1}");
    let node = TestNode::start_on(platform.clone(), "n1").await;
    let peers = node.peers;
    let sending = tokio::spawn(async move {
        loop {
            for earlier in &mut earlier {
                let beat = EarlierMessage::Beat(earlier.beat(3));
                earlier.send(&beat, peers).await;
            }
            let relay = EarlierMessage::Relay(EarlierRelay {
                node: steward.holder.clone(),
                data_centre: "dc-a".parse().unwrap(),
                store_age_ms: 10,
                out_of_service: Vec::new(),
                stewards: vec![(
                    "dc-a".parse().unwrap(),
                    steward.clone(),
                    epochs::ObjectVersion::new(16),
                )],
                from: epochs::ObjectVersion::default(),
                to: epochs::ObjectVersion::default(),
                changes: Vec::new(),
            });
            earlier[0].send(&relay, peers).await;
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
    });
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(status(&node, "/read/x").await, 200);
    platform.put_document(document_at(4).with_keys(collections::BTreeMap::new()));
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(status(&node, "/read/x").await, 401);
    assert!(platform.calls(links::RecordKind::Targets, "list") >= 1);
    sending.abort();
}

// Guards against a node that runs out of memory because other nodes open connections for its list and
// do not read.
#[tokio::test(flavor = "multi_thread")]
async fn connections_for_the_stewards_list_are_few_and_short() {
    let node = TestNode::start_bare().await;
    let earlier = EarlierNode::start(&node.platform, "a0", "dc-a").await;
    node.settle().await;
    let source = earlier.socket.local_addr().unwrap().ip();
    let mut connections = Vec::new();
    for _number in 0..40 {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind((source, 0).into()).unwrap();
        connections.push(socket.connect(node.peers).await.unwrap());
    }
    let started = time::Instant::now();
    for mut connection in connections {
        let reading = connection.read_u8();
        let read = tokio::time::timeout(time::Duration::from_secs(4), reading).await;
        assert!(read.expect("the connection stays open").is_err());
    }
    // Well under the time limits of forty connections, one after the other.
    assert!(started.elapsed() < time::Duration::from_secs(3));
    assert_eq!(node.metric("snapshots_refused_total").await, 40 - 16);
}

/// A heartbeat of this build's format: that of commit d02f8a5 with a load of three waiting requests,
/// one of them urgent and two deferred.
const URGENCY_BEAT: [&str; 2] = [
    "0002613104646331610903000101010276310203ac020102763201027633007f000001ab230105706c61696e",
    // Format, summaries, outages, limits, loads by urgency.
    "05000000000103016402c801",
];

// Guards against loads by urgency that other builds, or this one, cannot read.
#[tokio::test(flavor = "multi_thread")]
async fn loads_by_urgency_are_read_and_left_out_by_earlier_builds() {
    let [message, extension] = URGENCY_BEAT.map(bytes);
    let whole = [message.clone(), extension].concat();
    let EarlierMessage::Beat(beat) = postcard::from_bytes(&whole).unwrap() else {
        panic!("not a heartbeat");
    };
    let (_vm, load) = &beat.loads[0];
    assert_eq!((load.waiting, load.waiting_prompt), (3, 300));
    assert_eq!(
        postcard::to_stdvec(&EarlierMessage::Beat(beat)).unwrap(),
        message
    );
    let node = TestNode::start_bare().await;
    let socket = tokio::net::UdpSocket::bind(support::free_address())
        .await
        .unwrap();
    // Without the loads by urgency, the message is one of an earlier format or damaged.
    for length in [message.len(), whole.len()] {
        socket.send_to(&whole[..length], node.peers).await.unwrap();
    }
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    assert_eq!(node.metric("bad_beats_total").await, 0);
    for length in message.len() + 1..whole.len() {
        socket.send_to(&whole[..length], node.peers).await.unwrap();
    }
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let damaged = u64::try_from(whole.len() - message.len() - 1).unwrap();
    assert_eq!(node.metric("bad_beats_total").await, damaged);
}
