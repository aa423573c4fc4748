//! The metrics page and its documentation.

#![allow(missing_docs)]

use std::path::Path;
use std::time::Duration;

use bramleymount::config::Config;
use bramleymount::metrics::{
    CallStatus, Gauges, Group, LOSS_NAMES, METRIC_NAMES, Metrics, WORKSPACE_NAMES, WorkspaceRow,
    metrics_page, workspace_page,
};
use bramleymount::model::Rate;

fn read(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    std::fs::read_to_string(path).expect("a file")
}

#[test]
fn page_lists_metrics_by_class() {
    let metrics = Metrics::new(None).expect("metrics");
    let latency = Duration::from_millis(20);
    metrics.record_call("rank-0", "other", CallStatus::Complete, latency, 1);
    metrics.record_call("rank-0", "other", CallStatus::Shed, latency, 0);
    let gauges = Gauges {
        load: (3, 2, 27),
        rate: Some(Rate::per_second(21.9)),
        version: 7,
    };
    let text = metrics_page(&metrics.rows(Group::Class), gauges);
    for line in [
        "bramleymount_calls_total{class=\"rank-0\",ending=\"whole\"} 1",
        "bramleymount_calls_total{class=\"rank-0\",ending=\"shed\"} 1",
        "bramleymount_retries_total{class=\"rank-0\"} 1",
        "bramleymount_guard_in_flight 3",
        "bramleymount_guard_waiting 2",
        "bramleymount_guard_limit 27",
        "bramleymount_guard_rate 21.9",
        "bramleymount_configuration_version 7",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
}

#[test]
fn page_limits_number_of_classes() {
    let metrics = Metrics::new(None).expect("metrics");
    for n in 0..1000 {
        let name = format!("class-{n}");
        metrics.record_call(
            &name,
            "other",
            CallStatus::Complete,
            Duration::from_millis(1),
            0,
        );
    }
    assert!(metrics.rows(Group::Class).len() <= 257);
}

#[test]
fn page_metrics_are_documented() {
    let text = read("docs/operate/metrics.md");
    for (name, _) in METRIC_NAMES {
        assert!(
            text.contains(name),
            "{name} is not in docs/operate/metrics.md"
        );
    }
}

#[test]
fn settings_template_yields_valid_settings() {
    let text = read("deploy/settings.yaml")
        .replace("{{zone}}", "hall-a")
        .replace("{{upstream}}", "huvo11a")
        .replace("{{listen.outbound}}", "10.1.0.8:8304")
        .replace("{{listen.inbound}}", "10.1.0.8:8300")
        .replace("{{listen.control}}", "10.1.0.8:8306")
        .replace("{{listen.ready}}", "10.1.0.8:8302")
        .replace("{{portRange.0}}", "7620")
        .replace("{{portRange.1}}", "7635")
        .replace("{{ip}}", "10.1.0.8")
        .replace("{{appAddr}}", "10.1.0.8:8301")
        .replace("{{bounds.graceS}}", "6")
        .replace("{{#bounds.retryBudgetRatio}}\n", "")
        .replace("{{/bounds.retryBudgetRatio}}\n", "")
        .replace("{{bounds.retryBudgetRatio}}", "0.25")
        .replace("{{bounds.budgetWindowS}}", "7.5")
        .replace("{{#bounds.quotaWindowS}}\n", "")
        .replace("{{/bounds.quotaWindowS}}\n", "")
        .replace("{{bounds.quotaWindowS}}", "5")
        .replace("{{bounds.quotaOverage}}", "0.1")
        .replace("{{bounds.quotaSlack}}", "20")
        .replace("{{#limits.memoryMb}}\n", "")
        .replace("{{/limits.memoryMb}}\n", "")
        .replace("{{limits.memoryMb}}", "260")
        .replace("{{limits.maxFds}}", "8192")
        .replace("{{seeds}}", "10.1.0.8:8306,10.2.0.9:8306")
        .replace("{{platform.address}}", "10.200.1.7:8309");
    assert!(!text.contains("{{"), "a placeholder is left in\n{text}");
    let config = Config::parse(Path::new("settings.yaml"), text.as_bytes());
    let config = config.unwrap_or_else(|e| panic!("{e}"));
    let seed = "10.2.0.9:8300".parse().expect("an address");
    assert_eq!(config.neighbours, [seed]);
    let hosting = config.hosting.expect("hosting");
    assert_eq!(hosting.metrics.expect("an address").port(), 7635);
    assert_eq!(hosting.retry_allowance.share, 0.25);
    assert_eq!(hosting.retry_allowance.window, Duration::from_millis(7500));
    assert_eq!(hosting.rate_tolerance.window, Duration::from_secs(5));
    assert_eq!(
        (hosting.rate_tolerance.excess, hosting.rate_tolerance.slack),
        (0.1, 20.0)
    );
    assert_eq!(config.grace.get(), Duration::from_secs(6));
    let vm = config.vm;
    assert_eq!((vm.memory.get(), vm.descriptors), (260 << 20, 8192));
}

#[test]
fn workspace_page_lists_slot_time_and_sheds() {
    let row = WorkspaceRow {
        name: "no\"rth".into(),
        time: Duration::from_millis(1500),
        shed: 3,
    };
    let text = workspace_page(&[row]);
    for line in [
        "bramleymount_workspace_slot_milliseconds_total{workspace=\"no\\\"rth\"} 1500",
        "bramleymount_workspace_shed_total{workspace=\"no\\\"rth\"} 3",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    assert_eq!(workspace_page(&[]), "");
    let operators = read("docs/operate/metrics.md");
    assert!(
        WORKSPACE_NAMES
            .iter()
            .all(|(name, _)| operators.contains(name))
    );
}

#[test]
fn loss_page_counts_dropped_requests_and_unsent_answers() {
    let metrics = Metrics::new(None).expect("metrics");
    metrics.count_dropped(true);
    metrics.count_dropped(true);
    metrics.count_dropped(false);
    metrics.count_unsent_answer();
    metrics.count_backend_dropped();
    metrics.count_late_answers(3);
    metrics.count_late_answers(1);
    let text = metrics.loss_page();
    for line in [
        "bramleymount_requests_dropped_total{sent=\"true\"} 2",
        "bramleymount_requests_dropped_total{sent=\"false\"} 1",
        "bramleymount_answers_unsent_total 1",
        "bramleymount_backend_dropped_total 1",
        "bramleymount_late_answers_total 4",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    let operators = read("docs/operate/metrics.md");
    assert!(LOSS_NAMES.iter().all(|(name, _)| operators.contains(name)));
}
