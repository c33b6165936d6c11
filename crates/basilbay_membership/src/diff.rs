//! Line edits between two texts, computed at a bounded cost.
//!
//! The common prefix and suffix are skipped; the rest is compared with Myers' algorithm, whose cost
//! grows with the number of changed lines. Beyond [`MAX_CHANGES`] changes, the rest is replaced
//! with one edit, so that a rewritten file cannot stall a daemon.

use std::ops::Range;

use basilbay_wire::control::Edit;

/// Maximum number of changed lines for which the minimal set of edits is computed.
pub const MAX_CHANGES: usize = 256;

/// Computes edits that turn `old` into `new`, in line order.
pub fn edits(old: &str, new: &str) -> Vec<Edit> {
    let old: Vec<&str> = old.split('\n').collect();
    let new: Vec<&str> = new.split('\n').collect();
    let prefix = common_prefix(old.iter(), new.iter());
    let suffix = common_prefix(old[prefix..].iter().rev(), new[prefix..].iter().rev());
    let old_end = old.len() - suffix;
    let new_end = new.len() - suffix;
    let matched = matching_lines(&old[prefix..old_end], &new[prefix..new_end]);
    let matched = matched
        .into_iter()
        .map(|(old_pos, new_pos)| (old_pos + prefix, new_pos + prefix));
    edits_between(&new, prefix, matched.chain([(old_end, new_end)]))
}

/// Applies edits to a text; `None` if an edit is out of range.
pub fn apply(old: &str, edits: &[Edit]) -> Option<String> {
    let lines: Vec<&str> = old.split('\n').collect();
    let mut result: Vec<&str> = Vec::with_capacity(lines.len());
    let mut next = 0_usize;
    for edit in edits {
        let start = edit.line as usize;
        result.extend(lines.get(next..start)?);
        result.extend(edit.added.iter().map(String::as_str));
        next = start.checked_add(edit.removed as usize)?;
    }
    result.extend(lines.get(next..)?);
    Some(result.join("\n"))
}

/// Number of equal lines at the start of both sequences.
fn common_prefix<'a>(
    left: impl Iterator<Item = &'a &'a str>,
    right: impl Iterator<Item = &'a &'a str>,
) -> usize {
    left.zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}

/// Converts matched lines into the edits between them; the last match marks the end of both texts.
fn edits_between(
    new: &[&str],
    prefix: usize,
    matched: impl Iterator<Item = (usize, usize)>,
) -> Vec<Edit> {
    let mut edits = Vec::new();
    let (mut old_pos, mut new_pos) = (prefix, prefix);
    for (old_at, new_at) in matched {
        if old_at > old_pos || new_at > new_pos {
            edits.push(edit(new, old_pos..old_at, new_pos..new_at));
        }
        old_pos = old_at + 1;
        new_pos = new_at + 1;
    }
    edits
}

fn edit(new: &[&str], old: Range<usize>, added: Range<usize>) -> Edit {
    Edit {
        line: u32::try_from(old.start).unwrap_or(u32::MAX),
        removed: u32::try_from(old.len()).unwrap_or(u32::MAX),
        added: new[added].iter().map(|line| (*line).to_owned()).collect(),
    }
}

/// Pairs of equal lines on a shortest edit path; empty if there are more than [`MAX_CHANGES`]
/// changes.
fn matching_lines(old: &[&str], new: &[&str]) -> Vec<(usize, usize)> {
    let mut trace: Vec<Vec<usize>> = Vec::new();
    let mut furthest = vec![0_usize; 2 * MAX_CHANGES + 3];
    for changes in 0..=MAX_CHANGES {
        trace.push(furthest.clone());
        for diagonal in diagonals(changes) {
            let mut old_pos = predecessor(&furthest, changes, diagonal).1;
            let mut new_pos = old_pos.wrapping_add_signed(-diagonal);
            while old_pos < old.len() && new_pos < new.len() && old[old_pos] == new[new_pos] {
                old_pos += 1;
                new_pos += 1;
            }
            furthest[diagonal_index(diagonal)] = old_pos;
            if old_pos >= old.len() && new_pos >= new.len() {
                return backtrack(&trace, old.len(), new.len());
            }
        }
    }
    Vec::new()
}

fn diagonals(changes: usize) -> impl Iterator<Item = isize> {
    let bound = changes.cast_signed();
    (-bound..=bound).step_by(2)
}

fn diagonal_index(diagonal: isize) -> usize {
    (MAX_CHANGES + 1).wrapping_add_signed(diagonal)
}

/// Diagonal that the furthest-reaching path comes from, and the old line at which it enters
/// `diagonal`.
fn predecessor(furthest: &[usize], changes: usize, diagonal: isize) -> (isize, usize) {
    let bound = changes.cast_signed();
    if changes == 0 {
        return (diagonal, 0);
    }
    let below = furthest[diagonal_index(diagonal - 1)];
    let above = furthest[diagonal_index(diagonal + 1)];
    if diagonal == -bound || (diagonal != bound && below < above) {
        (diagonal + 1, above)
    } else {
        (diagonal - 1, below + 1)
    }
}

fn backtrack(trace: &[Vec<usize>], old_len: usize, new_len: usize) -> Vec<(usize, usize)> {
    let mut matched = Vec::new();
    let mut old_pos = old_len;
    let mut diagonal = old_len.cast_signed() - new_len.cast_signed();
    for (changes, furthest) in trace.iter().enumerate().rev() {
        let (previous, entry) = predecessor(furthest, changes, diagonal);
        while old_pos > entry {
            old_pos -= 1;
            matched.push((old_pos, old_pos.wrapping_add_signed(-diagonal)));
        }
        if changes > 0 {
            old_pos = furthest[diagonal_index(previous)];
            diagonal = previous;
        }
    }
    matched.reverse();
    matched
}
