//! The bitmap of a job's finished tasks, and the pieces in which it is stored.

use super::{Job, Purpose};
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{JobId, Partition};
use serde_json::json;

/// Share of the write budget's burst that a flush of done bits leaves to acceptances and ends of jobs.
const FLUSH_RESERVED_SHARE: f64 = 0.3;
/// Share of the same burst that the deletion of ended jobs' bitmaps leaves to other writes: it can wait longest.
const CLEANUP_RESERVED_SHARE: f64 = 0.7;

/// Position of a stored part of a bitmap: a whole chunk, or the part of a chunk that begins at some bit.
///
/// A chunk takes three quarters of the size limit on values in the state service. The version without gangs derives
/// that size from the settings when it reads a chunk, so the size must not change while a job is stored. Where a
/// lower limit on values is announced, a chunk is stored in pieces. The first piece has the key of the chunk, and the
/// version without gangs reads it. It ignores the other pieces and would start their tasks again; the workers answer
/// those starts with the results that they keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BitmapPiece {
    /// Number of the chunk in the bitmap.
    chunk: u32,
    /// Offset of the first bit of the piece within the chunk.
    from: u32,
}

impl BitmapPiece {
    /// Parses the last part of a key, such as `3` or `3+6144`: the chunk, and the offset of the piece unless it is 0.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (chunk, from) = text.split_once('+').unwrap_or((text, "0"));
        Some(Self {
            chunk: chunk.parse().ok()?,
            from: from.parse().ok()?,
        })
    }

    /// The piece that holds the bit of a task.
    fn containing(index: u32, chunk_bits: u32, piece_bits: u32) -> Self {
        let bit = index % chunk_bits;
        Self {
            chunk: index / chunk_bits,
            from: bit - bit % piece_bits,
        }
    }

    /// Key of the piece in the state service.
    pub(super) fn key(self, partition: Partition, id: &JobId) -> String {
        match self.from {
            0 => format!("d/{partition}/{id}/{}", self.chunk),
            from => format!("d/{partition}/{id}/{}+{from}", self.chunk),
        }
    }
}

/// A piece of a bitmap whose write has been sent: its key, and the tasks that it newly records as done.
#[derive(Debug, Clone)]
pub(crate) struct InFlightPiece {
    job: JobId,
    position: BitmapPiece,
    key: String,
    newly_done: Vec<u32>,
}

fn is_bit_set(words: &[u64], i: u32) -> bool {
    words.get(i as usize / 64).is_some_and(|word| word >> (i % 64) & 1 == 1)
}

fn set_bit(words: &mut [u64], i: u32) {
    if let Some(word) = words.get_mut(i as usize / 64) {
        *word |= 1 << (i % 64);
    }
}

/// Indexes of the bits that are set in a hexadecimal part of a bitmap. Each digit holds four bits, lowest first;
/// other characters count as 0.
pub fn bits_from_hex(hex: &str) -> Vec<u32> {
    let mut bits = Vec::new();
    for (i, c) in hex.chars().enumerate() {
        let digit = c.to_digit(16).unwrap_or(0);
        bits.extend((0..4).filter(|b| digit >> b & 1 == 1).map(|b| i as u32 * 4 + b));
    }
    bits
}

impl Job {
    /// Whether a task is done.
    pub(crate) fn is_done(&self, index: u32) -> bool {
        is_bit_set(&self.done_bits, index)
    }

    /// Whether the state service has stored that a task is done.
    pub(crate) fn is_stored(&self, index: u32) -> bool {
        is_bit_set(&self.stored_bits, index)
    }

    /// Marks tasks as done that a stored piece of the bitmap records; `bits` are offsets within the piece.
    pub(crate) fn restore_done_bits(&mut self, piece: BitmapPiece, bits: &[u32], chunk_bits: u32, piece_bits: u32) {
        self.stored_pieces.insert(piece);
        let first = u64::from(piece.chunk) * u64::from(chunk_bits) + u64::from(piece.from);
        for bit in bits {
            let index = first + u64::from(*bit);
            if index >= u64::from(self.spec.tasks) {
                continue;
            }
            let index = index as u32;
            if !self.is_done(index) {
                set_bit(&mut self.done_bits, index);
                self.done_count += 1;
            }
            set_bit(&mut self.stored_bits, index);
            // A chunk that was stored whole must not be overwritten before its later pieces are stored under
            // their own keys: the new value would not hold their bits.
            if piece.from == 0 && *bit >= piece_bits {
                self.oversized_chunks.insert(piece.chunk);
                self.dirty
                    .insert(BitmapPiece::containing(index, chunk_bits, piece_bits));
            }
        }
    }

    /// Marks a task as done and its piece as to be written.
    pub(super) fn mark_done(&mut self, index: u32, chunk_bits: u32, piece_bits: u32) {
        if index < self.spec.tasks && !self.is_done(index) {
            set_bit(&mut self.done_bits, index);
            self.done_count += 1;
            self.dirty
                .insert(BitmapPiece::containing(index, chunk_bits, piece_bits));
        }
    }

    /// The next piece that may be written: the first piece of an oversized chunk only after the later ones.
    fn next_piece(&self) -> Option<BitmapPiece> {
        let has_later_pieces = |c: u32| {
            self.dirty
                .iter()
                .chain(&self.in_flight)
                .any(|p| p.chunk == c && p.from > 0)
        };
        let is_writable =
            |p: &&BitmapPiece| p.from > 0 || !self.oversized_chunks.contains(&p.chunk) || !has_later_pieces(p.chunk);
        self.dirty.iter().find(is_writable).copied()
    }

    /// First task index of a piece, and the index after its last one.
    fn bit_range(&self, piece: BitmapPiece, chunk_bits: u32, piece_bits: u32) -> (u32, u32) {
        let first = piece.chunk * chunk_bits + piece.from;
        let end = (piece.chunk + 1) * chunk_bits;
        (first, (first + piece_bits).min(end).min(self.spec.tasks))
    }

    /// Encodes a range of the bitmap as hexadecimal digits, four bits each, lowest first.
    fn bits_to_hex(&self, (first, end): (u32, u32)) -> String {
        (first..end)
            .step_by(4)
            .map(|i| {
                let digit = (0..4).filter(|b| self.is_done(i + b)).fold(0, |d, b| d | 1 << b);
                char::from_digit(digit, 16).unwrap_or('0')
            })
            .collect()
    }
}

impl Controller {
    /// Bits in one stored chunk: four per character, in three quarters of the size limit on values.
    pub(crate) fn chunk_bits(&self) -> u32 {
        (self.settings.platform.facts.state.value_kb * 1024.0 * 0.75) as u32 * 4
    }

    /// Bits in one piece of a chunk: four per character, in three quarters of the lower of the present and the
    /// announced limit on values.
    pub(crate) fn piece_bits(&self) -> u32 {
        let bits = (self.settings.value_bytes() as f64 * 0.75) as u32 * 4;
        bits.clamp(4, self.chunk_bits().max(4))
    }

    /// Writes bits of finished tasks for the jobs of the given partitions, as far as the write budget allows.
    pub(super) fn flush_bits(&mut self, acting: &[Partition]) {
        let (chunk_bits, piece_bits) = (self.chunk_bits(), self.piece_bits());
        // A flush uses no more changes than the budget holds above the reserved share. Otherwise one large
        // transaction would overdraw the budget for seconds, and acceptances would be deferred meanwhile: they may
        // use the reserved share, but not overdraw the budget that far.
        let max_changes = self
            .write_limits
            .max_ops
            .min(self.state_writes.available(self.now.ms, FLUSH_RESERVED_SHARE));
        if max_changes == 0 {
            return;
        }
        let mut changes = Vec::new();
        let mut pieces = Vec::new();
        let mut bytes = 0;
        for (id, job) in &mut self.jobs {
            // No bitmap is written for a job whose end is being stored.
            if !acting.contains(&job.partition) || job.ending.is_some() {
                continue;
            }
            while let Some(piece) = job.next_piece() {
                // A transaction holds at most 64 KiB; the bits use half, which leaves space for everything else.
                if changes.len() >= max_changes || bytes > 32 * 1024 {
                    break;
                }
                job.dirty.remove(&piece);
                job.in_flight.insert(piece);
                job.stored_pieces.insert(piece);
                let (first, end) = job.bit_range(piece, chunk_bits, piece_bits);
                let hex = job.bits_to_hex((first, end));
                bytes += hex.len();
                let newly_done = (first..end)
                    .filter(|i| is_bit_set(&job.done_bits, *i) && !is_bit_set(&job.stored_bits, *i))
                    .collect();
                let key = piece.key(job.partition, id);
                changes.push(json!({ "write": key, "value": hex }));
                pieces.push(InFlightPiece {
                    job: id.clone(),
                    position: piece,
                    key,
                    newly_done,
                });
            }
        }
        if changes.is_empty() {
            return;
        }
        // The condition on the epoch rejects writes from an older epoch once a takeover has read the bitmaps.
        let conditions = vec![self.epoch_condition()];
        self.txn(conditions, changes, CallPurpose::Job(Purpose::FlushDoneBits { pieces }));
    }

    /// Marks pieces as to be written again after a failed write.
    fn requeue_pieces(&mut self, pieces: Vec<InFlightPiece>) {
        for piece in pieces {
            if let Some(job) = self.jobs.get_mut(&piece.job) {
                job.in_flight.remove(&piece.position);
                job.dirty.insert(piece.position);
            }
        }
    }

    /// Handles the answer to a write of pieces.
    pub(super) fn on_flush_reply(&mut self, pieces: Vec<InFlightPiece>, result: Option<(u16, Vec<u8>)>) {
        if !matches!(result, Some((200, _))) {
            self.requeue_pieces(pieces);
            return;
        }
        for piece in pieces {
            match self.jobs.get_mut(&piece.job) {
                Some(job) => {
                    job.in_flight.remove(&piece.position);
                    if piece.position.from == 0 {
                        job.oversized_chunks.remove(&piece.position.chunk);
                    }
                    piece
                        .newly_done
                        .into_iter()
                        .for_each(|i| set_bit(&mut job.stored_bits, i));
                }
                // The job ended before its bits were stored: the key is deleted later.
                None => self.capacity.stale_keys.push(piece.key),
            }
        }
    }

    /// Deletes keys that are not used any more, such as bitmaps of ended jobs, as far as the write budget allows.
    pub(super) fn delete_stale_keys(&mut self) {
        let max_keys = self.state_writes.available(self.now.ms, CLEANUP_RESERVED_SHARE);
        let key_count = self
            .capacity
            .stale_keys
            .len()
            .min(self.write_limits.max_ops)
            .min(max_keys);
        if key_count == 0 {
            return;
        }
        let keys: Vec<String> = self.capacity.stale_keys.drain(..key_count).collect();
        let changes = keys.iter().map(|k| json!({ "delete": k })).collect();
        let conditions = vec![self.epoch_condition()];
        self.txn(conditions, changes, CallPurpose::Job(Purpose::DeleteBitmaps { keys }));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::{Epoch, Revision};
    use crate::protocol::parse_submission;

    const CHUNK_BITS: u32 = 12_288;
    const PIECE_BITS: u32 = 6_144;

    fn large_job() -> Job {
        let body =
            br#"{"uid":"job-1","consist":"c","crew":"t","shape":"sweep","precedence":"low","wagons":30000,"vcpus":1,
            "accelerators":1,"ramGb":1,"stock":"i","sizeGb":1,"together":false,"spread":false,"standby":false,
            "runtimeS":5,"waypointS":0,"stowS":0}"#;
        let (_, spec) = parse_submission(body).expect("a valid submission");
        Job::new(spec, (Epoch(1), 0, Revision(1)), Partition(0))
    }

    /// Reads one stored chunk as the version without gangs does: the chunk number from its key, and the bits from the
    /// start of that chunk.
    fn read_by_previous_version(key: &str, hex: &str) -> Vec<u32> {
        let chunk = key.split('/').nth(3).and_then(|c| c.parse::<u32>().ok());
        let bits = |chunk: u32| bits_from_hex(hex).into_iter().map(move |b| chunk * CHUNK_BITS + b);
        chunk.map_or(Vec::new(), |c| bits(c).collect())
    }

    #[test]
    fn later_pieces_of_an_oversized_chunk_are_written_before_its_first_piece() {
        // Guards against losing stored bits when the limit on values is halved. The chunk's key can then hold only
        // the first piece. Writing it before the later piece has its own key would drop the bits of that piece.
        let mut job = large_job();
        let mut whole = vec!['0'; CHUNK_BITS as usize / 4];
        whole[0] = '1';
        whole[2000] = '2';
        let hex: String = whole.into_iter().collect();
        let first_piece = BitmapPiece { chunk: 1, from: 0 };
        let later_piece = BitmapPiece {
            chunk: 1,
            from: PIECE_BITS,
        };
        job.restore_done_bits(first_piece, &bits_from_hex(&hex), CHUNK_BITS, PIECE_BITS);
        assert!(job.is_stored(CHUNK_BITS) && job.is_stored(CHUNK_BITS + 8001));
        job.mark_done(CHUNK_BITS + 5, CHUNK_BITS, PIECE_BITS);
        assert_eq!(job.next_piece(), Some(later_piece));
        job.dirty.remove(&later_piece);
        job.in_flight.insert(later_piece);
        assert_eq!(
            job.next_piece(),
            None,
            "the first piece waits until the later one is stored"
        );
        job.in_flight.remove(&later_piece);
        assert_eq!(job.next_piece(), Some(first_piece));
    }

    #[test]
    fn both_versions_read_the_same_bits_from_the_keys_they_share() {
        let mut job = large_job();
        for i in [3, PIECE_BITS - 1, PIECE_BITS, CHUNK_BITS - 1, CHUNK_BITS + 7, 29_999] {
            job.mark_done(i, CHUNK_BITS, PIECE_BITS);
        }
        let id = JobId::new("job-1");
        let mut previous_version_bits = Vec::new();
        let mut restored = large_job();
        for piece in job.dirty.clone() {
            let (key, hex) = (
                piece.key(Partition(0), &id),
                job.bits_to_hex(job.bit_range(piece, CHUNK_BITS, PIECE_BITS)),
            );
            assert!(hex.len() <= 1536, "{key}: {}", hex.len());
            previous_version_bits.extend(read_by_previous_version(&key, &hex));
            let read = key.split('/').nth(3).and_then(BitmapPiece::parse).expect("a piece");
            restored.restore_done_bits(read, &bits_from_hex(&hex), CHUNK_BITS, PIECE_BITS);
        }
        assert_eq!(restored.done_bits, job.done_bits);
        // The previous version reads no unfinished task as done. Finished tasks that it does not read it starts again.
        assert_eq!(previous_version_bits, [3, PIECE_BITS - 1, CHUNK_BITS + 7, 29_999]);
    }
}
