//! Sets of machines in a form that fits the small values of a state service.
//!
//! Clouds number their machines: names that differ only in a number of fixed width share a compressed bitmap. Other
//! names are stored as they are.

use crate::ids::MachineName;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of a part beside its bitmap or its names, and of each name beside its text.
const FRAME_BYTES: usize = 48;
const NAME_FRAME_BYTES: usize = 3;

/// A set of machines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachineSet {
    numbered: BTreeMap<(String, usize), RoaringBitmap>,
    named: BTreeSet<String>,
}

/// A part of a set, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum MachineSetPart {
    /// Names that consist of a prefix and a number of fixed width.
    Numbered {
        /// What the names begin with.
        prefix: String,
        /// Digits of the number.
        width: usize,
        /// The numbers: a portable roaring bitmap in base64.
        bits: String,
    },
    /// Other names.
    Named {
        /// The names.
        names: Vec<String>,
    },
}

/// A stored part that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MachineSetError {
    /// Its text is not base64.
    #[error("the bitmap is not in base64")]
    Encoding,
    /// Its bytes are no bitmap.
    #[error("the bytes are no bitmap")]
    Bitmap,
}

/// Parts a name into prefix, width and number; none: it does not end in a number that fits.
fn parse(name: &str) -> Option<(String, usize, u32)> {
    let prefix = name.trim_end_matches(|c: char| c.is_ascii_digit());
    let digits = name.get(prefix.len()..)?;
    let number = digits.parse().ok()?;
    Some((prefix.to_owned(), digits.len(), number))
}

fn encode(bitmap: &RoaringBitmap) -> String {
    let mut compressed = bitmap.clone();
    compressed.optimize();
    let mut bytes = Vec::with_capacity(compressed.serialized_size());
    // Writing into memory cannot fail.
    let _ = compressed.serialize_into(&mut bytes);
    BASE64.encode(bytes)
}

impl MachineSet {
    /// Adds a machine.
    pub fn insert(&mut self, name: &MachineName) {
        match parse(name.as_str()) {
            Some((prefix, width, number)) => {
                self.numbered.entry((prefix, width)).or_default().insert(number);
            }
            None => {
                self.named.insert(name.as_str().to_owned());
            }
        }
    }

    /// Whether a machine is in the set.
    pub fn contains(&self, name: &MachineName) -> bool {
        match parse(name.as_str()) {
            Some((prefix, width, number)) => {
                let bitmap = self.numbered.get(&(prefix, width));
                bitmap.is_some_and(|bitmap| bitmap.contains(number))
            }
            None => self.named.contains(name.as_str()),
        }
    }

    /// Number of machines.
    pub fn len(&self) -> u64 {
        let numbered: u64 = self.numbered.values().map(RoaringBitmap::len).sum();
        numbered + self.named.len() as u64
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The set in parts of at most about `most_bytes` of JSON each.
    pub fn parts(&self, most_bytes: usize) -> Vec<MachineSetPart> {
        let mut parts = Vec::new();
        for ((prefix, width), bitmap) in &self.numbered {
            let room = most_bytes.saturating_sub(FRAME_BYTES + prefix.len());
            for bits in split(bitmap, room) {
                parts.push(MachineSetPart::Numbered {
                    prefix: prefix.clone(),
                    width: *width,
                    bits,
                });
            }
        }
        parts.extend(self.named_parts(most_bytes.saturating_sub(FRAME_BYTES)));
        parts
    }

    fn named_parts(&self, room: usize) -> Vec<MachineSetPart> {
        let mut parts = Vec::new();
        let mut names: Vec<String> = Vec::new();
        let mut bytes = 0;
        for name in &self.named {
            let more = name.len() + NAME_FRAME_BYTES;
            if !names.is_empty() && bytes + more > room {
                parts.push(MachineSetPart::Named {
                    names: std::mem::take(&mut names),
                });
                bytes = 0;
            }
            bytes += more;
            names.push(name.clone());
        }
        if !names.is_empty() {
            parts.push(MachineSetPart::Named { names });
        }
        parts
    }

    /// Adds a stored part.
    ///
    /// # Errors
    ///
    /// It cannot be read; then nothing is added.
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

/// Encodes a bitmap in as many pieces as the room for each makes necessary.
fn split(bitmap: &RoaringBitmap, room: usize) -> Vec<String> {
    let text = encode(bitmap);
    let half = bitmap.len() / 2;
    if text.len() <= room || half == 0 {
        return vec![text];
    }
    let lower: RoaringBitmap = bitmap.iter().take(half as usize).collect();
    let upper = bitmap - &lower;
    let mut pieces = split(&lower, room);
    pieces.extend(split(&upper, room));
    pieces
}
