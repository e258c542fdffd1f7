//! When requests leave their data centre: under uneven, even and full load, on views of any age,
//! and when links are cut.

mod support;

use std::{collections, time};

use pier_fleet::{dispatch, loads, locality, urgency};
use pier_types::{ids, times};
use support::engine;

const OBJECTIVE: time::Duration = time::Duration::from_millis(300);

/// Mean age of loads through a hub, in steps of the simulation.
const VIEW_STEPS: usize = 10;

const STEP: time::Duration = time::Duration::from_millis(10);

const GROUPS_PER_CENTRE: usize = 3;

const CENTRES: usize = 3;

/// Requests a second that a data centre's groups bear: a batch of 26 ends in about 1.4 s.
const CENTRE_RATE: u64 = 54;

fn group(running: u32, waiting: u32) -> dispatch::LoadFacts {
    dispatch::LoadFacts {
        running,
        waiting,
        waiting_prompt: u64::from(waiting) * 1_000,
        mix: urgency::WaitingMix::default(),
        slots: 26,
        slowness: 1.0,
        failure_rate: 0.0,
        is_local: true,
        centre: locality::CentreFacts::default(),
        is_unavailable: false,
        answer_time: time::Duration::from_millis(60),
    }
}

fn elsewhere(mut load: dispatch::LoadFacts, age_ms: u64) -> dispatch::LoadFacts {
    load.is_local = false;
    load.centre.load_age = time::Duration::from_millis(age_ms);
    load
}

fn closed(mut load: dispatch::LoadFacts) -> dispatch::LoadFacts {
    load.is_local = false;
    load.centre.is_open = false;
    load
}

fn facts(draw: u32) -> dispatch::RequestFacts {
    dispatch::RequestFacts {
        prompt: 700,
        objective: OBJECTIVE,
        time_left: time::Duration::from_secs(6),
        rank: 1,
        is_resumed: false,
        view_age: time::Duration::from_millis(100),
        displaced: 0,
        demand: urgency::DemandView::default(),
        draw,
    }
}

fn choose(draw: u32, loads: &[dispatch::LoadFacts]) -> dispatch::ChoiceOutcome {
    let none = time::Duration::ZERO;
    dispatch::choose_stream(&engine(), 1.0, none, &facts(draw), loads)
}

/// Returns how many of a hundred requests with different draws leave.
fn leaving(loads: &[dispatch::LoadFacts]) -> usize {
    let sent = (0..100).filter(|draw: &u32| {
        let outcome = choose(draw.wrapping_mul(2_654_435_761), loads);
        matches!(outcome, dispatch::ChoiceOutcome::Send { position, .. } if !loads[position].is_local)
    });
    sent.count()
}

/// What became of a data centre's requests.
#[derive(Debug, Default, Clone)]
struct CentreCounts {
    asked: u32,
    left: u32,
    refused: u32,
    late: u32,
    /// Requests that left, by second.
    left_by_second: Vec<u32>,
}

/// Simulates data centres whose nodes see each other's loads 100 ms late; `rates` are the requests
/// a second of each.
fn simulate(rates: [u64; CENTRES], seconds: usize) -> Vec<CentreCounts> {
    let engine = engine();
    let groups = CENTRES * GROUPS_PER_CENTRE;
    // The steps at which each group's requests begin and end.
    let mut fleet: Vec<Vec<(usize, usize)>> = vec![Vec::new(); groups];
    let mut views: collections::VecDeque<Vec<(u32, u32)>> = collections::VecDeque::new();
    let mut counts = vec![CentreCounts::default(); CENTRES];
    let mut draw = 1_u32;
    for step in 0..seconds * 100 {
        for requests in &mut fleet {
            requests.retain(|(_begin, end)| *end > step);
        }
        let now: Vec<_> = fleet
            .iter()
            .map(|requests| {
                let waiting = requests
                    .iter()
                    .filter(|(begin, _end)| *begin > step)
                    .count();
                let running = requests.len() - waiting;
                (
                    u32::try_from(running).unwrap(),
                    u32::try_from(waiting).unwrap(),
                )
            })
            .collect();
        views.push_back(now.clone());
        if views.len() > VIEW_STEPS {
            views.pop_front();
        }
        for centre in 0..CENTRES {
            let counts = &mut counts[centre];
            counts.left_by_second.resize(step / 100 + 1, 0);
            let due = |step: usize| u64::try_from(step).unwrap() * rates[centre] / 100;
            for _arrival in 0..due(step + 1) - due(step) {
                draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                let loads: Vec<_> = views[0]
                    .iter()
                    .enumerate()
                    .map(|(at, (running, waiting))| {
                        let load = group(*running, *waiting);
                        if at / GROUPS_PER_CENTRE == centre {
                            load
                        } else {
                            elsewhere(load, 100)
                        }
                    })
                    .collect();
                counts.asked += 1;
                let dispatch::ChoiceOutcome::Send { position, .. } = choose(draw >> 4, &loads)
                else {
                    counts.refused += 1;
                    continue;
                };
                if position / GROUPS_PER_CENTRE != centre {
                    counts.left += 1;
                    *counts.left_by_second.last_mut().unwrap() += 1;
                }
                let requests = &mut fleet[position];
                let running = requests
                    .iter()
                    .filter(|(begin, _end)| *begin <= step)
                    .count();
                let waiting = requests.len() - running;
                let actual = group(
                    u32::try_from(running).unwrap(),
                    u32::try_from(waiting).unwrap(),
                );
                let model = dispatch::PassModel::new(&engine, 1.0);
                let first = model.first_event(&actual, 700);
                counts.late += u32::from(first > OBJECTIVE);
                let answer_ms = engine.mean_answer_tokens * engine.decode_step_ms(running as f64);
                let answer = time::Duration::from_secs_f64(answer_ms / 1_000.0);
                let steps = |taken: time::Duration| {
                    usize::try_from(taken.as_millis() / STEP.as_millis()).unwrap()
                };
                requests.push((step + steps(first), step + steps(first + answer)));
            }
        }
    }
    counts
}

/// Load: even demand at 60% of what the groups bear.
///
/// Leaving would only cost; with a constant price part of the requests left.
#[test]
fn with_even_demand_nothing_leaves() {
    for counts in simulate([CENTRE_RATE * 6 / 10; CENTRES], 20) {
        assert_eq!((counts.left, counts.refused), (0, 0), "{counts:?}");
    }
}

/// Load: even demand near what the groups bear.
#[test]
fn with_even_demand_near_the_limit_hardly_anything_leaves() {
    for counts in simulate([CENTRE_RATE * 9 / 10; CENTRES], 20) {
        assert!(counts.left * 50 <= counts.asked, "{counts:?}");
    }
}

/// Load: one data centre has 1.4 times its share, the others the rest.
#[test]
fn a_data_centre_with_more_than_its_share_sends_out_the_excess_alone() {
    let mean = CENTRE_RATE * 9 / 10;
    let counts = simulate([mean * 14 / 10, mean * 8 / 10, mean * 8 / 10], 20);
    let excess = counts[0].asked * 4 / 14;
    assert!(counts[0].left > 0, "{counts:?}");
    assert!(counts[0].left <= excess * 3 / 2, "{counts:?}");
    assert!(counts[0].refused * 20 <= counts[0].asked, "{counts:?}");
    for other in &counts[1..] {
        assert!(other.left * 50 <= other.asked, "{counts:?}");
        assert!(other.refused * 50 <= other.asked, "{counts:?}");
    }
}

/// Load: one data centre has 1.4 times its share; all its nodes see the same.
#[test]
fn nodes_with_the_same_view_do_not_swing_together() {
    let mean = CENTRE_RATE * 9 / 10;
    let counts = simulate([mean * 14 / 10, mean * 8 / 10, mean * 8 / 10], 30);
    let steady = &counts[0].left_by_second[10..];
    let (least, most) = (steady.iter().min().unwrap(), steady.iter().max().unwrap());
    assert!(most - least <= 20, "{steady:?}");
}

/// Load: more than all data centres bear.
#[test]
fn with_all_data_centres_full_requests_are_refused_where_they_came_in() {
    let full = group(26, 8);
    let loads = [full, full, elsewhere(full, 100), elsewhere(full, 100)];
    assert_eq!(leaving(&loads), 0);
    let outcome = choose(7, &loads);
    assert!(
        matches!(outcome, dispatch::ChoiceOutcome::Full { .. }),
        "{outcome:?}"
    );
}

/// Load: a busy group here that begins in time, idle groups elsewhere.
///
/// A constant price sent the request out for time that its caller does not need.
#[test]
fn time_that_the_caller_does_not_need_is_no_gain() {
    let idle = elsewhere(group(0, 0), 100);
    assert_eq!(leaving(&[group(22, 1), group(22, 1), idle, idle]), 0);
}

/// Load: full groups here that begin just in time, half-full ones elsewhere, whose loads are of
/// three ages.
#[test]
fn the_older_the_loads_the_less_leaves() {
    let here = group(26, 1);
    let counts = [100, 500, 3_000].map(|age_ms| {
        let there = elsewhere(group(13, 0), age_ms);
        leaving(&[here, here, there, there])
    });
    assert!(counts[0] >= 50, "{counts:?}");
    assert!(counts[1] < counts[0], "{counts:?}");
    assert_eq!(counts[2], 0, "{counts:?}");
}

/// Load: full groups here; one data centre with room that is cut off, one that is not.
#[test]
fn nothing_goes_to_a_data_centre_whose_links_are_cut() {
    let here = group(26, 6);
    let loads = [here, closed(group(0, 0)), elsewhere(group(13, 0), 100)];
    for draw in 0..100 {
        let outcome = choose(draw, &loads);
        let is_cut = matches!(outcome, dispatch::ChoiceOutcome::Send { position: 1, .. });
        assert!(!is_cut, "{outcome:?}");
    }
    assert_eq!(leaving(&[here, closed(group(0, 0))]), 0);
}

#[test]
fn without_a_target_here_any_reachable_one_is_used() {
    let mut lost = group(0, 0);
    lost.is_unavailable = true;
    for there in [elsewhere(group(20, 0), 3_000), closed(group(20, 0))] {
        assert_eq!(leaving(&[lost, there]), 100);
        assert_eq!(leaving(&[there]), 100);
    }
}

/// Load: a data centre without groups of its own, as while it is evacuated.
#[test]
fn requests_that_leave_in_any_case_go_to_the_least_loaded() {
    let (idle, busy) = (elsewhere(group(0, 0), 0), elsewhere(group(20, 1), 0));
    for draw in 0..100 {
        let mut request = facts(draw);
        request.view_age = time::Duration::ZERO;
        let none = time::Duration::ZERO;
        let outcome = dispatch::choose_stream(&engine(), 1.0, none, &request, &[busy, idle]);
        let is_least = matches!(outcome, dispatch::ChoiceOutcome::Send { position: 1, .. });
        assert!(is_least, "{outcome:?}");
    }
}

/// Load: full groups here; first events from elsewhere come later than expected, as over lossy
/// links.
#[test]
fn a_distance_that_grows_keeps_requests_here() {
    let here = group(26, 2);
    let mut there = elsewhere(group(13, 0), 100);
    assert!(leaving(&[here, there]) > 0);
    there.centre.distance = time::Duration::from_millis(300);
    assert_eq!(leaving(&[here, there]), 0);
}

fn plain(in_flight: u32) -> dispatch::LoadFacts {
    dispatch::LoadFacts {
        slots: 6,
        ..group(in_flight, 0)
    }
}

fn plain_position(loads: &[dispatch::LoadFacts]) -> Option<usize> {
    match dispatch::choose_plain(&facts(7), loads) {
        dispatch::ChoiceOutcome::Send { position, .. } => Some(position),
        _ => None,
    }
}

/// Load: six plain targets with 60 ms answers and six slots, two here and four elsewhere.
///
/// With a constant price a single request here sent the next one elsewhere.
#[test]
fn plain_requests_use_free_slots_here_first() {
    let idle = elsewhere(plain(0), 100);
    for here in 0..6 {
        let loads = [plain(here), plain(6), idle, idle, idle, idle];
        assert_eq!(plain_position(&loads), Some(0), "{here}");
    }
}

/// Load: the two plain targets here are full, those elsewhere are not, or as full.
#[test]
fn plain_requests_leave_when_the_answer_would_come_later_by_more_than_the_distance() {
    let idle = elsewhere(plain(1), 100);
    let position = plain_position(&[plain(9), plain(8), idle, idle, idle, idle]);
    assert!(
        position.is_some_and(|position| position >= 2),
        "{position:?}"
    );
    let mut far = idle;
    far.centre.distance = time::Duration::from_millis(200);
    let position = plain_position(&[plain(9), plain(8), far, far, far, far]);
    assert_eq!(position, Some(1));
    let full = elsewhere(plain(8), 100);
    let position = plain_position(&[plain(9), plain(8), full, full, full, full]);
    assert_eq!(position, Some(1));
}

fn vm(name: &str) -> ids::VmName {
    name.parse().unwrap()
}

fn at(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

// A cut shows at several targets, the end of one target at one.
#[test]
fn contacts_that_fail_at_two_targets_close_a_data_centre() {
    let mut watch = locality::LinkWatch::default();
    assert!(!watch.record_failure(&vm("a"), at(10_000)));
    assert!(!watch.record_failure(&vm("a"), at(10_010)));
    assert!(!watch.is_closed(at(10_010)));
    assert!(watch.record_failure(&vm("b"), at(10_020)));
    assert!(watch.is_closed(at(10_900)));
    assert!(!watch.is_closed(at(11_100)));
    // Still cut: one failure closes it again, for longer.
    assert!(watch.record_failure(&vm("a"), at(11_200)));
    assert!(watch.is_closed(at(13_000)));
    // Mended: a single failure is a target's own again.
    watch.record_answer(at(13_300));
    assert!(!watch.record_failure(&vm("a"), at(13_400)));
}

#[test]
fn an_answer_between_two_failures_shows_that_links_work() {
    let mut watch = locality::LinkWatch::default();
    assert!(!watch.record_failure(&vm("a"), at(10_000)));
    // Sent before the failure: shows nothing.
    watch.record_answer(at(9_990));
    watch.record_answer(at(10_010));
    assert!(!watch.record_failure(&vm("b"), at(10_020)));
}

#[test]
fn the_distance_follows_late_first_events_and_is_forgotten() {
    let mut watch = locality::LinkWatch::default();
    for step in 0..20 {
        watch.record_delay(time::Duration::from_millis(200), at(10_000 + step * 10));
    }
    assert!(watch.delay(at(10_200)) > time::Duration::from_millis(150));
    assert!(watch.delay(at(20_000)) < time::Duration::from_millis(10));
}

fn sum(running: u32) -> loads::TargetLoad {
    loads::TargetLoad {
        running,
        ..loads::TargetLoad::default()
    }
}

// A hub that is lost: its data centre's sums stand still, and are dropped by the other hubs later.
#[test]
fn sums_that_stand_still_grow_old_also_when_they_are_dropped() {
    let mut age = locality::LoadAge::default();
    age.record(sum(40), at(10_000));
    age.record(sum(41), at(10_040));
    age.record(sum(41), at(11_040));
    assert_eq!(age.age(at(11_040)), time::Duration::from_secs(1));
    age.record(sum(0), at(11_540));
    assert_eq!(age.age(at(11_600)), time::Duration::from_millis(1_560));
    age.record(sum(30), at(12_000));
    assert_eq!(age.age(at(12_000)), time::Duration::ZERO);
}

#[test]
fn few_requests_that_stand_still_and_callers_that_leave_are_not_old() {
    let mut age = locality::LoadAge::default();
    age.record(sum(2), at(10_000));
    assert_eq!(age.age(at(15_000)), time::Duration::ZERO);
    age.record(sum(40), at(15_000));
    age.record(sum(0), at(15_100));
    assert_eq!(age.age(at(18_000)), time::Duration::ZERO);
}

#[test]
fn the_bound_lets_about_its_share_leave() {
    let count = |percent| {
        let draws = (0..10_000_u32).map(|draw| draw.wrapping_mul(2_246_822_519));
        draws
            .filter(|draw| locality::may_leave(percent, *draw))
            .count()
    };
    assert_eq!((count(0), count(100)), (0, 10_000));
    assert!((2_000..3_000).contains(&count(25)), "{}", count(25));
}
