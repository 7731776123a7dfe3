//! Patches of a configuration from version to version, at daemons that miss some of them.

use base::Revision;
use mango_patch::{PatchError, ValueDigest, ValueHistory, ValuePatch};

/// Returns a document with `routes` routes, of which each change touches one.
fn document(routes: usize, version: usize) -> Vec<u8> {
    let route = |number: usize| {
        let timeout = if number == version * 7 % routes { 800 + version } else { 800 };
        let name = number.wrapping_mul(0x9e37_79b9) ^ 0x5bd1_e995;
        format!("{{\"name\":\"r-{name:x}\",\"prefix\":\"/{number}/\",\"timeout\":{timeout}}}")
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!("{{\"version\":{version},\"routes\":[{}]}}", routes.join(",")).into_bytes()
}

fn over_the_wire(patches: &[ValuePatch]) -> Vec<ValuePatch> {
    serde_json::from_slice(&serde_json::to_vec(patches).unwrap()).unwrap()
}

/// Guards against patches as large as the configuration itself.
#[test]
fn patch_sizes() {
    for routes in [600, 3_500, 15_000] {
        let (former, latest) = (document(routes, 1), document(routes, 2));
        let patch = ValuePatch::between(&former, &latest).unwrap();
        assert!(patch.size() < 512, "{routes} routes: {} bytes", patch.size());
        let whole = ValuePatch::whole(&latest).unwrap();
        let share = whole.size() * 100 / latest.len();
        assert!(share < 25, "{routes} routes: {share} % of {} bytes", latest.len());
    }
}

/// Guards against a daemon that ends up with another value than the store's, whichever versions it
/// misses.
#[test]
fn missed_versions() {
    let mut leader = ValueHistory::default();
    let mut followers = vec![ValueHistory::default(); 5];
    for version in 1..40 {
        leader.replace(Revision(version as u64 * 3), document(500, version));
        for (at, follower) in followers.iter_mut().enumerate() {
            if version % (at + 1) != 0 {
                continue;
            }
            let patches = over_the_wire(&leader.patches_from(follower.digest()));
            let value = follower.preview(&patches).unwrap();
            assert_eq!(value, document(500, version), "follower {at}");
            follower.replace(leader.revision().unwrap(), value);
            assert_eq!(follower.digest(), leader.digest());
            assert_eq!(leader.chain_from(follower.digest().unwrap()), Some(Vec::new()));
        }
    }
}

/// Guards against a patch that is applied to another version than its own, or whose data has been
/// altered in transit.
#[test]
fn wrong_patches() {
    let versions: Vec<Vec<u8>> = (1..4).map(|version| document(50, version)).collect();
    let patch = ValuePatch::between(&versions[0], &versions[1]).unwrap();
    assert!(matches!(patch.apply(&versions[2]), Err(PatchError::OtherBase(Some(_)))));
    assert!(matches!(patch.apply(b""), Err(PatchError::OtherBase(Some(_)))));
    let other = ValuePatch::between(&versions[0], &versions[2]).unwrap();
    let replace_in = |patch: &ValuePatch, field: &str, value: serde_json::Value| {
        let mut wire = serde_json::to_value(patch).unwrap();
        wire[field] = value;
        serde_json::from_value::<ValuePatch>(wire)
    };
    let data = serde_json::to_value(&other).unwrap()["data"].clone();
    let swapped = replace_in(&patch, "data", data).unwrap();
    assert!(matches!(swapped.apply(&versions[0]), Err(PatchError::OtherResult)));
    for data in ["", "AAAA", "KLUv/QBYAQAA"] {
        let altered = replace_in(&patch, "data", data.into()).unwrap();
        assert!(altered.apply(&versions[0]).is_err(), "{data:?}");
    }
    for digest in ["", "xyz", "+a7816bf8f01cfea414140de5dae2223", "ba7816bf8f01cfea"] {
        assert!(replace_in(&patch, "digest", digest.into()).is_err(), "{digest:?}");
    }
}

/// Guards against data of a few bytes that expand to all memory.
#[test]
fn expanding_data() {
    let value = vec![b'x'; 17 << 20];
    assert!(matches!(ValuePatch::whole(&value), Err(PatchError::TooLarge)));
    let honest = ValuePatch::whole(&value[..1 << 20]).unwrap();
    assert!(honest.size() < 1_000);
    assert_eq!(honest.apply(b"").unwrap().len(), 1 << 20);
}

/// Guards against a history that grows with each version, and against a later version that counts as
/// known because a daemon has an earlier one under a lower revision.
#[test]
fn bounded_history() {
    let mut history = ValueHistory::default();
    assert_eq!(history.patches_from(None), Vec::new());
    let first = document(3_000, 0);
    history.replace(Revision(900), first.clone());
    // Another document each time, so that the patches are large.
    for version in 1..60_usize {
        let text: Vec<u8> = (0..8_000_u32)
            .flat_map(|n| {
                n.wrapping_mul((version as u32).wrapping_mul(2_654_435_761)).to_le_bytes()
            })
            .collect();
        history.replace(Revision(900 + version as u64), text);
    }
    assert_eq!(history.chain_from(ValueDigest::of(&first)), None);
    let patches = history.patches_from(Some(ValueDigest::of(&first)));
    assert_eq!(patches.len(), 1);
    assert_eq!(patches[0].base(), None);
    assert_eq!(patches[0].apply(&first).unwrap(), history.value().unwrap());
    // A peer's copy comes under a lower revision than that of the store.
    let known = history.revision();
    let value = history.value().unwrap().to_vec();
    history.replace(Revision(3), value);
    assert_eq!(history.revision(), known);
}

/// Guards against a daemon that stands still while it unpacks a value once for each of many versions that it
/// has missed.
#[test]
fn long_chains() {
    let mut leader = ValueHistory::default();
    leader.replace(Revision(1), document(8_000, 1));
    let follower = leader.clone();
    for version in 2..200 {
        leader.replace(Revision(version as u64), document(8_000, version));
    }
    let latest = leader.value().unwrap().to_vec();
    let patches = leader.patches_from(follower.digest());
    let unpacked = patches.len() * latest.len();
    assert!(unpacked <= 16 << 20, "{} patches unpack to {unpacked} bytes", patches.len());
    assert_eq!(follower.preview(&patches).unwrap(), latest);
}

/// Guards against a peer whose small message unpacks to gigabytes.
#[test]
fn patch_bombs() {
    let (zeros, ones) = (vec![0; 8 << 20], vec![1; 8 << 20]);
    let (there, back) =
        (ValuePatch::between(&zeros, &ones).unwrap(), ValuePatch::between(&ones, &zeros).unwrap());
    let mut history = ValueHistory::default();
    history.replace(Revision(1), zeros);
    let chain: Vec<ValuePatch> = [there, back].into_iter().cycle().take(100).collect();
    assert!(chain.iter().map(ValuePatch::size).sum::<usize>() < 1 << 20);
    assert!(matches!(history.preview(&chain), Err(PatchError::TooLarge)));
}

/// Guards against secrets of a configuration in logs and messages.
#[test]
fn hidden_values() {
    let mut history = ValueHistory::default();
    history.replace(Revision(1), b"key-of-a-team".to_vec());
    history.replace(Revision(2), b"key-of-another".to_vec());
    let text = format!("{history:?} {:?}", history.patches_from(None));
    assert!(!text.contains("107, 101, 121") && !text.contains("key-of"), "{text}");
    assert!(text.contains("size"), "{text}");
}
