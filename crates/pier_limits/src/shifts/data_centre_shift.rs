//! The load of one data centre while it goes out of service and returns.

use std::time;

use pier_types::times;

use crate::shifts;

/// Decides how much of its usual new work a data centre gets. Each node decides this by itself.
///
/// The load is removed over a short time, so that the other data centres' shares can adapt. After
/// that the data centre gets nothing, even if the others are overloaded. The load returns over a
/// longer time, and never faster than the targets can handle it, as cold ones handle little.
/// Requests in progress are not affected.
///
/// ```
/// use std::time;
/// use pier_limits::shifts;
/// use pier_types::times;
///
/// let now = times::BootTime::from_millis(1_000);
/// let mut shift = shifts::DataCentreShift::new(true, shifts::ShiftPolicy::default());
/// shift.set_service(false, now);
/// let later = now.after(time::Duration::from_secs(2));
/// assert_eq!(shift.weight(shifts::ShiftWeight::WHOLE, later), shifts::ShiftWeight::NONE);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct DataCentreShift {
    policy: shifts::ShiftPolicy,
    in_service: bool,
    from: shifts::ShiftWeight,
    since: times::BootTime,
}

impl DataCentreShift {
    /// Creates the state of a data centre that has been in or out of service for long.
    ///
    /// So a node that starts while a data centre is going out of service sends no new work there.
    pub const fn new(in_service: bool, policy: shifts::ShiftPolicy) -> Self {
        let from = if in_service {
            shifts::ShiftWeight::WHOLE
        } else {
            shifts::ShiftWeight::NONE
        };
        Self {
            policy,
            in_service,
            from,
            since: times::BootTime::from_micros(0),
        }
    }

    /// Applies whether the configuration has the data centre in service.
    ///
    /// If the direction changes during a shift, the weight continues from its current value.
    pub fn set_service(&mut self, in_service: bool, now: times::BootTime) {
        if in_service == self.in_service {
            return;
        }
        self.from = self.scheduled_weight(now);
        self.in_service = in_service;
        self.since = now;
    }

    /// Returns the part of its usual load that the data centre gets now. `capacity` is the part
    /// of its capacity that its targets can handle now, see [`shifts::CentreCapacity`].
    pub fn weight(
        &self,
        capacity: shifts::ShiftWeight,
        now: times::BootTime,
    ) -> shifts::ShiftWeight {
        let scheduled_weight = self.scheduled_weight(now);
        if self.is_settled(now) || !self.in_service {
            return scheduled_weight;
        }
        scheduled_weight.min(capacity)
    }

    /// Returns whether the data centre is in service.
    ///
    /// The weight decides only where a request is sent first. A request that another data centre
    /// refused without running it may still be tried here, unless the data centre is going out of
    /// service and its weight is [`shifts::ShiftWeight::NONE`].
    pub const fn in_service(&self) -> bool {
        self.in_service
    }

    /// Returns whether the time of the last shift is over; targets may still be warming up.
    pub fn is_settled(&self, now: times::BootTime) -> bool {
        let end = if self.in_service {
            shifts::ShiftWeight::WHOLE
        } else {
            shifts::ShiftWeight::NONE
        };
        self.scheduled_weight(now) == end
    }

    fn scheduled_weight(&self, now: times::BootTime) -> shifts::ShiftWeight {
        let elapsed = now.since(self.since);
        if self.in_service {
            let gained = elapsed_part(elapsed, self.policy.return_time);
            shifts::ShiftWeight::from_thousandths(self.from.get().saturating_add(gained))
        } else {
            let lost = elapsed_part(elapsed, self.policy.leave_time);
            shifts::ShiftWeight::from_thousandths(self.from.get().saturating_sub(lost))
        }
    }
}

/// Returns the part of `whole` that has elapsed, in thousandths.
fn elapsed_part(elapsed: time::Duration, whole: time::Duration) -> u16 {
    let elapsed = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    let whole = u64::try_from(whole.as_micros()).unwrap_or(u64::MAX);
    shifts::ShiftWeight::from_ratio(elapsed, whole).get()
}
