//! A daemon process must not write API keys to its output, neither those in
//! requests nor those in valid or invalid documents.

#![allow(missing_docs)]

mod support;

use std::path::Path;
use std::process::{Command, Stdio};

use bramleymount::emulator::free_address;
use bytes::Bytes;
use http::{Method, StatusCode};
use support::hosted::{keyed_document, store};
use support::{eventually, headers, request};

const KEYS: [&str; 4] = ["qk-held-1", "qk-held-2", "qk-unknown", "qk-misplaced"];

#[tokio::test]
async fn api_key_is_in_no_output_line() {
    let (address, rows, _listening) = store().await;
    let workspaces = r#"{"north":{"apiKeys":["qk-held-1","qk-held-2"],"ratePerS":1,"burst":1}}"#;
    rows.put("op", "config", &keyed_document(7, "svc", workspaces));
    let port = || free_address().expect("a port");
    let (callers, announcements, readiness) = (port(), port(), port());
    let settings = format!(
        "data_centre: hall-a\nhall: hall-a\nservice: svc\nlisten:\n  callers: {callers}\n  \
         peers: {}\n  operators: {}\nbackend: {}\nplatform: {address}\nhosting:\n  announcements: \
         {announcements}\n  readiness: {readiness}\nlog: {{level: debug, format: json}}\n",
        port(),
        port(),
        port(),
    );
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let (file, output) = (dir.join("keys.yaml"), dir.join("keys.log"));
    std::fs::write(&file, settings).expect("settings");
    let log = std::fs::File::create(&output).expect("a file");
    let mut child = Command::new(env!("CARGO_BIN_EXE_bramleymountd"))
        .arg(&file)
        .stdout(log.try_clone().expect("a file"))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("the daemon");
    let url = format!("http://{callers}/read/x");
    let ask = |key: &'static str| {
        let sent = headers(&[
            ("host", "a.example"),
            ("x-request-id", "r1"),
            ("x-deadline-ms", "500"),
            ("api-key", key),
        ]);
        request(Method::GET, &url, sent, Bytes::new())
    };
    eventually("a refusal by key", || async {
        let answer = ask("qk-unknown").await?;
        (answer.status == StatusCode::UNAUTHORIZED).then_some(())
    })
    .await;
    for key in ["qk-held-1", "qk-held-2", "qk-unknown"] {
        for _ in 0..5 {
            ask(key).await.expect("an answer");
        }
    }
    // Documents that are invalid where a key stands.
    for wrong in [
        r#"{"north":{"apiKeys":"qk-misplaced"}}"#,
        r#"{"north":{"apiKeys":["x"],"ratePerS":"qk-misplaced"}}"#,
        r#"{"qk-misplaced":{"apiKeys":7}}"#,
    ] {
        rows.put("op", "config", &keyed_document(8, "svc", wrong));
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    }
    eventually("an error about the document", || async {
        let text = std::fs::read_to_string(&output).ok()?;
        text.contains("invalid configuration").then_some(())
    })
    .await;
    child.kill().expect("the daemon ends");
    child.wait().expect("the daemon ended");
    let text = std::fs::read_to_string(&output).expect("the output");
    assert!(text.contains("unknown-key"), "{text}");
    for key in KEYS {
        let found = text.lines().find(|line| line.contains(key));
        assert_eq!(found, None, "a line contains a key");
    }
}
