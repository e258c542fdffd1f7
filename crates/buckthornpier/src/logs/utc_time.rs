//! Times of the log in UTC.

use std::fmt;

use pier_types::times;

const DAY_MILLIS: u64 = 86_400_000;

/// Displays a time as `2026-12-03T22:07:24.125Z`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UtcTime(pub(crate) times::WallTime);

impl fmt::Display for UtcTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = date_from_days(self.0.as_millis() / DAY_MILLIS);
        let millis = self.0.as_millis() % DAY_MILLIS;
        let (hour, minute) = (millis / 3_600_000, millis / 60_000 % 60);
        let (second, millis) = (millis / 1_000 % 60, millis % 1_000);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z"
        )
    }
}

/// Converts days since 1970-01-01 into year, month and day.
///
/// Years are counted from March, so that a leap day is the last day of its year, and in eras of 400
/// years, which all have the same number of days.
fn date_from_days(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / 146_097, shifted % 146_097);
    let leap_days = day_of_era / 1_460 + day_of_era / 146_096 - day_of_era / 36_524;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
