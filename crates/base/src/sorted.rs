//! A map stored as a sorted vector.

use serde::{Deserialize, Serialize};

/// A map stored in one vector, sorted by key and accessed by binary search.
///
/// A look-up takes O(log n) time. Inserting or removing an entry moves O(n) others, which is cheap
/// for maps of a few thousand entries. In return, entries are contiguous in memory and iteration is
/// in key order.
///
/// # Example
///
/// ```
/// use mango_base::SortedMap;
/// let mut map = SortedMap::default();
/// map.insert("b", 2);
/// map.insert("a", 1);
/// assert_eq!(map.get(&"a"), Some(&1));
/// assert_eq!(map.keys().copied().collect::<Vec<_>>(), ["a", "b"]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SortedMap<K, V>(Vec<(K, V)>);

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        SortedMap(Vec::new())
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Returns the value of `key`.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.position(key).ok().map(|index| &self.0[index].1)
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.position(key).ok().map(|index| &mut self.0[index].1)
    }

    /// Returns whether `key` is present.
    pub fn contains(&self, key: &K) -> bool {
        self.position(key).is_ok()
    }

    /// Sets the value of `key` and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.0[index].1, value)),
            Err(index) => {
                self.0.insert(index, (key, value));
                None
            }
        }
    }

    /// Removes `key` and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.position(key).ok().map(|index| self.0.remove(index).1)
    }

    /// Returns a mutable reference to the value of `key`. If `key` is missing, inserts the result
    /// of `make` first.
    pub fn entry(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                self.0.insert(index, (key, make()));
                index
            }
        };
        &mut self.0[index].1
    }

    /// Keeps the entries for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.0.retain_mut(|(key, value)| keep(key, value));
    }

    /// Iterates over the entries in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.0.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over the entries in key order, with mutable references to the values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.0.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.0.iter().map(|(key, _)| key)
    }

    /// Iterates over the values in key order.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.0.iter().map(|(_, value)| value)
    }

    /// Iterates over mutable references to the values, in key order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.0.iter_mut().map(|(_, value)| value)
    }

    /// Returns the entries whose keys `order` compares as equal, found by binary search.
    ///
    /// In key order, `order` must return `Less` for the first keys, then `Equal`, then `Greater`.
    pub fn range_by(&self, order: impl Fn(&K) -> std::cmp::Ordering) -> &[(K, V)] {
        let start = self.0.partition_point(|(key, _)| order(key).is_lt());
        let end = self.0.partition_point(|(key, _)| order(key).is_le());
        &self.0[start..end]
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the map has no entry.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn position(&self, key: &K) -> Result<usize, usize> {
        self.0.binary_search_by(|(other, _)| other.cmp(key))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    /// Collects entries. If a key occurs more than once, its last value is kept.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut entries: Vec<(K, V)> = entries.into_iter().collect();
        entries.reverse();
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        entries.dedup_by(|a, b| a.0 == b.0);
        SortedMap(entries)
    }
}
