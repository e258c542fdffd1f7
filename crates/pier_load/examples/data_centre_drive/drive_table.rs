//! Prints the results of a drive.

use std::time;

use pier_load::{drives, reviews};
use pier_types::sizes;

/// Prints a line for each compared phase, with times as ratios to the first of them, and lines for
/// the engines.
pub fn print(
    way: &str,
    run: &drives::DriveRun,
    phases: &reviews::PhaseTimes,
    capacity: sizes::RequestCount,
) -> anyhow::Result<()> {
    let entries = run.records.values().flatten().flatten();
    let review = reviews::CallReview::new(entries);
    let false_answers = run.calls.iter().filter_map(|call| review.check(call).err());
    let false_answers: Vec<String> = false_answers.map(|error| error.to_string()).collect();
    println!(
        "way      phase      calls  whole refused broken retries  first_p50 first_p95  gap_p95  by code, by priority"
    );
    let mut base: Option<reviews::PhaseReview> = None;
    for phase in reviews::DrivePhase::COMPARED {
        let calls = run.calls.iter();
        let calls = calls.filter(|call| phases.phase(run.start, call.sent_at) == phase);
        let current = reviews::PhaseReview::new(calls, &review)?;
        print_phase(way, phase, &current, base.as_ref().unwrap_or(&current));
        base.get_or_insert(current);
    }
    println!(
        "{way:<8} use_before={:.0}%",
        100.0 * utilization_before(run, phases, capacity)
    );
    print_engines(way, run, phases, &false_answers);
    Ok(())
}

fn print_phase(
    way: &str,
    phase: reviews::DrivePhase,
    current: &reviews::PhaseReview,
    base: &reviews::PhaseReview,
) {
    println!(
        "{way:<8} {phase:<9} {:>6} {:>6} {:>7} {:>6} {:>7}  {:>9.2} {:>9.2} {:>8.2}  {:?} {:?}",
        current.calls,
        current.complete,
        current.refusals(),
        current.broken,
        current.retries,
        ratio(&current.time_to_first_token, &base.time_to_first_token, 0.5),
        ratio(
            &current.time_to_first_token,
            &base.time_to_first_token,
            0.95
        ),
        ratio(&current.token_gap, &base.token_gap, 0.95),
        current.refused,
        current.refused_by_priority,
    );
}

fn print_engines(
    way: &str,
    run: &drives::DriveRun,
    phases: &reviews::PhaseTimes,
    false_answers: &[String],
) {
    for (data_centre, engines) in &run.records {
        let review = reviews::EngineReview::new(engines);
        println!(
            "{way:<8} engines={data_centre} most_in_flight={} lost={}",
            review.max_in_flight(),
            review.lost()
        );
    }
    if let Some((data_centre, engines)) = run.records.iter().next() {
        let review = reviews::EngineReview::new(engines);
        let last = review.last_new_work(run.left_at, run.back_at);
        println!(
            "{way:<8} left={data_centre} last_new_work_ms={} second_by_second_after_return={:?}",
            last.map_or(0, |time| time.as_millis()),
            arrivals_per_second(&review, run, phases),
        );
    }
    println!(
        "{way:<8} false_answers={} {:?}",
        false_answers.len(),
        false_answers.first()
    );
}

/// Returns which fraction of the engines' slots was in use before the data centre was taken out.
fn utilization_before(
    run: &drives::DriveRun,
    phases: &reviews::PhaseTimes,
    capacity: sizes::RequestCount,
) -> f64 {
    let from = run.start.after(phases.lead);
    let end = run.start.after(phases.leaves_at());
    let entries = run.records.values().flatten().flatten();
    let before = entries.filter(|entry| entry.arrived_at >= from && entry.arrived_at < end);
    let busy = before.map(|entry| {
        let ended_at = entry.ended_at.unwrap_or(end).min(end);
        ended_at.since(entry.arrived_at).as_secs_f64()
    });
    let slots = f64::from(capacity.get()) * phases.before.as_secs_f64();
    busy.sum::<f64>() / slots
}

/// Returns the number of new requests in each second after the data centre was put back.
fn arrivals_per_second(
    review: &reviews::EngineReview<'_>,
    run: &drives::DriveRun,
    phases: &reviews::PhaseTimes,
) -> Vec<usize> {
    let seconds = (phases.returning + phases.after).as_secs();
    let second = |number| run.back_at.after(time::Duration::from_secs(number));
    let counts = (0..seconds).map(|number| review.arrivals(second(number), second(number + 1)));
    counts.collect()
}

fn ratio(
    current: &hdrhistogram::Histogram<u64>,
    base: &hdrhistogram::Histogram<u64>,
    quantile: f64,
) -> f64 {
    current.value_at_quantile(quantile) as f64 / base.value_at_quantile(quantile).max(1) as f64
}
