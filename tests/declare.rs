//! Errors in declarations and settings, with the location of each.

#![allow(missing_docs)]

use std::path::{Path, PathBuf};

use bramleymount::config::Config;
use bramleymount::declare::{diff, join, load, split};
use bramleymount::model::{MemorySize, Percent, PositiveDuration};
use proptest::prelude::*;
use rstest::rstest;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

/// Loads an example in which `from` is replaced by `to`.
fn altered(case: &str, file: &str, from: &str, to: &[u8]) -> Result<(), String> {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("declare-{case}"));
    std::fs::create_dir_all(&dir).expect("a directory");
    for name in ["inventory.yaml", "rules.yaml"] {
        let text = std::fs::read_to_string(example("nordlysvakt").join(name)).expect("a file");
        let content = if name == file {
            let (before, after) = text.split_once(from).expect("text to alter");
            [before.as_bytes(), to, after.as_bytes()].concat()
        } else {
            text.into_bytes()
        };
        std::fs::write(dir.join(name), content).expect("a file");
    }
    load(&dir).map(drop).map_err(|e| e.to_string())
}

#[rstest]
fn load_accepts_examples(#[values("nordlysvakt", "hrabovsky")] name: &str) {
    let estate = load(&example(name)).unwrap_or_else(|e| panic!("{e}"));
    let documents = split(&estate);
    assert_eq!(join(&documents).expect("an estate"), estate);
    assert!(diff(&documents, &documents).is_empty());
}

#[rstest]
#[case::cycle(
    "inventory.yaml",
    "    connections: 550\n    servers:",
    "    connections: 550\n    depends: [forecast-archive]\n    servers:",
    "in a cycle"
)]
#[case::unknown_service(
    "inventory.yaml",
    "depends: [station-status]",
    "depends: [nothing]",
    "inventory.yaml:17: forecast-archive depends on nothing"
)]
#[case::unknown_class(
    "rules.yaml",
    "class: archive-read}",
    "class: nothing}",
    "class nothing is not declared"
)]
#[case::once_without_key(
    "rules.yaml",
    "once: {key: Idempotency-Key}",
    "once: {}",
    "rules.yaml:6: once class alert-dispatch has no valid key"
)]
#[case::zero_slots("inventory.yaml", "slots: 70", "slots: 0", "inventory.yaml:15")]
#[case::overflow(
    "inventory.yaml",
    "slots: 70",
    "slots: 99999999999",
    "must be from 1 to 100000"
)]
#[case::negative(
    "inventory.yaml",
    "slots: 70",
    "slots: -1",
    "-1 must be from 1 to 100000"
)]
#[case::zero_count(
    "inventory.yaml",
    "hall: a, count: 1",
    "hall: a, count: 0",
    "count is 0; write a number"
)]
#[case::duplicate(
    "inventory.yaml",
    "name: alert-dispatch",
    "name: forecast-archive",
    "service forecast-archive is declared twice"
)]
#[case::unknown_field("inventory.yaml", "slots: 70", "slotz: 70", "slotz")]
#[case::unknown_hall("inventory.yaml", "hall: b, count", "hall: z, count", "has no hall z")]
#[case::unknown_centre(
    "inventory.yaml",
    "data_centre: oslo-1",
    "data_centre: oslo-9",
    "data centre oslo-9 is not declared; known are oslo-1"
)]
#[case::bad_method(
    "rules.yaml",
    "method: POST",
    "method: post",
    "\"post\" is not a known method"
)]
#[case::bad_path("rules.yaml", "path: /alerts", "path: alerts", "must begin with /")]
#[case::bad_duration("rules.yaml", "deadline: 2s", "deadline: 2", "number with its unit")]
#[case::protected_below(
    "rules.yaml",
    "  - name: archive-read\n",
    "  - name: early\n    deadline: 1s\n  - name: archive-read\n",
    "archive-read is listed after early, which is not protected; move it up"
)]
#[case::bad_name(
    "inventory.yaml",
    "name: forecast-archive",
    "name: Forecast",
    "may hold only a-z"
)]
fn load_refuses(#[case] file: &str, #[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let case = format!("{:x}", xxhash(to, from));
    let error = altered(&case, file, from, to.as_bytes()).expect_err("an error");
    assert!(error.contains(message), "{error}");
    assert!(error.contains(".yaml:"), "{error}");
}

fn xxhash(a: &str, b: &str) -> u64 {
    a.bytes().chain(b.bytes()).fold(17, |h: u64, c| {
        h.wrapping_mul(31).wrapping_add(u64::from(c))
    })
}

#[test]
fn load_refuses_invalid_utf8() {
    let error =
        altered("utf8", "rules.yaml", "deadline: 2s", b"deadline: \xff").expect_err("an error");
    assert!(
        error.contains("rules.yaml:7: the file must be UTF-8"),
        "{error}"
    );
}

const SETTINGS: &str = "data_centre: oslo-1\nhall: a\nservice: forecast-archive\nlisten:\n  \
    callers: 10.0.0.5:8000\n  peers: 10.0.0.5:8001\n  operators: 127.0.0.1:8002\n\
    backend: 127.0.0.1:9000\nplatform: 10.1.0.9:7000\nneighbours: [10.0.0.6:8001]\n";

#[test]
fn config_accepts_settings() {
    Config::parse(Path::new("s.yaml"), SETTINGS.as_bytes()).unwrap_or_else(|e| panic!("{e}"));
}

#[rstest]
#[case::left_out("", false)]
#[case::set("fair: true\n", true)]
fn config_shares_slots_only_if_set(#[case] line: &str, #[case] fair: bool) {
    let text = format!("{SETTINGS}{line}");
    let config = Config::parse(Path::new("s.yaml"), text.as_bytes());
    assert_eq!(config.unwrap_or_else(|e| panic!("{e}")).fair_sharing, fair);
}

#[rstest]
#[case::missing("service: forecast-archive\n", "", "s.yaml:")]
#[case::unknown("hall: a", "hall: a\nhalt: b", "halt")]
#[case::public_operators(
    "operators: 127.0.0.1:8002",
    "operators: 10.0.0.5:8002",
    "s.yaml:7: operators must be on loopback"
)]
#[case::remote_backend(
    "backend: 127.0.0.1:9000",
    "backend: 10.0.0.7:9000",
    "s.yaml:8: backend must be on loopback"
)]
#[case::same_twice(
    "peers: 10.0.0.5:8001",
    "peers: 10.0.0.5:8000",
    "s.yaml:6: 10.0.0.5:8000 is used twice"
)]
#[case::any_address(
    "callers: 10.0.0.5:8000",
    "callers: 0.0.0.0:8000",
    "write the VM's own IP address"
)]
#[case::host_name("platform: 10.1.0.9:7000", "platform: store:7000", "s.yaml:9")]
#[case::own_neighbour("[10.0.0.6:8001]", "[10.0.0.5:8001]", "cannot be its own neighbour")]
#[case::share_of_repeats(
    "hall: a",
    "hall: a\nhosting: {announcements: 10.0.0.5:8003, readiness: 10.0.0.5:8004, \
     repeats: {share: 2.0, window: 10s}}",
    "share must be from 0 to 1"
)]
#[case::too_far_ahead(
    "hall: a",
    "hall: a\ncallers: {ahead: 65}",
    "ahead must be from 0 to 64 requests"
)]
#[case::front("hall: a", "hall: a\nfront: back", "must be levels, backoff, boost")]
#[case::no_workers("hall: a", "hall: a\nworkers: 0", "workers must be from 1 to 64")]
#[case::little_memory(
    "hall: a",
    "hall: a\nvm: {memory: 16MB}",
    "memory must be 48MB or more"
)]
#[case::few_descriptors(
    "hall: a",
    "hall: a\nvm: {descriptors: 64}",
    "descriptors must be 256 or more"
)]
fn config_refuses(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let text = SETTINGS.replace(from, to);
    let errors = Config::parse(Path::new("s.yaml"), text.as_bytes()).expect_err("an error");
    assert!(errors.to_string().contains(message), "{errors}");
}

#[rstest]
#[case::whole("10s", Some(10_000))]
#[case::fraction("2.5s", Some(2_500))]
#[case::milliseconds("250ms", Some(250))]
#[case::zero("0.0s", None)]
#[case::negative("-1.5s", None)]
#[case::no_unit("2.5", None)]
#[case::not_a_number("NaN.s", None)]
fn positive_duration_parse(#[case] text: &str, #[case] millis: Option<u64>) {
    let duration = text.parse::<PositiveDuration>().ok();
    assert_eq!(duration, millis.map(PositiveDuration::from_millis));
}

#[rstest]
#[case::megabytes("160MB", Some((160 << 20, "160MB")))]
#[case::whole_gigabytes("2048MB", Some((2 << 30, "2GB")))]
#[case::no_unit("160", None)]
#[case::fraction("1.5GB", None)]
#[case::zero("0MB", None)]
#[case::too_large("18446744073709551615GB", None)]
fn memory_size_parse(#[case] text: &str, #[case] size: Option<(u64, &str)>) {
    let parsed = text.parse::<MemorySize>().ok();
    let parsed = parsed.map(|size| (size.get(), size.to_string()));
    assert_eq!(parsed, size.map(|(bytes, text)| (bytes, text.to_owned())));
}

#[rstest]
#[case::left_out("", (160 << 20, 4100))]
#[case::memory("vm: {memory: 1GB}", (1 << 30, 4100))]
#[case::both("vm: {memory: 512MB, descriptors: 8192}", (512 << 20, 8192))]
fn config_vm(#[case] line: &str, #[case] limits: (u64, usize)) {
    let text = format!("{SETTINGS}{line}\n");
    let config = Config::parse(Path::new("s.yaml"), text.as_bytes());
    let vm = config.unwrap_or_else(|e| panic!("{e}")).vm;
    assert_eq!((vm.memory.get(), vm.descriptors), limits);
}

#[rstest]
#[case::usual("45%", Some(45))]
#[case::most("100%", Some(100))]
#[case::too_much("101%", None)]
#[case::no_sign("45", None)]
fn percent_parse(#[case] text: &str, #[case] hundredths: Option<u32>) {
    let percent = text.parse::<Percent>().ok();
    assert_eq!(percent, hundredths.map(Percent::new));
}

proptest! {
    #[test]
    fn config_parse_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Config::parse(Path::new("s.yaml"), &bytes);
    }

    #[test]
    fn once_key_round_trips(text in "[!-~]{1,80}") {
        if let Ok(key) = text.parse::<bramleymount::model::OnceKey>() {
            let again: bramleymount::model::OnceKey = key.to_string().parse().expect("a key");
            prop_assert_eq!(again, key);
        }
    }

    #[test]
    fn wire_ids_never_panic(text in ".{0,80}") {
        let _ = text.parse::<bramleymount::model::Instance>();
        let _ = text.parse::<bramleymount::model::CallId>();
        let _ = text.parse::<bramleymount::model::PositiveDuration>();
        let _ = text.parse::<bramleymount::call::Reason>();
    }
}
