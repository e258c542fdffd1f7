//! Checks that a data centre leaves and returns under load without a broken promise to any caller.

use std::time;

use pier_limits::shifts;
use pier_load::{calls, drives, fleets, reviews};
use pier_types::{rates, sizes};

const PHASES: reviews::PhaseTimes = reviews::PhaseTimes {
    lead: time::Duration::ZERO,
    before: time::Duration::from_secs(1),
    leaving: time::Duration::from_secs(6),
    out: time::Duration::from_secs(2),
    returning: time::Duration::from_secs(6),
    after: time::Duration::from_secs(1),
};

fn plan() -> fleets::FleetPlan {
    fleets::FleetPlan {
        data_centres: ["north", "south", "west"].map(str::to_owned).to_vec(),
        nodes: 2,
        engines: 2,
        warm_limit: sizes::RequestCount::new(8),
        cold_limit: sizes::RequestCount::new(2),
        warm_after: sizes::RequestCount::new(4),
        token_time: time::Duration::from_millis(10),
        prefill_time: time::Duration::from_millis(20),
        cached_prefixes: 4,
        load_time: time::Duration::from_millis(200),
        retry_percent: 10,
        shift: shifts::ShiftPolicy::default(),
    }
}

fn mix() -> calls::LoadMix {
    calls::LoadMix {
        rate: rates::RequestRate::new(60),
        min_tokens: 8,
        max_tokens: 24,
        streamed_percent: 70,
        unusual_percent: 10,
        shared_prefixes: 8,
        deadline: time::Duration::from_secs(20),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_call_gets_its_answer_or_a_true_refusal_while_a_data_centre_leaves_and_returns() {
    let plan = plan();
    let warm_limit = plan.warm_limit.get() as usize;
    let run = drives::DriveRun::drive(plan, &mix(), PHASES, 11, time::Duration::ZERO).await;
    let run = run.unwrap();
    check_calls(&run);
    check_engines(&run, warm_limit);
    check_no_late_arrivals(&run);
}

fn check_calls(run: &drives::DriveRun) {
    let review = reviews::CallReview::new(run.records.values().flatten().flatten());
    for call in &run.calls {
        review.check(call).unwrap();
    }
    let whole = run.calls.iter().filter(|call| call.is_complete());
    assert!(whole.count() > 0, "no call was answered at all");
}

/// Checks that no engine exceeded its warm limit or crashed under load while cold.
fn check_engines(run: &drives::DriveRun, warm_limit: usize) {
    for (data_centre, engines) in &run.records {
        let review = reviews::EngineReview::new(engines);
        let most = review.max_in_flight();
        assert!(most <= warm_limit, "{data_centre}: {most} at one engine");
        assert_eq!(review.lost(), 0, "{data_centre}: an engine went down");
    }
}

/// Checks that no call sent after the data centre had left reached its engines, and that some calls
/// reached them earlier.
fn check_no_late_arrivals(run: &drives::DriveRun) {
    let (data_centre, engines) = run.records.iter().next().unwrap();
    let entries = engines.iter().flatten();
    let review = reviews::CallReview::new(entries.filter(|entry| entry.arrived_at < run.back_at));
    let late = |call: &&calls::CallRecord| call.sent_at > run.closed_at && review.reached(call);
    assert_eq!(
        run.calls.iter().find(late),
        None,
        "new work at {data_centre}"
    );
    assert!(run.calls.iter().any(|call| review.reached(call)));
}
