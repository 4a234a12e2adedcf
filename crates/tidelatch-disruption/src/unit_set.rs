//! Sets of a job's units, as compressed bitmaps.

use roaring::RoaringBitmap;
use std::hash::{Hash, Hasher};

/// A set of units of one job, stored as unit indices.
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

    /// Removes a unit. Returns whether the set contained it.
    pub fn remove(&mut self, index: u32) -> bool {
        self.0.remove(index)
    }

    /// Returns whether the set contains a unit.
    pub fn contains(&self, index: u32) -> bool {
        self.0.contains(index)
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of units in the set.
    pub fn len(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    /// The unit indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter()
    }

    /// Number of units that are in this set but not in `other`.
    pub fn difference_len(&self, other: &Self) -> u32 {
        u32::try_from(self.0.difference_len(&other.0)).unwrap_or(u32::MAX)
    }

    /// Number of units that are in this set, in `other`, or in both.
    pub fn union_len(&self, other: &Self) -> u32 {
        u32::try_from(self.0.union_len(&other.0)).unwrap_or(u32::MAX)
    }

    /// Adds all units of another set.
    pub fn extend(&mut self, other: &Self) {
        self.0 |= &other.0;
    }
}
