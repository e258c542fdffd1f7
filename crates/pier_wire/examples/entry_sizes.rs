//! Prints how many bytes each kind of entry takes in a datagram.

use std::{error, io, io::Write, time};

use pier_types::{epochs, ids, reports, sizes};
use pier_wire::{messages, seals};

const COUNT: u32 = 200;

fn main() -> Result<(), Box<dyn error::Error>> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "kind                entry_bytes  datagrams_for_{COUNT}"
    )?;
    let results = (0..COUNT)
        .map(probe_result)
        .collect::<Result<Vec<_>, _>>()?;
    let batch = messages::ProbeBatch::pack(1, &results);
    print(
        &mut out,
        "probe result",
        messages::PeerMessage::ProbeBatch(batch),
    )?;
    let members = (0..COUNT).map(member).collect::<Result<Vec<_>, _>>()?;
    print(&mut out, "member", messages::PeerMessage::Members(members))?;
    let ask = messages::ShareAsk {
        round: 1_000,
        term: epochs::LeaseTerm::new(9),
        total: COUNT,
        entries: (0..COUNT).map(ask).collect::<Result<_, _>>()?,
    };
    print(&mut out, "share ask", messages::PeerMessage::ShareAsk(ask))?;
    let crashes = (0..COUNT).map(crash).collect::<Result<_, _>>()?;
    print(&mut out, "crash", messages::PeerMessage::Crashes(crashes))?;
    let beat = messages::PeerMessage::Beat(messages::MemberBeat {
        heartbeat: 10_000,
        config: epochs::ConfigVersion::new(400),
        draining: false,
    });
    let datagrams = sealer()?.seal(vec![beat])?;
    writeln!(
        out,
        "beat alone, whole datagram: {} bytes",
        datagrams[0].len()
    )?;
    Ok(())
}

fn sealer() -> Result<seals::DatagramSealer, Box<dyn error::Error>> {
    let key = "a-key-of-enough-characters".parse()?;
    let instance = seals::NodeInstance::new(1);
    Ok(seals::DatagramSealer::new(
        key,
        "node-mvd-a-17".parse()?,
        instance,
    ))
}

fn print(
    out: &mut impl Write,
    kind: &str,
    message: messages::PeerMessage,
) -> Result<(), Box<dyn error::Error>> {
    let datagrams = sealer()?.seal(vec![message])?;
    let total = datagrams.iter().map(Vec::len).sum::<usize>();
    let each = total as f64 / f64::from(COUNT);
    writeln!(out, "{kind:<20}{each:>11.1}  {}", datagrams.len())?;
    Ok(())
}

fn probe_result(number: u32) -> Result<messages::ProbeResult, ids::NameError> {
    let vm = format!("vm-mvd-a-{number:04}").parse::<ids::VmName>()?;
    let report = reports::EngineReport {
        vm: vm.clone(),
        incarnation: epochs::VmIncarnation::new(7),
        group: Some(format!("mvd-a/{}", number / 6).parse()?),
        generation: epochs::GroupGeneration::new(321),
        model: Some("redactor-large".parse()?),
        state: reports::EngineState::Warm,
        running: sizes::RequestCount::new(40),
        queued: sizes::RequestCount::new(2),
        is_leaving: false,
    };
    Ok(messages::ProbeResult {
        vm,
        age: time::Duration::from_millis(730),
        latency: time::Duration::from_millis(2),
        outcome: Ok(report),
    })
}

fn member(number: u32) -> Result<messages::MemberEntry, Box<dyn error::Error>> {
    Ok(messages::MemberEntry {
        node: format!("node-mvd-a-{number}").parse()?,
        instance: seals::NodeInstance::new(number.into()),
        data_centre: "mvd-a".parse()?,
        address: "10.1.2.3:7401".parse()?,
        beat: messages::MemberBeat {
            heartbeat: 10_000,
            config: epochs::ConfigVersion::new(400),
            draining: false,
        },
    })
}

fn ask(number: u32) -> Result<messages::AskEntry, ids::NameError> {
    let target = ids::TargetId::Group(format!("mvd-a/{number}").parse()?);
    Ok(messages::AskEntry {
        key: messages::ShareKey::of(&target, 321),
        keep: sizes::RequestCount::new(4),
        running: sizes::RequestCount::new(3),
        wanted: sizes::RequestCount::new(6),
    })
}

fn crash(number: u32) -> Result<messages::CrashDelta, ids::NameError> {
    Ok(messages::CrashDelta {
        fingerprint: ids::RequestFingerprint::of("college", "/v1", &number.to_le_bytes()),
        target: ids::TargetId::Group(format!("mvd-a/{number}").parse()?),
        generation: epochs::GroupGeneration::new(321),
        suspects: 3,
        cleared: false,
        age_ms: 45_000,
    })
}
