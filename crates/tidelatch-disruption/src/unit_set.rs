//! Sets of a job's units, as compressed bitmaps.

use roaring::RoaringBitmap;
use std::hash::{Hash, Hasher};

/// Numbers of a job's units.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UnitSet(RoaringBitmap);

impl Eq for UnitSet {}

impl Hash for UnitSet {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.len().hash(state);
        self.0.iter().for_each(|index| index.hash(state));
    }
}

impl FromIterator<u32> for UnitSet {
    fn from_iter<I: IntoIterator<Item = u32>>(indices: I) -> Self {
        Self(indices.into_iter().collect())
    }
}

impl UnitSet {
    /// Adds a unit.
    pub fn insert(&mut self, index: u32) {
        self.0.insert(index);
    }

    /// Takes a unit out; whether it was in.
    pub fn remove(&mut self, index: u32) -> bool {
        self.0.remove(index)
    }

    /// Whether a unit is in the set.
    pub fn contains(&self, index: u32) -> bool {
        self.0.contains(index)
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of units.
    pub fn len(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    /// The units in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter()
    }

    /// Units that are in this set and not in another.
    pub fn difference_len(&self, other: &Self) -> u32 {
        u32::try_from(self.0.difference_len(&other.0)).unwrap_or(u32::MAX)
    }

    /// Units that are in either set.
    pub fn union_len(&self, other: &Self) -> u32 {
        u32::try_from(self.0.union_len(&other.0)).unwrap_or(u32::MAX)
    }

    /// Adds all units of another set.
    pub fn extend(&mut self, other: &Self) {
        self.0 |= &other.0;
    }
}
