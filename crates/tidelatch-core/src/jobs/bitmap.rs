//! The bitmap of a job's tasks that are done, and the pieces in which it is stored.

use super::{Job, Purpose};
use crate::calls::Purpose as Call;
use crate::controller::Controller;
use crate::ids::{JobId, Partition};
use serde_json::json;

/// Part of the burst of the budget of changes that a flush of done bits leaves, for acceptances and ends of jobs.
const FLUSH_RESERVE: f64 = 0.3;
/// The same for clearing away the bitmaps of jobs that have ended, which can wait longest.
const SWEEP_RESERVE: f64 = 0.7;

/// A stored part of a bitmap: a chunk, or from some bit of it on.
///
/// Chunks are as large as three quarters of the largest value, which the version before gangs derives from
/// the settings when it reads them: that may not change under a stored job. Where values will be smaller, a
/// chunk is stored in pieces. The first has the chunk's own key, and that version reads it; it passes over
/// the others, and would run their tasks again, which their workers answer with the result that they keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Piece {
    chunk: u32,
    /// The first of its bits in the chunk.
    from: u32,
}

impl Piece {
    /// Reads the last part of a key: `3`, or `3+6144`.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (chunk, from) = text.split_once('+').unwrap_or((text, "0"));
        Some(Self {
            chunk: chunk.parse().ok()?,
            from: from.parse().ok()?,
        })
    }

    fn of(index: u32, chunk_bits: u32, piece_bits: u32) -> Self {
        let bit = index % chunk_bits;
        Self {
            chunk: index / chunk_bits,
            from: bit - bit % piece_bits,
        }
    }

    pub(super) fn key(self, partition: Partition, id: &JobId) -> String {
        match self.from {
            0 => format!("d/{partition}/{id}/{}", self.chunk),
            from => format!("d/{partition}/{id}/{}+{from}", self.chunk),
        }
    }
}

/// A piece of a bitmap on its way to the store: its key, and the tasks that it newly calls done.
#[derive(Debug, Clone)]
pub(crate) struct Chunk {
    job: JobId,
    piece: Piece,
    key: String,
    done: Vec<u32>,
}

fn bit(words: &[u64], i: u32) -> bool {
    words.get(i as usize / 64).is_some_and(|w| w >> (i % 64) & 1 == 1)
}

fn set_bit(words: &mut [u64], i: u32) {
    if let Some(w) = words.get_mut(i as usize / 64) {
        *w |= 1 << (i % 64);
    }
}

/// The numbers of the bits that are set in a chunk of a bitmap.
pub fn bits_from_hex(hex: &str) -> Vec<u32> {
    let mut bits = Vec::new();
    for (i, c) in hex.chars().enumerate() {
        let digit = c.to_digit(16).unwrap_or(0);
        bits.extend((0..4).filter(|b| digit >> b & 1 == 1).map(|b| i as u32 * 4 + b));
    }
    bits
}

impl Job {
    pub(crate) fn is_done(&self, index: u32) -> bool {
        bit(&self.done, index)
    }

    pub(crate) fn is_stored(&self, index: u32) -> bool {
        bit(&self.stored, index)
    }

    /// Tasks that were done according to a stored piece of the bitmap.
    pub(crate) fn restore(&mut self, piece: Piece, bits: &[u32], chunk_bits: u32, piece_bits: u32) {
        self.chunks.insert(piece);
        let first = u64::from(piece.chunk) * u64::from(chunk_bits) + u64::from(piece.from);
        for bit in bits {
            let index = first + u64::from(*bit);
            if index >= u64::from(self.spec.tasks) {
                continue;
            }
            let index = index as u32;
            if !self.is_done(index) {
                set_bit(&mut self.done, index);
                self.done_count += 1;
            }
            set_bit(&mut self.stored, index);
            // A chunk that was stored whole can be written again only once its later pieces have keys of
            // their own: its value would lose them.
            if piece.from == 0 && *bit >= piece_bits {
                self.long.insert(piece.chunk);
                self.dirty.insert(Piece::of(index, chunk_bits, piece_bits));
            }
        }
    }

    pub(super) fn mark_done(&mut self, index: u32, chunk_bits: u32, piece_bits: u32) {
        if index < self.spec.tasks && !self.is_done(index) {
            set_bit(&mut self.done, index);
            self.done_count += 1;
            self.dirty.insert(Piece::of(index, chunk_bits, piece_bits));
        }
    }

    /// The next piece that may be written.
    fn next_piece(&self) -> Option<Piece> {
        let later = |c: u32| {
            self.dirty
                .iter()
                .chain(&self.flying)
                .any(|p| p.chunk == c && p.from > 0)
        };
        let ready = |p: &&Piece| p.from > 0 || !self.long.contains(&p.chunk) || !later(p.chunk);
        self.dirty.iter().find(ready).copied()
    }

    /// The bits of a piece.
    fn bits_of(&self, piece: Piece, chunk_bits: u32, piece_bits: u32) -> (u32, u32) {
        let first = piece.chunk * chunk_bits + piece.from;
        let end = (piece.chunk + 1) * chunk_bits;
        (first, (first + piece_bits).min(end).min(self.spec.tasks))
    }

    fn chunk_hex(&self, (first, last): (u32, u32)) -> String {
        (first..last)
            .step_by(4)
            .map(|i| {
                let digit = (0..4).filter(|b| self.is_done(i + b)).fold(0, |d, b| d | 1 << b);
                char::from_digit(digit, 16).unwrap_or('0')
            })
            .collect()
    }
}

impl Controller {
    /// Bits in one stored chunk: four to a character, in three quarters of the largest value.
    pub(crate) fn chunk_bits(&self) -> u32 {
        (self.settings.platform.facts.state.value_kb * 1024.0 * 0.75) as u32 * 4
    }

    /// Bits in one piece of a chunk: the same of the tighter limit.
    pub(crate) fn piece_bits(&self) -> u32 {
        let bits = (self.settings.value_bytes() as f64 * 0.75) as u32 * 4;
        bits.clamp(4, self.chunk_bits().max(4))
    }

    pub(super) fn flush_bits(&mut self, acting: &[Partition]) {
        let (chunk_bits, piece_bits) = (self.chunk_bits(), self.piece_bits());
        // A flush takes no more changes than the budget holds above its reserve. One transaction of many
        // changes would otherwise leave the budget in debt for seconds, and acceptances, which may go below
        // the reserve but not that far, would be put off meanwhile.
        let room = self.limits.ops.min(self.state_writes.spare(self.now.ms, FLUSH_RESERVE));
        if room == 0 {
            return;
        }
        let mut changes = Vec::new();
        let mut chunks = Vec::new();
        let mut bytes = 0;
        for (id, job) in &mut self.jobs {
            if !acting.contains(&job.partition) || job.ending.is_some() {
                continue;
            }
            while let Some(piece) = job.next_piece() {
                // A transaction holds 64 KiB; half of that leaves room for all else in it.
                if changes.len() >= room || bytes > 32 * 1024 {
                    break;
                }
                job.dirty.remove(&piece);
                job.flying.insert(piece);
                job.chunks.insert(piece);
                let (first, last) = job.bits_of(piece, chunk_bits, piece_bits);
                let hex = job.chunk_hex((first, last));
                bytes += hex.len();
                let done = (first..last)
                    .filter(|i| bit(&job.done, *i) && !bit(&job.stored, *i))
                    .collect();
                let key = piece.key(job.partition, id);
                changes.push(json!({ "write": key, "value": hex }));
                chunks.push(Chunk {
                    job: id.clone(),
                    piece,
                    key,
                    done,
                });
            }
        }
        if changes.is_empty() {
            return;
        }
        // The writers of an older epoch cannot land after a take-over has read the bitmaps; and a
        // bitmap is not written for a job whose record has changed meanwhile.
        let conditions = vec![self.epoch_condition()];
        self.txn(conditions, changes, Call::Job(Purpose::Flush { chunks }));
    }

    fn unflush(&mut self, chunks: Vec<Chunk>) {
        for chunk in chunks {
            if let Some(job) = self.jobs.get_mut(&chunk.job) {
                job.flying.remove(&chunk.piece);
                job.dirty.insert(chunk.piece);
            }
        }
    }

    pub(super) fn on_flushed(&mut self, chunks: Vec<Chunk>, result: Option<(u16, Vec<u8>)>) {
        if !matches!(result, Some((200, _))) {
            self.unflush(chunks);
            return;
        }
        for chunk in chunks {
            match self.jobs.get_mut(&chunk.job) {
                Some(job) => {
                    job.flying.remove(&chunk.piece);
                    if chunk.piece.from == 0 {
                        job.long.remove(&chunk.piece.chunk);
                    }
                    chunk.done.into_iter().for_each(|i| set_bit(&mut job.stored, i));
                }
                // The job's end overtook its bits: they are cleared away.
                None => self.cloud.stale_keys.push(chunk.key),
            }
        }
    }

    pub(super) fn sweep_keys(&mut self) {
        let spare = self.state_writes.spare(self.now.ms, SWEEP_RESERVE);
        let n = self.cloud.stale_keys.len().min(self.limits.ops).min(spare);
        if n == 0 {
            return;
        }
        let keys: Vec<String> = self.cloud.stale_keys.drain(..n).collect();
        let changes = keys.iter().map(|k| json!({ "delete": k })).collect();
        let conditions = vec![self.epoch_condition()];
        self.txn(conditions, changes, Call::Job(Purpose::Sweep { keys }));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::{Epoch, Stamp};
    use crate::protocol::parse_submission;

    const CHUNK: u32 = 12_288;
    const PIECE: u32 = 6_144;

    fn large() -> Job {
        let body =
            br#"{"uid":"job-1","consist":"c","crew":"t","shape":"sweep","precedence":"low","wagons":30000,"vcpus":1,
            "accelerators":1,"ramGb":1,"stock":"i","sizeGb":1,"together":false,"spread":false,"standby":false,
            "runtimeS":5,"waypointS":0,"stowS":0}"#;
        let (_, spec) = parse_submission(body).expect("in form");
        Job::new(spec, (Epoch(1), 0, Stamp(1)), Partition(0))
    }

    /// How the version before gangs read one stored chunk: its key's number, and the bits from its start.
    fn as_before(key: &str, hex: &str) -> Vec<u32> {
        let chunk = key.split('/').nth(3).and_then(|c| c.parse::<u32>().ok());
        let bits = |chunk: u32| bits_from_hex(hex).into_iter().map(move |b| chunk * CHUNK + b);
        chunk.map_or(Vec::new(), |c| bits(c).collect())
    }

    #[test]
    fn a_chunk_that_was_stored_whole_is_taken_apart_before_it_is_written_again() {
        // Guard: with values of half the size the chunk's own key can hold its first piece only. Written
        // before the later piece has a key of its own, it would lose what is stored of that.
        let mut job = large();
        let mut whole = vec!['0'; CHUNK as usize / 4];
        whole[0] = '1';
        whole[2000] = '2';
        let hex: String = whole.into_iter().collect();
        let first = Piece { chunk: 1, from: 0 };
        let later = Piece { chunk: 1, from: PIECE };
        job.restore(first, &bits_from_hex(&hex), CHUNK, PIECE);
        assert!(job.is_stored(CHUNK) && job.is_stored(CHUNK + 8001));
        job.mark_done(CHUNK + 5, CHUNK, PIECE);
        assert_eq!(job.next_piece(), Some(later));
        job.dirty.remove(&later);
        job.flying.insert(later);
        assert_eq!(job.next_piece(), None, "not before the later one is stored");
        job.flying.remove(&later);
        assert_eq!(job.next_piece(), Some(first));
    }

    #[test]
    fn both_versions_read_the_same_from_the_keys_that_both_know() {
        let mut job = large();
        for i in [3, PIECE - 1, PIECE, CHUNK - 1, CHUNK + 7, 29_999] {
            job.mark_done(i, CHUNK, PIECE);
        }
        let id = JobId::new("job-1");
        let mut before = Vec::new();
        let mut again = large();
        for piece in job.dirty.clone() {
            let (key, hex) = (
                piece.key(Partition(0), &id),
                job.chunk_hex(job.bits_of(piece, CHUNK, PIECE)),
            );
            assert!(hex.len() <= 1536, "{key}: {}", hex.len());
            before.extend(as_before(&key, &hex));
            let read = key.split('/').nth(3).and_then(Piece::parse).expect("a piece");
            again.restore(read, &bits_from_hex(&hex), CHUNK, PIECE);
        }
        assert_eq!(again.done, job.done);
        // It knows of no task that is not done; what it does not know of, it runs again.
        assert_eq!(before, [3, PIECE - 1, CHUNK + 7, 29_999]);
    }
}
