//! Suggestions for misspelled names.

/// The largest edit distance of a suggestion.
const MAX_EDITS: usize = 3;

/// Returns the candidate with the smallest edit distance, if that is at most
/// 3 and half of the candidate's length.
pub fn closest<'a>(name: &str, candidates: impl Iterator<Item = &'a str>) -> Option<String> {
    candidates
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(distance, candidate)| *distance <= MAX_EDITS.min(candidate.len() / 2))
        .min()
        .map(|(_, candidate)| candidate.to_owned())
}

/// Returns the Levenshtein distance of two texts, or `usize::MAX` if their
/// lengths differ by more than [`MAX_EDITS`].
fn edit_distance(a: &str, b: &str) -> usize {
    if a.len().abs_diff(b.len()) > MAX_EDITS {
        return usize::MAX;
    }
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, left) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, right) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(left != *right);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
