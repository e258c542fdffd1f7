//! Records demand by urgency.

use std::time;

use pier_types::times;

use crate::urgency;

/// Time after which a request weighs e times less. Long enough that a node which gets few requests
/// has a sample, and short against a change of demand that lasts.
const DECAY_TIME: time::Duration = time::Duration::from_secs(8);

/// Weight of a class below which its requests are too long ago to expect further ones.
const MIN_WEIGHT: f64 = 0.5;

/// Counts that fade with time, for the requests that one node got for one model.
#[derive(Debug, Clone, Default)]
pub struct DemandRecord {
    classes: [ClassCounts; urgency::UrgencyClass::ALL.len()],
    faded_at: times::BootTime,
}

#[derive(Debug, Clone, Copy, Default)]
struct ClassCounts {
    wanted: f64,
    prompt: f64,
    sent: f64,
    work: f64,
    settled: f64,
    in_time: f64,
    objective: Option<time::Duration>,
}

impl DemandRecord {
    /// Records that a request arrived.
    pub fn record_arrival(
        &mut self,
        class: urgency::UrgencyClass,
        prompt: u64,
        objective: time::Duration,
        now: times::BootTime,
    ) {
        self.fade(now);
        let counts = &mut self.classes[class.position()];
        counts.wanted += 1.0;
        counts.prompt += prompt as f64;
        let known = counts.objective.unwrap_or(objective);
        counts.objective = Some(known.min(objective));
    }

    /// Records that a target was chosen for a request.
    pub fn record_send(&mut self, class: urgency::UrgencyClass, prompt: u64, now: times::BootTime) {
        self.fade(now);
        let counts = &mut self.classes[class.position()];
        counts.sent += 1.0;
        counts.work += prompt as f64;
    }

    /// Records that a request was refused, or that its answer began within its objective or later.
    pub fn record_outcome(
        &mut self,
        class: urgency::UrgencyClass,
        is_in_time: bool,
        now: times::BootTime,
    ) {
        self.fade(now);
        let counts = &mut self.classes[class.position()];
        counts.settled += 1.0;
        counts.in_time += f64::from(u8::from(is_in_time));
    }

    /// Returns the recent demand.
    pub fn view(&mut self, now: times::BootTime) -> urgency::DemandView {
        self.fade(now);
        let sent: f64 = self.classes.iter().map(|counts| counts.sent).sum();
        let work: f64 = self.classes.iter().map(|counts| counts.work).sum();
        urgency::DemandView::new(self.classes.map(|counts| counts.demand(sent, work)))
    }

    fn fade(&mut self, now: times::BootTime) {
        let elapsed = now.since(self.faded_at);
        let factor = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.faded_at = self.faded_at.max(now);
        for counts in &mut self.classes {
            counts.fade(factor);
        }
    }
}

impl ClassCounts {
    fn fade(&mut self, factor: f64) {
        for count in [
            &mut self.wanted,
            &mut self.prompt,
            &mut self.sent,
            &mut self.work,
            &mut self.settled,
            &mut self.in_time,
        ] {
            *count *= factor;
        }
        if self.wanted < MIN_WEIGHT {
            self.objective = None;
        }
    }

    fn demand(&self, sent: f64, work: f64) -> urgency::ClassDemand {
        if self.objective.is_none() {
            return urgency::ClassDemand {
                served_permille: 1_000,
                ..urgency::ClassDemand::default()
            };
        }
        urgency::ClassDemand {
            wanted_permille: whole(1_000.0 * self.wanted / sent.max(1.0)),
            sent_permille: whole(1_000.0 * self.sent / sent.max(1.0)),
            // One more request that was served keeps a single refusal from counting as the rule.
            served_permille: whole(1_000.0 * (self.in_time + 1.0) / (self.settled + 1.0)),
            work_permille: whole(1_000.0 * self.work / work.max(1.0)),
            prompt: u64::from(whole(self.prompt / self.wanted)),
            objective: self.objective,
        }
    }
}

/// Returns the nearest whole number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range"
)]
fn whole(value: f64) -> u32 {
    value.round().clamp(0.0, f64::from(u32::MAX)) as u32
}
