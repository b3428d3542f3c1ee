//! Buddy allocation of aligned blocks in the accelerator mask of one worker.

/// Bits at which aligned blocks begin, by the binary logarithm of the size of the block (1 to 64).
const BLOCK_STARTS: [u64; 7] = [
    u64::MAX,
    0x5555_5555_5555_5555,
    0x1111_1111_1111_1111,
    0x0101_0101_0101_0101,
    0x0001_0001_0001_0001,
    0x0000_0001_0000_0001,
    1,
];

/// Returns the bits at which aligned blocks of `size` accelerators begin that lie wholly in `mask`.
fn block_starts(mask: u64, size: u32) -> u64 {
    let level = size.next_power_of_two().trailing_zeros() as usize;
    let Some(starts) = BLOCK_STARTS.get(level) else { return 0 };
    let mut whole = mask;
    for step in 0..level {
        whole &= whole >> (1_u32 << step);
    }
    whole & starts
}

/// Returns how many aligned blocks lie wholly in `mask`; `size` is rounded up to a power of two.
pub fn aligned_blocks(mask: u64, size: u32) -> u32 {
    block_starts(mask, size).count_ones()
}

/// Returns the lowest `size` accelerators of the aligned block of `mask` that lies in the smallest free block.
///
/// `free` is the mask of all free accelerators of the worker. A block whose buddy is not free is chosen first, which
/// keeps larger free blocks whole.
pub fn find_block(mask: u64, free: u64, size: u32) -> Option<u64> {
    let width = size.next_power_of_two();
    let mut starts = block_starts(mask, size);
    let mut best: Option<(u32, u32)> = None;
    while starts != 0 {
        let start = starts.trailing_zeros();
        starts &= starts - 1;
        let enclosing_size = enclosing_free_block(free, start, width);
        if best.is_none_or(|(smallest, _)| enclosing_size < smallest) {
            best = Some((enclosing_size, start));
        }
    }
    best.map(|(_, start)| low_bits(size) << start)
}

/// Returns the size of the largest aligned free block that contains the block of `width` accelerators at `start`.
fn enclosing_free_block(free: u64, start: u32, width: u32) -> u32 {
    let mut size = width;
    while size < 64 {
        let larger = size * 2;
        let begin = start / larger * larger;
        let bits = low_bits(larger) << begin;
        if free & bits != bits {
            break;
        }
        size = larger;
    }
    size
}

/// Returns a mask of the lowest `count` bits.
pub(crate) fn low_bits(count: u32) -> u64 {
    if count >= 64 { u64::MAX } else { (1 << count) - 1 }
}
