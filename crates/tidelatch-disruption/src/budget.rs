//! How many units may be unavailable at a time.

use std::fmt;
use std::str::FromStr;

/// The whole of a percentage.
const PERCENT: u64 = 100;

/// A number of units, or a share of all units. Shares are rounded down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Amount {
    /// So many units.
    Count(u32),
    /// So many percent of the units; it may come to none.
    Percent(u8),
    /// So many percent of the units, and one where that comes to none.
    PercentOrOne(u8),
}

/// A text that is no amount.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is neither a number nor a percentage from 0% to 100%")]
pub struct AmountError {
    text: String,
}

impl Amount {
    /// The number of units that this comes to, out of `size`.
    pub fn of(self, size: u32) -> u32 {
        match self {
            Self::Count(count) => count.min(size),
            Self::Percent(percent) => share(percent, size),
            Self::PercentOrOne(percent) => share(percent, size).max(1).min(size),
        }
    }

    /// Whether it comes to none, however many units there are.
    pub fn is_nothing(self) -> bool {
        matches!(self, Self::Count(0) | Self::Percent(0))
    }
}

/// A percentage of a size, rounded down.
fn share(percent: u8, size: u32) -> u32 {
    let units = u64::from(size) * u64::from(percent).min(PERCENT) / PERCENT;
    u32::try_from(units).unwrap_or(size)
}

impl FromStr for Amount {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || AmountError { text: text.to_owned() };
        match text.strip_suffix('%') {
            None => text.parse().map(Self::Count).map_err(|_| error()),
            Some(percent) => match percent.parse::<u8>() {
                Ok(percent) if u64::from(percent) <= PERCENT => Ok(Self::Percent(percent)),
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

/// The budget of a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Budget {
    /// At most so many units may be unavailable.
    MaxUnavailable(Amount),
    /// At least so many units must be available. What may be unavailable is rounded down.
    MinAvailable(Amount),
}

impl Budget {
    /// How many of `size` units may be unavailable at a time.
    pub fn allowance(self, size: u32) -> u32 {
        match self {
            Self::MaxUnavailable(amount) => amount.of(size),
            Self::MinAvailable(Amount::Count(count)) => size.saturating_sub(count),
            Self::MinAvailable(Amount::Percent(percent)) => share(100 - percent.min(100), size),
            Self::MinAvailable(amount @ Amount::PercentOrOne(_)) => size.saturating_sub(amount.of(size)),
        }
    }

    /// Whether nothing may ever be unavailable, however many units there are.
    pub fn permits_nothing(self) -> bool {
        match self {
            Self::MaxUnavailable(amount) => amount.is_nothing(),
            Self::MinAvailable(amount) => matches!(amount, Amount::Percent(100) | Amount::Count(u32::MAX)),
        }
    }
}
