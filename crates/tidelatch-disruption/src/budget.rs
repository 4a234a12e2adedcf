//! Disruption budgets: how many units may be unavailable at a time.

use std::fmt;
use std::str::FromStr;

const MAX_PERCENT: u64 = 100;

/// A number of units, or a percentage of all units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Amount {
    /// A fixed number of units.
    Count(u32),
    /// A percentage of the units. The result may be zero.
    Percent(u8),
    /// A percentage of the units, but at least one unit.
    PercentOrOne(u8),
}

/// Error: a text is neither a unit count nor a percentage.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is neither a number nor a percentage from 0% to 100%")]
pub struct AmountError {
    text: String,
}

impl Amount {
    /// The number of units that this amount stands for in a scope of `size` units. Percentages are rounded down.
    pub fn of(self, size: u32) -> u32 {
        match self {
            Self::Count(count) => count.min(size),
            Self::Percent(percent) => percentage_of(percent, size),
            Self::PercentOrOne(percent) => percentage_of(percent, size).max(1).min(size),
        }
    }

    /// Returns whether this amount is zero for every scope size.
    pub fn is_zero(self) -> bool {
        matches!(self, Self::Count(0) | Self::Percent(0))
    }
}

/// Returns `percent` percent of `size`, rounded down.
fn percentage_of(percent: u8, size: u32) -> u32 {
    let units = u64::from(size) * u64::from(percent).min(MAX_PERCENT) / MAX_PERCENT;
    u32::try_from(units).unwrap_or(size)
}

impl FromStr for Amount {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || AmountError { text: text.to_owned() };
        match text.strip_suffix('%') {
            None => text.parse().map(Self::Count).map_err(|_| error()),
            Some(percent) => match percent.parse::<u8>() {
                Ok(percent) if u64::from(percent) <= MAX_PERCENT => Ok(Self::Percent(percent)),
                _ => Err(error()),
            },
        }
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Count(count) => count.fmt(f),
            Self::Percent(percent) | Self::PercentOrOne(percent) => write!(f, "{percent}%"),
        }
    }
}

/// The disruption budget of a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Budget {
    /// At most this many units may be unavailable.
    MaxUnavailable(Amount),
    /// At least this many units must be available. With [`Amount::Percent`], the number that may be unavailable is
    /// rounded down; with [`Amount::PercentOrOne`], the number that must be available is.
    MinAvailable(Amount),
}

impl Budget {
    /// Returns how many of `size` units may be unavailable at a time.
    pub fn allowance(self, size: u32) -> u32 {
        match self {
            Self::MaxUnavailable(amount) => amount.of(size),
            Self::MinAvailable(Amount::Count(count)) => size.saturating_sub(count),
            Self::MinAvailable(Amount::Percent(percent)) => percentage_of(100 - percent.min(100), size),
            Self::MinAvailable(amount @ Amount::PercentOrOne(_)) => size.saturating_sub(amount.of(size)),
        }
    }

    /// Returns whether no unit may ever be unavailable, whatever the scope size is. A `MinAvailable` budget with
    /// `Amount::PercentOrOne` is not recognized: the result for it is always `false`.
    pub fn never_permits_disruption(self) -> bool {
        match self {
            Self::MaxUnavailable(amount) => amount.is_zero(),
            Self::MinAvailable(amount) => matches!(amount, Amount::Percent(100) | Amount::Count(u32::MAX)),
        }
    }
}
