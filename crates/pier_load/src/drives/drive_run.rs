//! Takes a data centre of a loaded fleet out of service and back.

use std::{collections, time};

use anyhow::Context as _;
use pier_config::documents;
use pier_fakes::record;
use pier_types::{times, times::clocks};

use crate::{calls, fleets, reviews};

/// Warm-up rounds after which the engines count as not getting warm.
const MAX_WARM_UP_ROUNDS: u64 = 200;

/// Number of the first call of a warm-up round; those of the drive are smaller, so that the two are
/// told apart.
const FIRST_WARM_UP_NUMBER: usize = 1_000_000;

/// Duration of one warm-up round.
const WARM_UP_ROUND_DURATION: time::Duration = time::Duration::from_secs(2);

/// Warm-up rounds that are always sent, so that shares have time to follow the load.
const MIN_WARM_UP_ROUNDS: u64 = 5;

/// The results of one drive.
#[derive(Debug)]
pub struct DriveRun {
    /// When the first phase began.
    pub start: times::BootTime,
    /// When the platform accepted the data centre's change to out of service.
    pub left_at: times::BootTime,
    /// When every node of the data centre had stopped starting new work there.
    pub closed_at: times::BootTime,
    /// When the platform accepted its change back to in service.
    pub back_at: times::BootTime,
    /// The calls, as their callers saw them.
    pub calls: Vec<calls::CallRecord>,
    /// What the engines recorded, by data centre.
    pub records: collections::BTreeMap<String, Vec<Vec<record::RecordEntry>>>,
}

impl DriveRun {
    /// Warms a fleet up under the load, then takes its first data centre out and back.
    ///
    /// `settle` is how long the nodes run before that. Until the longest request of a possible
    /// earlier owner of their slots would be over, nodes use only granted shares.
    ///
    /// # Errors
    ///
    /// Fails when the engines do not get warm or the platform does not accept a change.
    pub async fn drive(
        plan: fleets::FleetPlan,
        mix: &calls::LoadMix,
        phases: reviews::PhaseTimes,
        seed: u64,
        settle: time::Duration,
    ) -> anyhow::Result<Self> {
        let data_centre = plan.data_centres.first().context("no data centre")?.clone();
        let fleet = fleets::LoadFleet::launch(plan).await?;
        let launched_at = clocks::boot_now();
        fleet.wait_for_shares().await?;
        let sender = fleet.sender()?;
        warm_up(&fleet, &sender, mix, seed, launched_at.after(settle)).await?;
        let schedule = calls::CallSchedule::draw(mix, phases.total(), seed);
        let start = clocks::boot_now();
        let sending = sender.send_all(&schedule, start);
        let changing = take_out_and_back(&fleet, &data_centre, &phases, start);
        let (calls, moments) = tokio::join!(sending, changing);
        let (left_at, closed_at, back_at) = moments?;
        let records = fleet.engines().records();
        fleet.stop().await;
        Ok(Self {
            start,
            left_at,
            closed_at,
            back_at,
            calls: calls?,
            records,
        })
    }
}

/// Sends load until every engine is warm, but at least until `until` and for the minimum of rounds.
async fn warm_up(
    fleet: &fleets::LoadFleet,
    sender: &calls::CallSender,
    mix: &calls::LoadMix,
    seed: u64,
    until: times::BootTime,
) -> anyhow::Result<()> {
    for round in 1..=MAX_WARM_UP_ROUNDS {
        let schedule = calls::CallSchedule::draw(mix, WARM_UP_ROUND_DURATION, seed + round);
        let schedule = schedule.number_from(FIRST_WARM_UP_NUMBER);
        sender.send_all(&schedule, clocks::boot_now()).await?;
        let settled = clocks::boot_now() >= until && round >= MIN_WARM_UP_ROUNDS;
        if settled && fleet.engines().is_warm() {
            return Ok(());
        }
    }
    anyhow::bail!("the engines did not get warm")
}

/// Takes the data centre out of service and back at the times of the phases.
///
/// Its engines are restarted at the start of the out phase, when their work should be over. Returns
/// `left_at`, `closed_at` and `back_at` of the run.
async fn take_out_and_back(
    fleet: &fleets::LoadFleet,
    data_centre: &str,
    phases: &reviews::PhaseTimes,
    start: times::BootTime,
) -> anyhow::Result<(times::BootTime, times::BootTime, times::BootTime)> {
    sleep_until(start.after(phases.leaves_at())).await;
    let out = documents::DataCentreState::OutOfService;
    let left_at = fleet.set_state(data_centre, out).await?;
    let closed_at = fleet.wait_until_closed(data_centre).await?;
    sleep_until(start.after(phases.out_at())).await;
    fleet.engines().restart(data_centre, time::Duration::ZERO)?;
    sleep_until(start.after(phases.returns_at())).await;
    let back = documents::DataCentreState::InService;
    let back_at = fleet.set_state(data_centre, back).await?;
    Ok((left_at, closed_at, back_at))
}

async fn sleep_until(at: times::BootTime) {
    tokio::time::sleep(at.since(clocks::boot_now())).await;
}
