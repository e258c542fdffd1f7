//! One run of the model.

use std::time;

use pier_limits::shifts;
use pier_types::{ids, reports, times};
use rand::{Rng, SeedableRng, rngs};

use crate::{centre_model, study_result};

const WARM_UP: u64 = 20_000;
const LEAVE: u64 = 40_000;
const RESTART: u64 = 60_000;
const RETURN: u64 = 80_000;
const WARM_AGAIN: u64 = 90_000;
const END: u64 = 160_000;
/// Time between two checks whether an ask is due, in milliseconds; the same as in the daemon.
const SHARE_STEP: u64 = 100;
const CENTRES: usize = 3;
/// Time after each change in which refusals count as caused by it, in milliseconds.
const MOVING: u64 = 10_000;
/// Maximum number of nodes that are tried for a request, as a refusal says "not run"; the same as
/// in the daemon.
const TRIES: usize = 5;

const FLIP: shifts::ShiftPolicy = shifts::ShiftPolicy {
    leave_time: time::Duration::from_micros(1),
    return_time: time::Duration::from_micros(1),
};

/// The state of a run in which data centre 0 goes out of service and returns.
pub struct StudyRun {
    rng: rngs::StdRng,
    centres: Vec<centre_model::CentreModel>,
    shift: shifts::DataCentreShift,
    now: times::BootTime,
    arrivals: u32,
    result: study_result::StudyResult,
}

impl StudyRun {
    /// Creates a run; `arrivals` is in thousandths of a request per step and data centre.
    pub fn new(seed: u64, arrivals: u32, gradual: bool) -> Self {
        let now = times::BootTime::default();
        let centres = ["a", "b", "c"].map(|name| centre_model::CentreModel::new(name, now));
        let policy = if gradual {
            shifts::ShiftPolicy::default()
        } else {
            FLIP
        };
        Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            centres: centres.into_iter().filter_map(Result::ok).collect(),
            shift: shifts::DataCentreShift::new(true, policy),
            now,
            arrivals,
            result: study_result::StudyResult::default(),
        }
    }

    pub fn finish(mut self) -> study_result::StudyResult {
        let step = 50;
        for millis in (0..END).step_by(step) {
            self.now = times::BootTime::from_millis(millis);
            self.events(millis);
            let over = self
                .centres
                .iter_mut()
                .map(|centre| centre.advance(self.now))
                .max();
            self.result.over_limit = self.result.over_limit.max(over.unwrap_or(0));
            if millis % 1_000 == 0 {
                self.report(millis);
            }
            if millis % SHARE_STEP == 0 {
                self.share();
            }
            self.arrive(millis);
        }
        self.result
    }

    fn events(&mut self, millis: u64) {
        match millis {
            LEAVE => self.shift.set_service(false, self.now),
            RESTART => self.centres[0].restart(),
            RETURN => self.shift.set_service(true, self.now),
            _ => {}
        }
    }

    fn report(&mut self, millis: u64) {
        for (index, centre) in self.centres.iter_mut().enumerate() {
            let cold = index == 0 && (RESTART..WARM_AGAIN).contains(&millis);
            let state = if cold {
                reports::EngineState::Cold
            } else {
                reports::EngineState::Warm
            };
            centre.report(state, self.now);
        }
    }

    fn share(&mut self) {
        for centre in &mut self.centres {
            if let Err(error) = centre.share(self.now) {
                unreachable_name(&error);
            }
        }
    }

    fn arrive(&mut self, millis: u64) {
        for origin in 0..CENTRES {
            let certain = self.arrivals / 1_000;
            let more = self.rng.random_range(0..1_000) < self.arrivals % 1_000;
            // One arrival in five is a pair, so that the load is uneven.
            let paired = self.rng.random_bool(0.2);
            for _ in 0..(certain + u32::from(more)) * (1 + u32::from(paired)) {
                self.request(origin, millis);
            }
        }
    }

    fn request(&mut self, origin: usize, millis: u64) {
        let fingerprint = self.rng.random::<u64>();
        let service = self.rng.random_range(2_000..5_000);
        let ends_at = self.now.after(time::Duration::from_millis(service));
        if millis < WARM_UP {
            self.start(origin, fingerprint, ends_at, millis);
            return;
        }
        self.result.arrivals += 1;
        if let Some(latency) = self.start(origin, fingerprint, ends_at, millis) {
            self.result.first_tokens.push(latency);
            return;
        }
        self.result.refused += 1;
        let first_open = usize::from(self.weight() == shifts::ShiftWeight::NONE);
        let free_capacity = self.centres[first_open..]
            .iter()
            .map(|centre| centre.free_capacity(self.now))
            .sum::<u32>();
        self.result.refused_moving += u64::from(is_moving(millis));
        self.result.refused_with_room += u64::from(free_capacity > 0);
    }

    /// Tries a few nodes, first the one that the request reached.
    fn start(
        &mut self,
        origin: usize,
        fingerprint: u64,
        ends_at: times::BootTime,
        millis: u64,
    ) -> Option<time::Duration> {
        for (tried, (centre, node)) in self.tries(origin, fingerprint).into_iter().enumerate() {
            self.result.retries += u64::from(tried > 0 && is_moving(millis));
            if self.centres[centre].start(node, ends_at, self.now) {
                if centre == 0 && (LEAVE..RETURN).contains(&millis) {
                    self.result.last_new_work = time::Duration::from_millis(millis - LEAVE);
                }
                return Some(self.first_token(origin, centre));
            }
        }
        None
    }

    /// Returns the nodes to try: the one that the request reached, the other one of its data
    /// centre, then one of each other data centre before their second ones.
    ///
    /// While data centre 0 goes out of service, its weight limits every try there; while it
    /// returns, only the first one.
    fn tries(&self, origin: usize, fingerprint: u64) -> Vec<(usize, usize)> {
        let is_outside_weight = !self.weight().includes(fingerprint);
        let mut first = origin;
        if first == 0 && is_outside_weight {
            first = 1 + usize::try_from(fingerprint / 1_000 % 2).unwrap_or(0);
        }
        let node = usize::try_from(fingerprint / 2_000 % 2).unwrap_or(0);
        let mut tries = vec![(first, node), (first, 1 - node)];
        for node in [1 - node, node] {
            tries.extend((1..CENTRES).map(|step| ((first + step) % CENTRES, node)));
        }
        let leaves_centre_0_out = is_outside_weight && !self.shift.in_service();
        tries.retain(|(centre, _)| *centre != 0 || !leaves_centre_0_out);
        tries.truncate(TRIES);
        tries
    }

    /// Returns a time to first token that grows with the load and is longer where the prompt's
    /// prefix is not cached.
    fn first_token(&self, origin: usize, centre: usize) -> time::Duration {
        let load = u64::from(self.centres[centre].mean_load());
        let uncached = if origin == centre { 0 } else { 400 };
        time::Duration::from_millis(400 + 30 * load + uncached)
    }

    fn weight(&self) -> shifts::ShiftWeight {
        let warm = self.centres[0].warm(self.now);
        self.shift.weight(warm, self.now)
    }
}

/// The model's names are all valid.
fn unreachable_name(error: &ids::NameError) {
    debug_assert!(false, "{error}");
}

fn is_moving(millis: u64) -> bool {
    let within = |change: u64| (change..change + MOVING).contains(&millis);
    within(LEAVE) || within(RETURN)
}
