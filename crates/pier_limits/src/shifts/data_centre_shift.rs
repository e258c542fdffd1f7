//! The load of one data centre while it leaves and returns.

use std::time;

use pier_types::times;

use crate::shifts;

/// Decides how much of its usual new work a data centre gets, at each node by itself.
///
/// It leaves over a short time, so that the others' shares can follow, and gets nothing after
/// that, whatever the others can take. It returns over a longer time and never ahead of what its
/// targets bear, cold ones little. Work in progress is not touched.
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
    /// Creates the shift of a data centre that has been in or out for long.
    ///
    /// A node that starts while a data centre leaves sends nothing there from the start.
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

    /// Takes in whether the configuration in force has the data centre in service.
    ///
    /// A change of mind goes on from the weight that was reached.
    pub fn set_service(&mut self, in_service: bool, now: times::BootTime) {
        if in_service == self.in_service {
            return;
        }
        self.from = self.timed(now);
        self.in_service = in_service;
        self.since = now;
    }

    /// Returns the part of the usual load now; `bearable` is the part of the data centre's capacity
    /// that its targets bear now, see [`shifts::CentreCapacity`].
    pub fn weight(
        &self,
        bearable: shifts::ShiftWeight,
        now: times::BootTime,
    ) -> shifts::ShiftWeight {
        let timed = self.timed(now);
        if self.is_settled(now) || !self.in_service {
            return timed;
        }
        timed.min(bearable)
    }

    /// Returns whether the data centre is in service.
    ///
    /// The weight steers where a request goes first; one that was refused elsewhere as not run may
    /// still be tried here, until a data centre that leaves has the weight none.
    pub const fn in_service(&self) -> bool {
        self.in_service
    }

    /// Returns whether the last change is over, but for the data centre's warming up.
    pub fn is_settled(&self, now: times::BootTime) -> bool {
        let end = if self.in_service {
            shifts::ShiftWeight::WHOLE
        } else {
            shifts::ShiftWeight::NONE
        };
        self.timed(now) == end
    }

    fn timed(&self, now: times::BootTime) -> shifts::ShiftWeight {
        let elapsed = now.since(self.since);
        if self.in_service {
            let gained = part(elapsed, self.policy.return_time);
            shifts::ShiftWeight::from_thousandths(self.from.get().saturating_add(gained))
        } else {
            let lost = part(elapsed, self.policy.leave_time);
            shifts::ShiftWeight::from_thousandths(self.from.get().saturating_sub(lost))
        }
    }
}

/// Returns the thousandths of a time that have passed.
fn part(elapsed: time::Duration, whole: time::Duration) -> u16 {
    let elapsed = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    let whole = u64::try_from(whole.as_micros()).unwrap_or(u64::MAX);
    shifts::ShiftWeight::of_parts(elapsed, whole).get()
}
