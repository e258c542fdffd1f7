//! Load and progress of one target.

use std::{
    sync::{self, atomic},
    time,
};

use pier_fleet::{loads, urgency};
use pier_types::times;

use crate::state;

/// Divisor that gives the weight of the newest reading in a running mean.
const MEAN_WEIGHT: u64 = 8;

/// Mean answer time that is assumed before the first reading.
const INITIAL_ANSWER_TIME: time::Duration = time::Duration::from_millis(60);

/// Time after which the mean gap between events says nothing about the target's current pace.
const GAP_LIFETIME: time::Duration = time::Duration::from_secs(3);

const RELAXED: atomic::Ordering = atomic::Ordering::Relaxed;

/// Counts the requests at a target: this node's own (local) and those that other nodes report
/// (remote).
#[derive(Debug)]
pub(crate) struct TargetGauge {
    running: atomic::AtomicU32,
    waiting: atomic::AtomicU32,
    waiting_prompt: atomic::AtomicU64,
    remote_running: atomic::AtomicU32,
    remote_waiting: atomic::AtomicU32,
    remote_prompt: atomic::AtomicU64,
    mix: state::MixGauge,
    remote_mix: state::MixGauge,
    /// Requests whose callers do not read; they make no progress, whatever the target does.
    held_up: atomic::AtomicU32,
    last_progress: atomic::AtomicU64,
    gap_micros: atomic::AtomicU64,
    gap_at: atomic::AtomicU64,
    answer_micros: atomic::AtomicU64,
    failure_permille: atomic::AtomicU64,
    stuck_until: atomic::AtomicU64,
    unreached_until: atomic::AtomicU64,
    /// When the target was last found stuck by its silence.
    stalled_at: atomic::AtomicU64,
    reported_stuck_until: atomic::AtomicU64,
}

impl Default for TargetGauge {
    fn default() -> Self {
        let first = u64::try_from(INITIAL_ANSWER_TIME.as_micros()).unwrap_or(u64::MAX);
        Self {
            running: atomic::AtomicU32::new(0),
            waiting: atomic::AtomicU32::new(0),
            waiting_prompt: atomic::AtomicU64::new(0),
            remote_running: atomic::AtomicU32::new(0),
            remote_waiting: atomic::AtomicU32::new(0),
            remote_prompt: atomic::AtomicU64::new(0),
            mix: state::MixGauge::default(),
            remote_mix: state::MixGauge::default(),
            held_up: atomic::AtomicU32::new(0),
            last_progress: atomic::AtomicU64::new(0),
            gap_micros: atomic::AtomicU64::new(0),
            gap_at: atomic::AtomicU64::new(0),
            answer_micros: atomic::AtomicU64::new(first),
            failure_permille: atomic::AtomicU64::new(0),
            stuck_until: atomic::AtomicU64::new(0),
            unreached_until: atomic::AtomicU64::new(0),
            stalled_at: atomic::AtomicU64::new(0),
            reported_stuck_until: atomic::AtomicU64::new(0),
        }
    }
}

impl TargetGauge {
    /// Counts a request that is about to be sent, until the guard is dropped.
    pub(crate) fn begin(
        self: &sync::Arc<Self>,
        prompt: u64,
        class: urgency::UrgencyClass,
        now: times::BootTime,
    ) -> GaugeGuard {
        if self.local_in_flight() == 0 {
            self.record_progress(now);
        }
        self.waiting.fetch_add(1, RELAXED);
        self.waiting_prompt.fetch_add(prompt, RELAXED);
        self.mix.add(class, prompt);
        GaugeGuard {
            gauge: sync::Arc::clone(self),
            prompt,
            class,
            phase: GuardPhase::Waiting,
        }
    }

    pub(crate) fn local_running(&self) -> u32 {
        self.running.load(RELAXED)
    }

    fn local_waiting(&self) -> u32 {
        self.waiting.load(RELAXED)
    }

    /// Returns this node's own load.
    pub(crate) fn local_load(&self) -> loads::TargetLoad {
        loads::TargetLoad {
            running: self.local_running(),
            waiting: self.local_waiting(),
            waiting_prompt: self.waiting_prompt.load(RELAXED),
            mix: self.mix.get(),
        }
    }

    pub(crate) fn local_in_flight(&self) -> u32 {
        self.local_running() + self.local_waiting()
    }

    /// Returns the number of this node's requests that wait for the target, as their callers read.
    pub(crate) fn awaited(&self) -> u32 {
        let held_up = self.held_up.load(RELAXED);
        self.local_in_flight().saturating_sub(held_up)
    }

    /// Counts a request as held up by its caller until the guard is dropped.
    pub(crate) fn hold_up(self: &sync::Arc<Self>) -> HoldGuard {
        self.held_up.fetch_add(1, RELAXED);
        HoldGuard {
            gauge: sync::Arc::clone(self),
        }
    }

    pub(crate) fn running(&self) -> u32 {
        self.local_running() + self.remote_running.load(RELAXED)
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.local_waiting() + self.remote_waiting.load(RELAXED)
    }

    pub(crate) fn waiting_prompt(&self) -> u64 {
        self.waiting_prompt.load(RELAXED) + self.remote_prompt.load(RELAXED)
    }

    /// Returns the waiting requests by urgency.
    pub(crate) fn waiting_mix(&self) -> urgency::WaitingMix {
        let mut mix = self.mix.get();
        mix += self.remote_mix.get();
        mix
    }

    /// Returns the load that the other nodes have at the target.
    pub(crate) fn remote_load(&self) -> loads::TargetLoad {
        loads::TargetLoad {
            running: self.remote_running.load(RELAXED),
            waiting: self.remote_waiting.load(RELAXED),
            waiting_prompt: self.remote_prompt.load(RELAXED),
            mix: self.remote_mix.get(),
        }
    }

    /// Sets the load that the other nodes have at the target.
    pub(crate) fn set_remote_load(&self, load: loads::TargetLoad) {
        self.remote_running.store(load.running, RELAXED);
        self.remote_waiting.store(load.waiting, RELAXED);
        self.remote_prompt.store(load.waiting_prompt, RELAXED);
        self.remote_mix.set(load.mix);
    }

    pub(crate) fn record_progress(&self, now: times::BootTime) {
        self.last_progress.fetch_max(now.as_micros(), RELAXED);
    }

    pub(crate) fn last_progress(&self) -> times::BootTime {
        times::BootTime::from_micros(self.last_progress.load(RELAXED))
    }

    /// Records the time between two events of one stream.
    pub(crate) fn record_gap(&self, gap: time::Duration, now: times::BootTime) {
        update_mean(&self.gap_micros, gap);
        self.gap_at.store(now.as_micros(), RELAXED);
    }

    /// Returns the mean gap between events, if one was recorded recently.
    pub(crate) fn gap(&self, now: times::BootTime) -> Option<time::Duration> {
        let at = times::BootTime::from_micros(self.gap_at.load(RELAXED));
        let micros = self.gap_micros.load(RELAXED);
        (micros > 0 && now.since(at) < GAP_LIFETIME).then(|| time::Duration::from_micros(micros))
    }

    pub(crate) fn record_answer(&self, taken: time::Duration, is_failure: bool) {
        update_mean(&self.answer_micros, taken);
        let reading = if is_failure { 1_000 } else { 0 };
        let update = |mean: u64| Some((mean * (MEAN_WEIGHT - 1) + reading) / MEAN_WEIGHT);
        let _previous = self.failure_permille.fetch_update(RELAXED, RELAXED, update);
    }

    pub(crate) fn answer_time(&self) -> time::Duration {
        time::Duration::from_micros(self.answer_micros.load(RELAXED))
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_permille.load(RELAXED) as f64 / 1_000.0
    }

    /// Marks the target as stuck, so that it gets no new requests until the given time.
    pub(crate) fn set_stuck(&self, until: times::BootTime) {
        self.stuck_until.fetch_max(until.as_micros(), RELAXED);
    }

    /// Marks the target as not reached by this node, so that it gets no new requests until the given
    /// time; other nodes may reach it.
    pub(crate) fn set_unreached(&self, until: times::BootTime) {
        self.unreached_until.fetch_max(until.as_micros(), RELAXED);
        self.set_stuck(until);
    }

    /// Returns whether the target rests since this node did not reach it.
    pub(crate) fn is_unreached(&self, now: times::BootTime) -> bool {
        now.as_micros() < self.unreached_until.load(RELAXED) && self.is_stuck(now)
    }

    /// Marks the target as stuck by its silence; unlike another mark it ends with the silence.
    pub(crate) fn set_stalled(&self, until: times::BootTime, now: times::BootTime) {
        self.stalled_at.store(now.as_micros(), RELAXED);
        self.set_stuck(until);
    }

    /// Clears the mark of [`Self::set_stalled`] if the target has made progress since.
    pub(crate) fn clear_stall(&self) {
        let stalled_at = self.stalled_at.load(RELAXED);
        if stalled_at > 0 && self.last_progress.load(RELAXED) > stalled_at {
            self.stalled_at.store(0, RELAXED);
            self.stuck_until.store(0, RELAXED);
        }
    }

    /// Returns whether this node found the target stuck.
    pub(crate) fn is_stuck(&self, now: times::BootTime) -> bool {
        now.as_micros() < self.stuck_until.load(RELAXED)
    }

    /// Records that most nodes which use the target find it stuck.
    pub(crate) fn set_reported_stuck(&self, until: times::BootTime) {
        self.reported_stuck_until
            .fetch_max(until.as_micros(), RELAXED);
    }

    /// Returns whether the other nodes found the target stuck.
    pub(crate) fn is_reported_stuck(&self, now: times::BootTime) -> bool {
        now.as_micros() < self.reported_stuck_until.load(RELAXED)
    }
}

fn update_mean(cell: &atomic::AtomicU64, reading: time::Duration) {
    let reading = u64::try_from(reading.as_micros()).unwrap_or(u64::MAX / MEAN_WEIGHT);
    let update = |mean: u64| {
        if mean == 0 {
            return Some(reading);
        }
        Some((mean * (MEAN_WEIGHT - 1) + reading) / MEAN_WEIGHT)
    };
    let _previous = cell.fetch_update(RELAXED, RELAXED, update);
}

/// Keeps a request counted at its target until dropped.
#[derive(Debug)]
pub(crate) struct GaugeGuard {
    gauge: sync::Arc<TargetGauge>,
    prompt: u64,
    class: urgency::UrgencyClass,
    phase: GuardPhase,
}

/// As what a request is counted at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GuardPhase {
    Waiting,
    Running,
    Ended,
}

impl GaugeGuard {
    /// Moves the request from waiting to running, once the first part of the answer has come.
    pub(crate) fn mark_started(&mut self) {
        if self.phase != GuardPhase::Waiting {
            return;
        }
        self.release();
        self.phase = GuardPhase::Running;
        self.gauge.running.fetch_add(1, RELAXED);
    }

    /// Counts the request no longer, once the target has lost it.
    pub(crate) fn release(&mut self) {
        match self.phase {
            GuardPhase::Waiting => {
                self.gauge.waiting.fetch_sub(1, RELAXED);
                self.gauge.waiting_prompt.fetch_sub(self.prompt, RELAXED);
                self.gauge.mix.remove(self.class, self.prompt);
            }
            GuardPhase::Running => {
                self.gauge.running.fetch_sub(1, RELAXED);
            }
            GuardPhase::Ended => {}
        }
        self.phase = GuardPhase::Ended;
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.release();
    }
}

/// Keeps a request counted as held up by its caller until dropped.
#[derive(Debug)]
pub(crate) struct HoldGuard {
    gauge: sync::Arc<TargetGauge>,
}

impl Drop for HoldGuard {
    fn drop(&mut self) {
        // The target could send nothing meanwhile.
        self.gauge.record_progress(times::clocks::boot_now());
        self.gauge.held_up.fetch_sub(1, RELAXED);
    }
}
