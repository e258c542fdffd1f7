//! Holds answers for their callers within the node's budget for them.

mod answer_limit;
mod answer_owner;
mod answer_room;
mod answer_share;
mod whole_answer;

pub(super) use answer_limit::AnswerLimit;
pub(super) use answer_owner::AnswerOwner;
pub(crate) use answer_room::AnswerRoom;
pub(super) use answer_share::AnswerShare;
pub(crate) use whole_answer::WholeAnswer;
