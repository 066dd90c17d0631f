//! Buckets of keys: all keys of a bucket have the same witnesses, so that their
//! records can be handed off from host to host by bucket.

use waxwingusher_protocol::attempt::AttemptKey;

const WORD_BITS: usize = 64;

/// A bucket of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Bucket(u16);

impl Bucket {
    /// Returns the bucket of a key if there are `buckets` of them.
    pub(crate) const fn of(key: &AttemptKey, buckets: u16) -> Self {
        Self(key.prefix() % buckets)
    }

    /// Returns the bucket with a number.
    pub(crate) const fn from_number(number: u16) -> Self {
        Self(number)
    }

    /// Returns all buckets.
    pub(crate) fn all(buckets: u16) -> impl Iterator<Item = Self> {
        (0..buckets).map(Self)
    }

    pub(crate) const fn number(self) -> u16 {
        self.0
    }
}

/// A set of buckets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct BucketSet {
    words: Vec<u64>,
}

impl BucketSet {
    pub(crate) fn insert(&mut self, bucket: Bucket) {
        let (word, bit) = word_and_bit(bucket);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= bit;
    }

    pub(crate) fn remove_all(&mut self, other: &Self) {
        for (word, removed) in self.words.iter_mut().zip(&other.words) {
            *word &= !removed;
        }
    }

    pub(crate) fn contains(&self, bucket: Bucket) -> bool {
        let (word, bit) = word_and_bit(bucket);
        self.words.get(word).is_some_and(|found| found & bit != 0)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Bucket> {
        let words = self.words.iter().enumerate();
        words.flat_map(|(word, bits)| {
            let numbers = (0..WORD_BITS).filter(move |bit| bits >> bit & 1 != 0);
            numbers.filter_map(move |bit| u16::try_from(word * WORD_BITS + bit).ok().map(Bucket))
        })
    }
}

impl FromIterator<Bucket> for BucketSet {
    fn from_iter<I: IntoIterator<Item = Bucket>>(buckets: I) -> Self {
        let mut set = Self::default();
        for bucket in buckets {
            set.insert(bucket);
        }
        set
    }
}

fn word_and_bit(bucket: Bucket) -> (usize, u64) {
    let number = usize::from(bucket.0);
    (number / WORD_BITS, 1 << (number % WORD_BITS))
}
