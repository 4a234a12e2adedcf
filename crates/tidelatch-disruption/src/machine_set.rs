//! Sets of machine names, encoded in parts that fit into the small values of a state service.
//!
//! Most clouds number their machines. Names that differ only in a number of fixed width share one compressed bitmap;
//! all other names are stored as text.

use crate::ids::MachineName;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Size of a stored part without its bitmap or its names, in bytes of JSON.
const PART_OVERHEAD_BYTES: usize = 48;
/// Size that a stored name takes in addition to its text: quotes and a comma.
const NAME_OVERHEAD_BYTES: usize = 3;

/// A set of machine names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachineSet {
    numbered: BTreeMap<(String, usize), RoaringBitmap>,
    named: BTreeSet<String>,
}

/// A part of a [`MachineSet`], as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum MachineSetPart {
    /// Names that consist of a prefix and a number of fixed width.
    Numbered {
        /// The prefix that all names of the part share.
        prefix: String,
        /// Number of digits, leading zeros included.
        width: usize,
        /// The numbers, as a portable roaring bitmap in base64.
        bits: String,
    },
    /// Names that do not end in a number, or whose number does not fit into 32 bits.
    Named {
        /// The names.
        names: Vec<String>,
    },
}

/// Error: a stored part cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MachineSetError {
    /// The text of the bitmap is not base64.
    #[error("the machine set's bitmap is not valid base64")]
    Encoding,
    /// The decoded bytes are not a roaring bitmap.
    #[error("the machine set's bytes are not a roaring bitmap")]
    Bitmap,
}

/// Splits a name into prefix, number of digits and number. Returns `None` if the name does not end in a number that
/// fits into 32 bits.
fn split_name(name: &str) -> Option<(String, usize, u32)> {
    let prefix = name.trim_end_matches(|c: char| c.is_ascii_digit());
    let digits = name.get(prefix.len()..)?;
    let number = digits.parse().ok()?;
    Some((prefix.to_owned(), digits.len(), number))
}

fn encode_bitmap(bitmap: &RoaringBitmap) -> String {
    let mut compressed = bitmap.clone();
    compressed.optimize();
    let mut bytes = Vec::with_capacity(compressed.serialized_size());
    // Writing to a `Vec` cannot fail.
    let _ = compressed.serialize_into(&mut bytes);
    BASE64.encode(bytes)
}

impl MachineSet {
    /// Adds a machine.
    pub fn insert(&mut self, name: &MachineName) {
        match split_name(name.as_str()) {
            Some((prefix, width, number)) => {
                self.numbered.entry((prefix, width)).or_default().insert(number);
            }
            None => {
                self.named.insert(name.as_str().to_owned());
            }
        }
    }

    /// Returns whether the set contains a machine.
    pub fn contains(&self, name: &MachineName) -> bool {
        match split_name(name.as_str()) {
            Some((prefix, width, number)) => {
                let bitmap = self.numbered.get(&(prefix, width));
                bitmap.is_some_and(|bitmap| bitmap.contains(number))
            }
            None => self.named.contains(name.as_str()),
        }
    }

    /// Number of machines in the set.
    pub fn len(&self) -> u64 {
        let numbered: u64 = self.numbered.values().map(RoaringBitmap::len).sum();
        numbered + self.named.len() as u64
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Encodes the set in parts of at most about `max_part_bytes` bytes of JSON each.
    pub fn parts(&self, max_part_bytes: usize) -> Vec<MachineSetPart> {
        let mut parts = Vec::new();
        for ((prefix, width), bitmap) in &self.numbered {
            let max_bytes = max_part_bytes.saturating_sub(PART_OVERHEAD_BYTES + prefix.len());
            for bits in encode_bitmap_in_pieces(bitmap, max_bytes) {
                parts.push(MachineSetPart::Numbered {
                    prefix: prefix.clone(),
                    width: *width,
                    bits,
                });
            }
        }
        parts.extend(self.named_parts(max_part_bytes.saturating_sub(PART_OVERHEAD_BYTES)));
        parts
    }

    fn named_parts(&self, max_bytes: usize) -> Vec<MachineSetPart> {
        let mut parts = Vec::new();
        let mut names: Vec<String> = Vec::new();
        let mut bytes = 0;
        for name in &self.named {
            let name_bytes = name.len() + NAME_OVERHEAD_BYTES;
            if !names.is_empty() && bytes + name_bytes > max_bytes {
                parts.push(MachineSetPart::Named {
                    names: std::mem::take(&mut names),
                });
                bytes = 0;
            }
            bytes += name_bytes;
            names.push(name.clone());
        }
        if !names.is_empty() {
            parts.push(MachineSetPart::Named { names });
        }
        parts
    }

    /// Adds the machines of a stored part.
    ///
    /// # Errors
    ///
    /// The part cannot be decoded. The set is unchanged then.
    pub fn add_part(&mut self, part: &MachineSetPart) -> Result<(), MachineSetError> {
        match part {
            MachineSetPart::Numbered { prefix, width, bits } => {
                let bytes = BASE64.decode(bits).map_err(|_| MachineSetError::Encoding)?;
                let bitmap = RoaringBitmap::deserialize_from(&bytes[..]).map_err(|_| MachineSetError::Bitmap)?;
                *self.numbered.entry((prefix.clone(), *width)).or_default() |= bitmap;
            }
            MachineSetPart::Named { names } => self.named.extend(names.iter().cloned()),
        }
        Ok(())
    }
}

/// Encodes a bitmap in as many pieces as it takes for each to have at most `max_bytes` bytes. A bitmap with a single
/// number is not split further.
fn encode_bitmap_in_pieces(bitmap: &RoaringBitmap, max_bytes: usize) -> Vec<String> {
    let text = encode_bitmap(bitmap);
    let half = bitmap.len() / 2;
    if text.len() <= max_bytes || half == 0 {
        return vec![text];
    }
    let lower: RoaringBitmap = bitmap.iter().take(half as usize).collect();
    let upper = bitmap - &lower;
    let mut pieces = encode_bitmap_in_pieces(&lower, max_bytes);
    pieces.extend(encode_bitmap_in_pieces(&upper, max_bytes));
    pieces
}
