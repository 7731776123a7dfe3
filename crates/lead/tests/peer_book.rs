//! Which daemons are asked for a newer layout by one that reaches neither the store nor its leader.

use base::Name;
use mango_lead::PeerBook;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Daemons asked in one check, and the checks of a daemon within the bound.
const PEERS: usize = 4;
const CHECKS: usize = 2;

fn name_of(number: usize, domains: usize, count: usize) -> Name {
    format!("domain-{}-{number:03}", number * domains / count).parse().unwrap()
}

/// Returns a book of daemons in equal failure domains. The port of each address is the daemon's number.
fn fill_book(domains: usize, count: usize) -> PeerBook {
    let mut book = PeerBook::default();
    for number in 0..count {
        let port = u16::try_from(number).unwrap();
        book.insert(name_of(number, domains, count), ([127, 0, 0, 1], port).into());
    }
    book
}

/// Returns how many of the refused daemons ask no daemon that reaches the store.
fn count_uninformed(
    book: &PeerBook,
    (domains, count): (usize, usize),
    is_refused: &[bool],
    checks: usize,
    random: &mut SmallRng,
) -> usize {
    let mut uninformed = 0;
    for number in (0..count).filter(|number| is_refused[*number]) {
        let own = name_of(number, domains, count);
        let asked = (0..checks).flat_map(|_| book.draw(&own, random.random(), PEERS));
        uninformed += usize::from(asked.into_iter().all(|at| is_refused[usize::from(at.port())]));
    }
    uninformed
}

/// Guards against a daemon that asks only neighbours, which its own failure domain has cut off as well.
#[test]
fn refused_domain() {
    let mut random = SmallRng::seed_from_u64(1);
    for (domains, count) in [(3, 6), (3, 7), (3, 79), (4, 88), (3, 295)] {
        let book = fill_book(domains, count);
        for domain in 0..domains {
            let is_refused: Vec<bool> =
                (0..count).map(|number| number * domains / count == domain).collect();
            let fleet = (domains, count);
            let uninformed = count_uninformed(&book, fleet, &is_refused, 1, &mut random);
            assert_eq!(uninformed, 0, "{count} daemons, domain {domain}");
        }
    }
}

/// Guards against a layout that is late because the store refuses a third of the daemons, their leader
/// included.
#[test]
fn refused_third() {
    let (mut refused, mut uninformed) = (0, 0);
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        for (domains, count) in [(3, 6), (3, 79), (4, 88), (3, 295)] {
            let book = fill_book(domains, count);
            let is_refused: Vec<bool> = (0..count).map(|_| random.random_bool(0.35)).collect();
            refused += is_refused.iter().filter(|is_refused| **is_refused).count();
            let fleet = (domains, count);
            uninformed += count_uninformed(&book, fleet, &is_refused, CHECKS, &mut random);
        }
    }
    assert!(refused > 5_000 && uninformed * 100 <= refused, "{uninformed} of {refused}");
}

#[test]
fn changed_addresses() {
    let host = |name: &str| name.parse::<Name>().unwrap();
    let mut book = PeerBook::default();
    assert!(book.draw(&host("a"), 7, PEERS).is_empty(), "nobody is registered");
    book.insert(host("a"), "127.0.0.1:1".parse().unwrap());
    assert!(book.draw(&host("a"), 7, PEERS).is_empty(), "only the daemon itself is registered");
    book.insert(host("b"), "127.0.0.1:2".parse().unwrap());
    book.insert(host("b"), "127.0.0.1:3".parse().unwrap());
    assert_eq!(book.draw(&host("a"), 7, PEERS), ["127.0.0.1:3".parse().unwrap()]);
    book.remove(&host("b"));
    assert!(book.draw(&host("a"), 7, PEERS).is_empty());
    book.replace([(host("c"), "127.0.0.1:4".parse().unwrap())].into_iter());
    assert_eq!(book.draw(&host("a"), 7, PEERS), ["127.0.0.1:4".parse().unwrap()]);
}

/// Guards against daemons that ask each other and none of which reads the store, because each has chosen
/// other readers.
#[test]
fn stable_readers() {
    const READERS: usize = 8;
    let names = |book: &PeerBook| -> Vec<Name> {
        book.readers(READERS).into_iter().map(|(name, _)| name.clone()).collect()
    };
    for (domains, count) in [(3, 7), (3, 79), (4, 88), (5, 295)] {
        let book = fill_book(domains, count);
        let readers = names(&book);
        assert_eq!(readers.len(), READERS.min(count));
        for number in 0..count {
            let mut smaller = book.clone();
            let left = name_of(number, domains, count);
            smaller.remove(&left);
            let kept = names(&smaller);
            let changed = readers.iter().filter(|name| !kept.contains(name)).count();
            assert_eq!(
                changed,
                usize::from(readers.contains(&left)),
                "{count} daemons without {left}"
            );
        }
        if count > 7 {
            let domain_of = |name: &Name| name.to_string()[..8].to_owned();
            let mut covered: Vec<String> = readers.iter().map(domain_of).collect();
            covered.sort();
            covered.dedup();
            assert!(covered.len() > 1, "{count} daemons: all readers in one domain");
        }
    }
}
