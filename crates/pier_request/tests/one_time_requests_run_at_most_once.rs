//! Proves at most one run of a key over nodes, late writes, lost replies, stale reads, pauses,
//! skewed clocks, crashes and deletion of old claims, in random interleavings from fixed seeds.

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

/// One object of the platform, with every value it ever had.
#[derive(Default)]
struct FakeObject {
    past: Vec<Option<(epochs::ObjectVersion, claims::ClaimRecord)>>,
    version: u64,
    late: Vec<claims::ClaimWrite>,
}

impl FakeObject {
    fn present(&self) -> Option<(epochs::ObjectVersion, claims::ClaimRecord)> {
        self.past.last().cloned().flatten()
    }

    fn apply(&mut self, write: &claims::ClaimWrite) -> Option<epochs::ObjectVersion> {
        let found = self.present().map_or(0, |(version, _)| version.get());
        if found != write.if_version.get() {
            return None;
        }
        self.version += 1;
        let version = epochs::ObjectVersion::new(self.version);
        self.past.push(Some((version, write.record.clone())));
        Some(version)
    }

    fn write(&mut self, write: claims::ClaimWrite, rng: &mut rngs::StdRng) -> claims::ClaimEvent {
        match rng.random_range(0..10) {
            0 => claims::ClaimEvent::NotSent,
            1 => claims::ClaimEvent::ReplyLost,
            2 | 3 => {
                self.late.push(write);
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
            1 if !self.past.is_empty() => self.past[rng.random_range(0..self.past.len())].clone(),
            _ => self.present(),
        };
        value.map_or(claims::ClaimEvent::Absent, |(version, record)| {
            claims::ClaimEvent::Found { version, record }
        })
    }
}

/// What one node does for one arrival of the key.
enum FakeWork {
    Claiming(claims::ClaimFlow, claims::ClaimAction),
    Recording(claims::OutcomeFlow, claims::OutcomeAction),
}

/// One key, several arrivals, one clock with an error for each arrival.
struct FakeWorld {
    object: FakeObject,
    works: Vec<(u64, FakeWork)>,
    now: u64,
    arrivals: u64,
    runs: Vec<u64>,
    answered: u64,
    freed: u64,
}

impl FakeWorld {
    fn boot(&self) -> times::BootTime {
        times::BootTime::from_millis(self.now)
    }

    fn wall(&self, arrival: u64) -> times::WallTime {
        // Clocks err by -5, 0 or 5 ms.
        times::WallTime::from_millis(ISSUED + self.now + (arrival % 3) * 5 - 5)
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        let wall = self.wall(self.arrivals);
        let key = format!("{ISSUED}-lodging_1").parse().unwrap();
        if retention().check(&key, wall).is_err() {
            return;
        }
        let order = claims::ClaimOrder {
            fingerprint: ids::RequestFingerprint::of("college", "/services/lodge", b"1"),
            nonce: ids::WriteNonce::new(u128::from(self.arrivals)),
            node: "node".parse().unwrap(),
            claimed_at: wall,
            active_until: wall.after(time::Duration::from_millis(30)),
            dispatch_by: self.boot().after(retention().margin),
        };
        let (flow, action) = claims::ClaimFlow::start(order, self.boot());
        self.works
            .push((self.arrivals, FakeWork::Claiming(flow, action)));
    }

    fn sweep(&mut self) {
        let key = format!("{ISSUED}-lodging_1").parse().unwrap();
        let fast = times::WallTime::from_millis(ISSUED + self.now + 5);
        if retention().may_delete(&key, fast) && self.object.present().is_some() {
            self.object.past.push(None);
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
            // The node sleeps between its last look at the clock and the send.
            self.now += rng.random_range(0..200);
            self.sweep();
        }
        let mut flow = if !may_dispatch || rng.random_range(0..4) == 0 {
            self.freed += 1;
            grant.release()
        } else {
            self.runs.push(arrival);
            match rng.random_range(0..3) {
                0 => return,
                1 => grant.lose(),
                _ => grant.finish(claims::StoredAnswer {
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    body: claims::StoredBody::of(format!("run {arrival}").as_bytes()),
                }),
            }
        };
        let action = flow.start();
        self.works
            .push((arrival, FakeWork::Recording(flow, action)));
    }

    fn work(&mut self, arrival: u64, work: FakeWork, rng: &mut rngs::StdRng) {
        let (boot, wall) = (self.boot(), self.wall(arrival));
        match work {
            FakeWork::Claiming(mut flow, action) => {
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
                self.works.push((arrival, FakeWork::Claiming(flow, action)));
            }
            FakeWork::Recording(mut flow, action) => {
                let event = match action {
                    claims::OutcomeAction::Write(write) => self.object.write(write, rng),
                    claims::OutcomeAction::Read { .. } => self.object.read(rng),
                    claims::OutcomeAction::Done { .. } => return,
                };
                let action = flow.handle(event);
                self.works
                    .push((arrival, FakeWork::Recording(flow, action)));
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
            self.works
                .push((arrival, FakeWork::Recording(flow, action)));
        }
    }

    fn step(&mut self, rng: &mut rngs::StdRng) {
        match rng.random_range(0..12) {
            0 if self.arrivals < 6 => self.arrive(),
            1 => self.now += rng.random_range(0..8),
            2 if rng.random_range(0..6) == 0 => self.now += 40,
            3 => self.sweep(),
            4 if !self.object.late.is_empty() => {
                let index = rng.random_range(0..self.object.late.len());
                let write = self.object.late.swap_remove(index);
                self.object.apply(&write);
            }
            5 if !self.works.is_empty() && rng.random_range(0..6) == 0 => {
                // The node crashes.
                let index = rng.random_range(0..self.works.len());
                self.works.swap_remove(index);
            }
            _ if !self.works.is_empty() => {
                let index = rng.random_range(0..self.works.len());
                let (arrival, work) = self.works.swap_remove(index);
                self.work(arrival, work, rng);
            }
            _ => {}
        }
    }
}

#[test]
fn a_key_runs_at_most_once_in_any_interleaving() {
    let (mut ran, mut answered, mut freed) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let mut world = FakeWorld {
            object: FakeObject::default(),
            works: Vec::new(),
            now: 0,
            arrivals: 0,
            runs: Vec::new(),
            answered: 0,
            freed: 0,
        };
        world.now = 10;
        for _ in 0..STEPS {
            world.step(&mut rng);
            assert!(world.runs.len() <= 1, "seed {seed}: runs {:?}", world.runs);
        }
        ran += world.runs.len();
        answered += world.answered;
        freed += world.freed;
    }
    // The interleavings reach what they are meant to reach.
    assert!(ran > 1_000, "{ran} runs");
    assert!(answered > 200, "{answered} stored answers");
    assert!(freed > 200, "{freed} releases");
}
