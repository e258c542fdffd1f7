//! Messages and frames decode to what was encoded, long batches are split over datagrams, and the
//! age of a probe result never shrinks.

use std::time;

use pier_types::{codes, epochs, ids, reports, routes, sizes, times};
use pier_wire::{frames, messages, seals};

type ForwardCodec = frames::FrameCodec<frames::ForwardFrame>;
type AnswerCodec = frames::FrameCodec<frames::AnswerFrame>;

fn key() -> seals::WireKey {
    "a-key-of-enough-characters".parse().unwrap()
}

fn result(number: u32) -> messages::ProbeResult {
    let vm = format!("vm-{number}").parse::<ids::VmName>().unwrap();
    let failures = [
        messages::ProbeFailure::Refused,
        messages::ProbeFailure::Silent,
        messages::ProbeFailure::Garbled,
    ];
    let states = [
        reports::EngineState::Empty,
        reports::EngineState::Loading,
        reports::EngineState::Cold,
        reports::EngineState::Warm,
    ];
    let index = usize::try_from(number).unwrap();
    let report = reports::EngineReport {
        vm: vm.clone(),
        incarnation: epochs::VmIncarnation::new(u64::MAX - u64::from(number)),
        group: (!number.is_multiple_of(3)).then(|| ids::GroupId {
            data_centre: format!("dc-{}", number % 2).parse().unwrap(),
            number: u64::from(number),
        }),
        generation: epochs::GroupGeneration::new(u64::from(number) * 1_000),
        model: (!number.is_multiple_of(5)).then(|| format!("m-{}", number % 4).parse().unwrap()),
        state: states[index % 4],
        running: sizes::RequestCount::new(number),
        queued: sizes::RequestCount::new(number % 7),
        is_leaving: number.is_multiple_of(3),
    };
    messages::ProbeResult {
        vm,
        age: time::Duration::from_micros(1_000 * u64::from(number) + 1),
        latency: time::Duration::from_millis(u64::from(number % 9)),
        outcome: if number.is_multiple_of(4) {
            Err(failures[index % 3])
        } else {
            Ok(report)
        },
    }
}

#[test]
fn probe_results_round_trip_and_never_look_newer() {
    let sent = (0..200).map(result).collect::<Vec<_>>();
    let batch = messages::ProbeBatch::pack(9, &sent);
    let instance = seals::NodeInstance::new(1);
    let mut sealer = seals::DatagramSealer::new(key(), "n1".parse().unwrap(), instance);
    let message = messages::PeerMessage::ProbeBatch(batch);
    let datagrams = sealer.seal(vec![message]).unwrap();
    assert!(datagrams.len() > 1, "the batch is split");
    let mut opener = seals::DatagramOpener::new(key(), seals::NodeInstance::new(2));
    let mut received = Vec::new();
    for datagram in datagrams {
        assert!(datagram.len() <= seals::MAX_DATAGRAM_BYTES);
        let delivered = opener.open(&datagram, times::BootTime::default()).unwrap();
        for message in delivered.messages {
            let messages::PeerMessage::ProbeBatch(batch) = message else {
                panic!("not a probe batch");
            };
            assert_eq!(batch.pull, 9);
            let name_of = |key| {
                let known = sent.iter().find(|one| messages::VmKey::of(&one.vm) == key);
                known.map(|one| one.vm.clone())
            };
            received.extend(batch.unpack(name_of));
        }
    }
    assert_eq!(received.len(), sent.len());
    for (received_result, original) in received.iter().zip(&sent) {
        assert_eq!(
            (&received_result.vm, &received_result.outcome),
            (&original.vm, &original.outcome)
        );
        assert!(
            received_result.age >= original.age,
            "a result never looks newer than it is"
        );
    }
}

/// Returns the results with changed ages, latencies and loads.
fn aged(results: &[messages::ProbeResult]) -> Vec<messages::ProbeResult> {
    let mut later = results.to_vec();
    for (position, one) in (1..).zip(&mut later) {
        one.age += time::Duration::from_millis(700);
        one.latency += time::Duration::from_millis(3);
        if let Ok(report) = &mut one.outcome {
            report.running = sizes::RequestCount::new(position * 1_000);
            report.queued = sizes::RequestCount::new(position);
        }
    }
    later
}

#[test]
fn known_batch_with_new_loads_equals_the_current_batch() {
    let earlier = (0..40).map(result).collect::<Vec<_>>();
    let known = messages::ProbeBatch::pack(1, &earlier);
    let current = messages::ProbeBatch::pack(2, &aged(&earlier));
    assert_eq!(known.digest(), current.digest());
    assert_eq!(known.with_loads(&current.loads()), Some(current.clone()));
    let mut short = current.loads();
    short.entries.pop();
    assert_eq!(known.with_loads(&short), None);
    let whole = messages::PeerMessage::ProbeBatch(current.clone()).encoded_bytes();
    let loads = messages::PeerMessage::LoadBatch(current.loads()).encoded_bytes();
    assert!(loads * 2 < whole, "{loads} of {whole} bytes");
}

#[test]
fn digest_changes_with_each_stable_field() {
    type Change = fn(&mut messages::ProbeResult, &mut reports::EngineReport);
    let changes: [Change; 7] = [
        |one, report| {
            one.vm = "vm-other".parse().unwrap();
            report.vm = one.vm.clone();
        },
        |_, report| report.incarnation = epochs::VmIncarnation::new(5),
        |_, report| report.group = Some("dc-1/77".parse().unwrap()),
        |_, report| report.group = Some("dc-2/7".parse().unwrap()),
        |_, report| report.generation = epochs::GroupGeneration::new(1),
        |_, report| report.model = Some("other".parse().unwrap()),
        |_, report| report.state = reports::EngineState::Loading,
    ];
    let results = (1..8).map(result).collect::<Vec<_>>();
    let digest =
        |results: &[messages::ProbeResult]| messages::ProbeBatch::pack(1, results).digest();
    let position = results.iter().position(|one| one.vm.as_str() == "vm-7");
    let position = position.unwrap();
    for (number, change) in changes.iter().enumerate() {
        let mut other = results.clone();
        let mut report = other[position].outcome.clone().unwrap();
        change(&mut other[position], &mut report);
        other[position].outcome = Ok(report);
        assert_ne!(digest(&other), digest(&results), "change {number}");
    }
    let mut failed = results.clone();
    failed[position].outcome = Err(messages::ProbeFailure::Refused);
    assert_ne!(digest(&failed), digest(&results));
    failed[position].outcome = Err(messages::ProbeFailure::Silent);
    let silent = digest(&failed);
    failed[position].outcome = Err(messages::ProbeFailure::Garbled);
    assert_ne!(digest(&failed), silent);
    assert_ne!(digest(&results[1..]), digest(&results));
}

#[test]
fn results_of_unknown_vms_are_dropped() {
    let batch = messages::ProbeBatch::pack(1, &[result(1), result(2)]);
    assert!(batch.unpack(|_key| None).is_empty());
}

#[test]
fn a_position_outside_the_list_drops_the_entry() {
    let mut batch = messages::ProbeBatch::pack(1, &[result(1)]);
    batch.models.clear();
    let name = result(1).vm;
    assert!(batch.unpack(|_key| Some(name.clone())).is_empty());
}

#[test]
fn frames_decode_from_any_split_of_the_bytes() {
    let begin = frames::ForwardBegin {
        pool: routes::PoolKey::Model("draft".parse().unwrap()),
        customer: "college".parse().unwrap(),
        attempt: ids::AttemptId::new(5),
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: vec![frames::ForwardHeader {
            name: "x-priority".to_owned(),
            value: "low".to_owned(),
        }],
        trace_parent: None,
        deadline_ms: 1_500,
        hops: 1,
    };
    let sent = [
        frames::ForwardFrame::Begin(Box::new(begin)),
        frames::ForwardFrame::Body(frames::BodyChunk {
            index: 3,
            bytes: vec![0, 255, 7],
        }),
        frames::ForwardFrame::End,
        frames::ForwardFrame::Cancel,
        frames::ForwardFrame::Ask(frames::PeerQuery::Config(epochs::ConfigVersion::new(300))),
        frames::ForwardFrame::Ask(frames::PeerQuery::VmList),
    ];
    let mut whole = bytes::BytesMut::new();
    for frame in &sent {
        frames::FrameCodec::encode(frame, &mut whole).unwrap();
    }
    for cut in 0..whole.len() {
        let mut buffer = bytes::BytesMut::from(&whole[..cut]);
        let mut received = Vec::new();
        while let Some(frame) = ForwardCodec::decode(&mut buffer).unwrap() {
            received.push(frame);
        }
        buffer.extend_from_slice(&whole[cut..]);
        while let Some(frame) = ForwardCodec::decode(&mut buffer).unwrap() {
            received.push(frame);
        }
        assert_eq!(received, sent);
    }
}

#[test]
fn answer_frames_round_trip() {
    let sent = [
        frames::AnswerFrame::Head(frames::AnswerHead {
            status: 200,
            headers: Vec::new(),
        }),
        frames::AnswerFrame::Done,
        frames::AnswerFrame::Failed(frames::AnswerFailure {
            code: codes::ResultCode::Overloaded,
            outcome: codes::RunOutcome::NotRun,
            retry_after_ms: Some(250),
        }),
    ];
    let mut buffer = bytes::BytesMut::new();
    for frame in &sent {
        frames::FrameCodec::encode(frame, &mut buffer).unwrap();
        assert_eq!(
            AnswerCodec::decode(&mut buffer).unwrap().as_ref(),
            Some(frame)
        );
    }
}

#[test]
fn bad_frames_are_refused() {
    let mut long = bytes::BytesMut::from(&[0xff; 4][..]);
    let refusal = AnswerCodec::decode(&mut long).unwrap_err();
    assert!(matches!(refusal, frames::FrameError::TooLong { .. }));
    let mut garbled = bytes::BytesMut::from(&[1, 0, 0, 0, 99][..]);
    assert_eq!(
        AnswerCodec::decode(&mut garbled),
        Err(frames::FrameError::Malformed)
    );
    let mut trailing = bytes::BytesMut::from(&[2, 0, 0, 0, 2, 2][..]);
    assert_eq!(
        AnswerCodec::decode(&mut trailing),
        Err(frames::FrameError::Malformed)
    );
}

/// Runs a handshake. Returns whether the client accepts the server, and the server's result. With
/// `reflects_proof`, the client replies with the proof that the server sent in its challenge.
fn handshake(
    client_key: seals::WireKey,
    server_key: seals::WireKey,
    reflects_proof: bool,
) -> (bool, Result<ids::NodeName, frames::FrameError>) {
    let one = seals::NodeInstance::new(1);
    let two = seals::NodeInstance::new(2);
    let (client, hello) =
        frames::ClientHandshake::start(client_key, "n1".parse().unwrap(), one, [1; 16]);
    let (server, challenge) =
        frames::ServerHandshake::answer(server_key, hello, "n2".parse().unwrap(), two, [2; 16])
            .unwrap();
    let reflected = frames::HandshakeReply {
        proof: challenge.proof,
    };
    let finished = client.finish(&challenge);
    let client_accepted = finished.is_ok();
    let reply = if reflects_proof {
        reflected
    } else {
        finished.unwrap_or(frames::HandshakeReply { proof: [0; 32] })
    };
    (client_accepted, server.verify(&reply))
}

#[test]
fn handshake_fails_unless_both_sides_have_the_key() {
    let other = "another-key-of-enough-length"
        .parse::<seals::WireKey>()
        .unwrap();
    let name = "n1".parse::<ids::NodeName>().unwrap();
    let invalid = Err(frames::FrameError::InvalidProof);
    assert_eq!(handshake(key(), key(), false), (true, Ok(name)));
    assert_eq!(
        handshake(key(), other.clone(), false),
        (false, invalid.clone())
    );
    assert_eq!(handshake(other, key(), false), (false, invalid));
}

#[test]
fn reflected_server_proof_is_refused() {
    let (_client_accepted, verified) = handshake(key(), key(), true);
    assert_eq!(verified, Err(frames::FrameError::InvalidProof));
}
