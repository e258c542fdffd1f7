//! Tests that a key runs at most once across nodes.
//!
//! Random interleavings from fixed seeds combine delayed writes, lost replies, stale reads, paused
//! nodes, skewed clocks, crashes and the deletion of old claims.

use std::time;

use pier_request::claims;
use pier_types::{codes, epochs, ids, times};
use rand::{Rng, SeedableRng, rngs};

const SEEDS: u64 = 20_000;
const STEPS: u32 = 120;
const ISSUED: u64 = 10_000;

fn retention() -> claims::ClaimRetention {
    claims::ClaimRetention {
        retention: time::Duration::from_millis(60),
        skew: time::Duration::from_millis(5),
        margin: time::Duration::from_millis(20),
    }
}

/// One object of the platform, with all of its past values.
#[derive(Default)]
struct FakeObject {
    history: Vec<Option<(epochs::ObjectVersion, claims::ClaimRecord)>>,
    version: u64,
    delayed_writes: Vec<claims::ClaimWrite>,
}

impl FakeObject {
    fn current(&self) -> Option<(epochs::ObjectVersion, claims::ClaimRecord)> {
        self.history.last().cloned().flatten()
    }

    fn apply(&mut self, write: &claims::ClaimWrite) -> Option<epochs::ObjectVersion> {
        let found = self.current().map_or(0, |(version, _)| version.get());
        if found != write.if_version.get() {
            return None;
        }
        self.version += 1;
        let version = epochs::ObjectVersion::new(self.version);
        self.history.push(Some((version, write.record.clone())));
        Some(version)
    }

    fn write(&mut self, write: claims::ClaimWrite, rng: &mut rngs::StdRng) -> claims::ClaimEvent {
        match rng.random_range(0..10) {
            0 => claims::ClaimEvent::NotSent,
            1 => claims::ClaimEvent::ReplyLost,
            2 | 3 => {
                self.delayed_writes.push(write);
                claims::ClaimEvent::ReplyLost
            }
            4 => {
                self.apply(&write);
                claims::ClaimEvent::ReplyLost
            }
            _ => self
                .apply(&write)
                .map_or(claims::ClaimEvent::Conflict, |version| {
                    claims::ClaimEvent::Written { version }
                }),
        }
    }

    fn read(&self, rng: &mut rngs::StdRng) -> claims::ClaimEvent {
        let value = match rng.random_range(0..6) {
            0 => return claims::ClaimEvent::ReplyLost,
            1 if !self.history.is_empty() => {
                self.history[rng.random_range(0..self.history.len())].clone()
            }
            _ => self.current(),
        };
        value.map_or(claims::ClaimEvent::Absent, |(version, record)| {
            claims::ClaimEvent::Found { version, record }
        })
    }
}

/// The work of one node for one arrival of the key.
enum FakeTask {
    Claiming(claims::ClaimFlow, claims::ClaimAction),
    Recording(claims::OutcomeFlow, claims::OutcomeAction),
}

/// The simulation of one key: several arrivals, each on a node with its own clock error.
struct KeySimulation {
    object: FakeObject,
    tasks: Vec<(u64, FakeTask)>,
    now: u64,
    arrivals: u64,
    runs: Vec<u64>,
    answered: u64,
    released: u64,
}

impl KeySimulation {
    fn boot(&self) -> times::BootTime {
        times::BootTime::from_millis(self.now)
    }

    fn wall(&self, arrival: u64) -> times::WallTime {
        // The clocks are off by -5, 0 or 5 ms.
        times::WallTime::from_millis(ISSUED + self.now + (arrival % 3) * 5 - 5)
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        let wall = self.wall(self.arrivals);
        let key = format!("{ISSUED}-lodging_1").parse().unwrap();
        if retention().check(&key, wall).is_err() {
            return;
        }
        let request = claims::ClaimRequest {
            fingerprint: ids::RequestFingerprint::of("college", "/services/lodge", b"1"),
            nonce: ids::WriteNonce::new(u128::from(self.arrivals)),
            node: "node".parse().unwrap(),
            claimed_at: wall,
            active_until: wall.after(time::Duration::from_millis(30)),
            dispatch_by: self.boot().after(retention().margin),
        };
        let (flow, action) = claims::ClaimFlow::start(request, self.boot());
        self.tasks
            .push((self.arrivals, FakeTask::Claiming(flow, action)));
    }

    fn delete_expired(&mut self) {
        let key = format!("{ISSUED}-lodging_1").parse().unwrap();
        let fast_clock = times::WallTime::from_millis(ISSUED + self.now + 5);
        if retention().may_delete(&key, fast_clock) && self.object.current().is_some() {
            self.object.history.push(None);
            self.object.version += 1;
        }
    }

    fn dispatch(&mut self, arrival: u64, grant: claims::ClaimGrant, rng: &mut rngs::StdRng) {
        let pause = rng.random_range(0..4);
        if pause == 0 {
            self.now += rng.random_range(0..60);
        }
        let may_dispatch = grant.may_dispatch(self.boot());
        if pause == 1 {
            // The node is paused between its last check of the clock and the send.
            self.now += rng.random_range(0..200);
            self.delete_expired();
        }
        let mut flow = if !may_dispatch || rng.random_range(0..4) == 0 {
            self.released += 1;
            grant.release()
        } else {
            self.runs.push(arrival);
            match rng.random_range(0..3) {
                0 => return,
                1 => grant.mark_lost(),
                _ => grant.finish(claims::StoredAnswer {
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    body: claims::StoredBody::of(format!("run {arrival}").as_bytes()),
                }),
            }
        };
        let action = flow.start();
        self.tasks
            .push((arrival, FakeTask::Recording(flow, action)));
    }

    fn run_task(&mut self, arrival: u64, task: FakeTask, rng: &mut rngs::StdRng) {
        let (boot, wall) = (self.boot(), self.wall(arrival));
        match task {
            FakeTask::Claiming(mut flow, action) => {
                let event = match action {
                    claims::ClaimAction::Write(write) => self.object.write(write, rng),
                    claims::ClaimAction::Read { .. } => self.object.read(rng),
                    claims::ClaimAction::Dispatch(grant) => {
                        return self.dispatch(arrival, grant, rng);
                    }
                    claims::ClaimAction::Reply(answer) => return self.check_reply(&answer),
                    claims::ClaimAction::Refuse { code, cleanup } => {
                        return self.refuse(arrival, code, cleanup);
                    }
                };
                let action = flow.handle(event, boot, wall);
                self.tasks.push((arrival, FakeTask::Claiming(flow, action)));
            }
            FakeTask::Recording(mut flow, action) => {
                let event = match action {
                    claims::OutcomeAction::Write(write) => self.object.write(write, rng),
                    claims::OutcomeAction::Read { .. } => self.object.read(rng),
                    claims::OutcomeAction::Done { .. } => return,
                };
                let action = flow.handle(event);
                self.tasks
                    .push((arrival, FakeTask::Recording(flow, action)));
            }
        }
    }

    fn check_reply(&mut self, answer: &claims::StoredAnswer) {
        let expected = format!("run {}", self.runs[0]);
        assert_eq!(answer.body.to_bytes().unwrap(), expected.as_bytes());
        self.answered += 1;
    }

    fn refuse(
        &mut self,
        arrival: u64,
        code: codes::ResultCode,
        cleanup: Option<claims::OutcomeFlow>,
    ) {
        assert!(!self.runs.contains(&arrival), "refused after its own run");
        assert_ne!(code, codes::ResultCode::InternalFault);
        if let Some(mut flow) = cleanup {
            let action = flow.start();
            self.tasks
                .push((arrival, FakeTask::Recording(flow, action)));
        }
    }

    fn step(&mut self, rng: &mut rngs::StdRng) {
        match rng.random_range(0..12) {
            0 if self.arrivals < 6 => self.arrive(),
            1 => self.now += rng.random_range(0..8),
            2 if rng.random_range(0..6) == 0 => self.now += 40,
            3 => self.delete_expired(),
            4 if !self.object.delayed_writes.is_empty() => {
                let index = rng.random_range(0..self.object.delayed_writes.len());
                let write = self.object.delayed_writes.swap_remove(index);
                self.object.apply(&write);
            }
            5 if !self.tasks.is_empty() && rng.random_range(0..6) == 0 => {
                // The node crashes.
                let index = rng.random_range(0..self.tasks.len());
                self.tasks.swap_remove(index);
            }
            _ if !self.tasks.is_empty() => {
                let index = rng.random_range(0..self.tasks.len());
                let (arrival, task) = self.tasks.swap_remove(index);
                self.run_task(arrival, task, rng);
            }
            _ => {}
        }
    }
}

#[test]
fn a_key_runs_at_most_once_in_any_interleaving() {
    let (mut ran, mut answered, mut released) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let mut simulation = KeySimulation {
            object: FakeObject::default(),
            tasks: Vec::new(),
            now: 0,
            arrivals: 0,
            runs: Vec::new(),
            answered: 0,
            released: 0,
        };
        simulation.now = 10;
        for _ in 0..STEPS {
            simulation.step(&mut rng);
            assert!(
                simulation.runs.len() <= 1,
                "seed {seed}: runs {:?}",
                simulation.runs
            );
        }
        ran += simulation.runs.len();
        answered += simulation.answered;
        released += simulation.released;
    }
    // The interleavings must cover runs, replays and releases.
    assert!(ran > 1_000, "{ran} runs");
    assert!(answered > 200, "{answered} stored answers");
    assert!(released > 200, "{released} releases");
}
