//! Finds out which targets crashed and which requests ran on them.

mod loss_check;
mod registered_cause;

pub(crate) use loss_check::LossCheck;
pub(crate) use registered_cause::{LostTarget, registered_cause};
