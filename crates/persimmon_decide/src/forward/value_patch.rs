//! The difference between two values of a record.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error for a patch that can't be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PatchError {
    /// The value isn't the one that the patch was made for.
    #[error("the patch was made for another value")]
    OtherBase,
    /// The patch copies bytes that the value doesn't have.
    #[error("the patch copies bytes beyond the value's end")]
    OutOfRange,
    /// The result would be larger than [`ValuePatch::max_result_bytes`].
    #[error("the result is too long")]
    TooLong,
    /// The result isn't the value that the patch was made of.
    #[error("the patched value differs from the sender's")]
    OtherResult,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Piece {
    /// Bytes of the earlier value.
    Copied { offset: u32, length: u32 },
    /// Bytes that the earlier value doesn't have at this place.
    New(Vec<u8>),
}

/// The pieces of which the later value of a record consists, by which a change of a large record costs
/// the bytes of the change.
///
/// ```
/// use persimmon_decide::forward::ValuePatch;
///
/// let (earlier, later) = (b"one, two, three".repeat(9), b"one, 2, three".repeat(9));
/// let patch = ValuePatch::between(&earlier, &later);
/// assert_eq!(patch.apply(&earlier), Ok(later));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuePatch {
    /// Hash of the earlier value.
    base: u64,
    /// Hash of the later value.
    result: u64,
    pieces: Vec<Piece>,
}

impl ValuePatch {
    /// Maximum number of bytes that a patch copies, as a multiple of the earlier value's size. Bounds what a
    /// small patch, which may copy the same bytes many times, can make of a value.
    pub const MAX_COPIES: usize = 4;
    /// Estimated overhead of a piece in its encoding, in bytes.
    const PIECE_BYTES: usize = 8;

    /// Returns the difference between two values.
    pub fn between(earlier: &[u8], later: &[u8]) -> Self {
        let mut builder = Builder::new(earlier, later);
        builder.run();
        Self { base: hash(earlier), result: hash(later), pieces: builder.pieces }
    }

    /// Returns the approximate size of the encoded patch, in bytes.
    pub fn size(&self) -> usize {
        self.new_bytes() + (self.pieces.len() + 2) * Self::PIECE_BYTES
    }

    /// Returns the number of bytes of the later value that the earlier one doesn't have.
    fn new_bytes(&self) -> usize {
        let new = self.pieces.iter().map(|it| match it {
            Piece::Copied { .. } => 0,
            Piece::New(bytes) => bytes.len(),
        });
        new.sum()
    }

    /// Returns the maximum size of what patches, one after the other, may make of a value of `bytes`, in
    /// bytes.
    pub fn max_result_bytes<'a>(bytes: usize, patches: impl Iterator<Item = &'a Self>) -> usize {
        let new: usize = patches.map(Self::new_bytes).sum();
        bytes.saturating_mul(Self::MAX_COPIES).saturating_add(new)
    }

    /// Returns the later value.
    ///
    /// # Errors
    ///
    /// `earlier` isn't the value that the patch was made for, or the patch is invalid.
    pub fn apply(&self, earlier: &[u8]) -> Result<Vec<u8>, PatchError> {
        if hash(earlier) != self.base {
            return Err(PatchError::OtherBase);
        }
        self.assemble(earlier)
    }

    /// Returns the later value; `earlier` is the result of the patch `previous`.
    ///
    /// # Errors
    ///
    /// This patch doesn't follow the previous one, or is invalid.
    pub fn apply_after(&self, previous: &Self, earlier: &[u8]) -> Result<Vec<u8>, PatchError> {
        if previous.result != self.base {
            return Err(PatchError::OtherBase);
        }
        self.assemble(earlier)
    }

    fn assemble(&self, earlier: &[u8]) -> Result<Vec<u8>, PatchError> {
        let max_bytes = Self::max_result_bytes(earlier.len(), [self].into_iter());
        let mut later = Vec::with_capacity(earlier.len());
        for piece in &self.pieces {
            let bytes = match piece {
                Piece::Copied { offset, length } => {
                    let start = *offset as usize;
                    let copied = earlier.get(start..).and_then(|it| it.get(..*length as usize));
                    copied.ok_or(PatchError::OutOfRange)?
                }
                Piece::New(bytes) => bytes,
            };
            if later.len() + bytes.len() > max_bytes {
                return Err(PatchError::TooLong);
            }
            later.extend_from_slice(bytes);
        }
        if hash(&later) != self.result {
            return Err(PatchError::OtherResult);
        }
        Ok(later)
    }
}

fn hash(value: &[u8]) -> u64 {
    let hash = blake3::hash(value);
    let (head, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
    u64::from_le_bytes(*head)
}

/// Places of the blocks of a value, by their content.
struct BlockIndex {
    /// Number of the last block with each hash, plus one; zero for none.
    last: Vec<u32>,
    /// Number of the block before each one with the same hash, plus one; zero for none.
    previous: Vec<u32>,
}

impl BlockIndex {
    /// Size of a block, in bytes.
    const BLOCK: usize = 32;
    /// Maximum number of blocks with the same hash that are compared.
    const MAX_COMPARED: usize = 16;

    fn new(value: &[u8]) -> Self {
        let blocks = value.chunks_exact(Self::BLOCK);
        let slots = (2 * blocks.len()).next_power_of_two();
        let mut index = Self { last: vec![0; slots], previous: vec![0; blocks.len()] };
        // In reverse, so that the blocks of one content are found in their order.
        for (number, block) in blocks.enumerate().rev() {
            let slot = index.slot(RollingHash::of(block));
            index.previous[number] = index.last[slot];
            index.last[slot] = u32::try_from(number + 1).unwrap_or(0);
        }
        index
    }

    fn slot(&self, hash: u64) -> usize {
        (hash >> 32) as usize & (self.last.len() - 1)
    }

    /// Returns the offsets of blocks that may have the content with this hash.
    fn offsets(&self, hash: u64) -> impl Iterator<Item = usize> {
        let first = self.last[self.slot(hash)];
        let chain = std::iter::successors(Some(first), |it| {
            self.previous.get((*it as usize).checked_sub(1)?).copied()
        });
        let found = chain.take_while(|it| *it != 0).take(Self::MAX_COMPARED);
        found.map(|it| (it as usize - 1) * Self::BLOCK)
    }
}

/// Hash of a window of [`BlockIndex::BLOCK`] bytes that moves on byte by byte.
struct RollingHash(u64);

impl RollingHash {
    const FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
    /// Weight of the first byte of the window.
    const OLDEST: u64 = {
        let (mut weight, mut at) = (1_u64, 1);
        while at < BlockIndex::BLOCK {
            weight = weight.wrapping_mul(Self::FACTOR);
            at += 1;
        }
        weight
    };

    fn of(window: &[u8]) -> u64 {
        window.iter().fold(0, |hash: u64, byte| Self::push(hash, *byte))
    }

    fn push(hash: u64, byte: u8) -> u64 {
        hash.wrapping_mul(Self::FACTOR).wrapping_add(u64::from(byte) + 1)
    }

    /// Moves the window by one byte: `leaving` is its first one, `entering` follows it.
    fn roll(&mut self, leaving: u8, entering: u8) {
        let rest = self.0.wrapping_sub((u64::from(leaving) + 1).wrapping_mul(Self::OLDEST));
        self.0 = Self::push(rest, entering);
    }
}

/// Finds the parts of a value that an earlier one has too.
struct Builder<'a> {
    earlier: &'a [u8],
    later: &'a [u8],
    index: BlockIndex,
    pieces: Vec<Piece>,
    /// Start of the bytes of `later` that aren't in a piece yet.
    pending: usize,
    /// End of the last copied bytes in `earlier`.
    copied_to: usize,
    /// Number of bytes copied.
    copied: usize,
}

/// Bytes that both values have.
#[derive(Debug, Clone, Copy)]
struct Match {
    offset: usize,
    start: usize,
    length: usize,
}

impl<'a> Builder<'a> {
    /// Minimum number of bytes worth a piece of their own.
    const MIN_MATCH: usize = 16;

    fn new(earlier: &'a [u8], later: &'a [u8]) -> Self {
        let index = BlockIndex::new(earlier);
        Self { earlier, later, index, pieces: Vec::new(), pending: 0, copied_to: 0, copied: 0 }
    }

    fn run(&mut self) {
        let mut at = 0;
        let mut window: Option<RollingHash> = None;
        while at < self.later.len() {
            let Some(found) = self.find(at, &mut window) else {
                at += 1;
                continue;
            };
            if self.copied + found.length > ValuePatch::MAX_COPIES * self.earlier.len() {
                break;
            }
            self.copy(found);
            at = self.pending;
            window = None;
        }
        self.push_new(self.later.len());
    }

    /// Returns the longest match found for the bytes at `at`.
    fn find(&self, at: usize, window: &mut Option<RollingHash>) -> Option<Match> {
        // Bytes that were replaced by as many others, or that were inserted.
        let replaced = self.copied_to + (at - self.pending);
        let near = [replaced, self.copied_to].into_iter().map(|offset| self.extend(offset, at));
        let near = near.max_by_key(|it| it.length).filter(|it| it.length >= Self::MIN_MATCH);
        if near.is_some() {
            return near;
        }
        let end = at + BlockIndex::BLOCK;
        let bytes = self.later.get(at..end)?;
        let hash = match window {
            Some(hash) => {
                hash.roll(self.later[at - 1], self.later[end - 1]);
                hash.0
            }
            None => window.insert(RollingHash(RollingHash::of(bytes))).0,
        };
        let found = self.index.offsets(hash).map(|offset| self.extend(offset, at));
        found.max_by_key(|it| it.length).filter(|it| it.length >= Self::MIN_MATCH)
    }

    /// Returns the equal bytes around these places.
    fn extend(&self, offset: usize, start: usize) -> Match {
        let earlier = self.earlier.get(offset..).unwrap_or_default();
        let equal = |(a, b): &(&u8, &u8)| a == b;
        let after = earlier.iter().zip(&self.later[start..]).take_while(equal).count();
        let before = self.earlier[..offset.min(self.earlier.len())].iter().rev();
        let before = before.zip(self.later[self.pending..start].iter().rev());
        let before = if after == 0 { 0 } else { before.take_while(equal).count() };
        Match { offset: offset - before, start: start - before, length: before + after }
    }

    fn copy(&mut self, found: Match) {
        self.push_new(found.start);
        let offset = u32::try_from(found.offset).unwrap_or(u32::MAX);
        let length = u32::try_from(found.length).unwrap_or(u32::MAX);
        self.pieces.push(Piece::Copied { offset, length });
        self.pending = found.start + found.length;
        self.copied_to = found.offset + found.length;
        self.copied += found.length;
    }

    fn push_new(&mut self, end: usize) {
        if end > self.pending {
            self.pieces.push(Piece::New(self.later[self.pending..end].to_vec()));
        }
        self.pending = end;
    }
}
