//! Workspaces in the declarations, and in the documents made of them.

#![allow(missing_docs)]

use std::path::Path;

use bramleymount::declare::{Estate, join, load, split};
use bramleymount::model::{KeyDigest, Rate};
use rstest::rstest;

/// Loads the example with `workspaces` at the end of its rules.
fn with(case: &str, workspaces: &str) -> Result<Estate, String> {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("workspaces-{case}"));
    std::fs::create_dir_all(&dir).expect("a directory");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/nordlysvakt");
    for name in ["inventory.yaml", "rules.yaml"] {
        let mut text = std::fs::read_to_string(example.join(name)).expect("a file");
        if name == "rules.yaml" {
            text = format!("workspaces:\n{workspaces}\n{text}");
        }
        std::fs::write(dir.join(name), text).expect("a file");
    }
    load(&dir).map_err(|e| e.to_string())
}

const GOOD: &str = "  - {name: north, keys: [secret-1, secret-2], rate: 20/s, burst: 40}
  - {name: south, keys: [secret-3], classes: {status-read: archive-read}}";

#[test]
fn load_keeps_digests_in_place_of_keys() {
    let estate = with("good", GOOD).unwrap_or_else(|e| panic!("{e}"));
    let documents = split(&estate);
    assert_eq!(join(&documents).expect("an estate"), estate);
    for document in &documents {
        assert!(!document.content.contains("secret"), "{}", document.content);
    }
    assert!(!format!("{estate:?}").contains("secret"));
    let workspaces = estate.workspaces.as_ref().expect("workspaces");
    let of = |key: &str| workspaces.find_by_key(&KeyDigest::of(key.as_bytes()));
    let name = |key: &str| of(key).map(|found| found.name.as_str());
    assert_eq!(name("secret-2"), Some("north"));
    assert_eq!(name("secret-3"), Some("south"));
    assert_eq!(name("north"), None);
    let limit = of("secret-1")
        .and_then(|found| found.limit)
        .expect("a limit");
    assert_eq!((limit.rate, limit.burst), (Rate::per_second(20.0), 40));
}

#[rstest]
#[case::key_of_two(
    "  - {name: a, keys: [same]}\n  - {name: b, keys: [same]}",
    "rules.yaml:3: a key of workspace b is also one of a"
)]
#[case::empty_key(
    "  - {name: a, keys: [\"\"]}",
    "rules.yaml:2: workspace a has an empty key"
)]
#[case::rate_below_zero("  - {name: a, keys: [k], rate: -1/s}", "must be such as 12.5/s")]
#[case::rate_without_unit("  - {name: a, keys: [k], rate: 5}", "must be such as 12.5/s")]
#[case::burst_without_rate(
    "  - {name: a, keys: [k], burst: 5}",
    "rules.yaml:2: workspace a has a burst without a rate"
)]
#[case::twice(
    "  - {name: a, keys: [k]}\n  - {name: a, keys: [l]}",
    "workspace a stands twice"
)]
#[case::unknown_class(
    "  - {name: a, keys: [k], classes: {status-read: nothing}}",
    "class nothing is not declared"
)]
fn load_refuses(#[case] workspaces: &str, #[case] message: &str) {
    let case = format!("{:x}", xxhash_rust::xxh3::xxh3_64(workspaces.as_bytes()));
    let error = with(&case, workspaces).expect_err("a mistake");
    assert!(error.contains(message), "{error}");
}
