//! Line edits between two texts, at a bounded cost.
//!
//! Common first and last lines are skipped; the rest is compared with Myers' algorithm, which costs
//! time by the number of changed lines. Past [`MAX_CHANGES`] changes the rest is replaced as one
//! edit, so that a rewritten file cannot stall a daemon.

use std::ops::Range;

use basilbay_wire::control::Edit;

/// Changed lines up to which the smallest set of edits is looked for.
pub const MAX_CHANGES: usize = 256;

/// Finds edits that turn `old` into `new`, in the order of lines.
pub fn edits(old: &str, new: &str) -> Vec<Edit> {
    let old: Vec<&str> = old.split('\n').collect();
    let new: Vec<&str> = new.split('\n').collect();
    let head = common(old.iter(), new.iter());
    let tail = common(old[head..].iter().rev(), new[head..].iter().rev());
    let old_end = old.len() - tail;
    let new_end = new.len() - tail;
    let kept = matches(&old[head..old_end], &new[head..new_end]);
    let kept = kept
        .into_iter()
        .map(|(left, right)| (left + head, right + head));
    gaps(&new, head, kept.chain([(old_end, new_end)]))
}

/// Applies edits to a text; `None` when an edit does not fit.
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

fn common<'a>(
    left: impl Iterator<Item = &'a &'a str>,
    right: impl Iterator<Item = &'a &'a str>,
) -> usize {
    left.zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}

/// Turns matched lines into the edits between them; the last match marks the end.
fn gaps(new: &[&str], head: usize, kept: impl Iterator<Item = (usize, usize)>) -> Vec<Edit> {
    let mut edits = Vec::new();
    let (mut left, mut right) = (head, head);
    for (old_at, new_at) in kept {
        if old_at > left || new_at > right {
            edits.push(edit(new, left..old_at, right..new_at));
        }
        left = old_at + 1;
        right = new_at + 1;
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

/// Pairs of equal lines on a shortest edit path, or none when there are too many changes.
fn matches(old: &[&str], new: &[&str]) -> Vec<(usize, usize)> {
    let mut trace: Vec<Vec<usize>> = Vec::new();
    let mut reach = vec![0_usize; 2 * MAX_CHANGES + 3];
    for changes in 0..=MAX_CHANGES {
        trace.push(reach.clone());
        for diagonal in diagonals(changes) {
            let mut left = step(&reach, changes, diagonal).1;
            let mut right = left.wrapping_add_signed(-diagonal);
            while left < old.len() && right < new.len() && old[left] == new[right] {
                left += 1;
                right += 1;
            }
            reach[slot(diagonal)] = left;
            if left >= old.len() && right >= new.len() {
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

fn slot(diagonal: isize) -> usize {
    (MAX_CHANGES + 1).wrapping_add_signed(diagonal)
}

/// Diagonal that a path comes from, and the old line at which it enters `diagonal`.
fn step(reach: &[usize], changes: usize, diagonal: isize) -> (isize, usize) {
    let bound = changes.cast_signed();
    if changes == 0 {
        return (diagonal, 0);
    }
    let below = reach[slot(diagonal - 1)];
    let above = reach[slot(diagonal + 1)];
    if diagonal == -bound || (diagonal != bound && below < above) {
        (diagonal + 1, above)
    } else {
        (diagonal - 1, below + 1)
    }
}

fn backtrack(trace: &[Vec<usize>], old_len: usize, new_len: usize) -> Vec<(usize, usize)> {
    let mut kept = Vec::new();
    let mut left = old_len;
    let mut diagonal = old_len.cast_signed() - new_len.cast_signed();
    for (changes, reach) in trace.iter().enumerate().rev() {
        let (previous, entry) = step(reach, changes, diagonal);
        while left > entry {
            left -= 1;
            kept.push((left, left.wrapping_add_signed(-diagonal)));
        }
        if changes > 0 {
            left = reach[slot(previous)];
            diagonal = previous;
        }
    }
    kept.reverse();
    kept
}
