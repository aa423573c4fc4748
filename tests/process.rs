//! Runs the real programs on loopback: a call, an apply and a planned stop.

#![allow(missing_docs)]

mod support;

use std::time::Duration;

use bramleymount::emulator::{BackendServer, Behaviour};
use bytes::Bytes;
use http::Method;
use support::{DaemonProcess, ctl, eventually, example, headers, platform, request, text};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_serves_call_apply_and_stop() {
    let (store, _memory, _running) = platform();
    let a = DaemonProcess::start("a", "oslo-1", "forecast-archive", store, &[]);
    let b = DaemonProcess::start("b", "oslo-2", "forecast-archive", store, &[a.peers]);
    let slow = Behaviour {
        service_time: Duration::from_millis(300),
        ..Behaviour::default()
    };
    let _back_a = BackendServer::start(a.backend, a.callers, 70, slow.clone()).expect("backend");
    let _back_b = BackendServer::start(b.backend, b.callers, 70, slow).expect("backend");
    a.announce().await;
    b.announce().await;

    let operators = a.operators.to_string();
    let applied = ctl(&[
        "apply",
        &example("nordlysvakt"),
        "--to",
        &operators,
        "--author",
        "test",
    ]);
    assert!(applied.status.success(), "{}", text(&applied));
    assert!(
        text(&applied).contains("accepted: version 1"),
        "{}",
        text(&applied)
    );
    let again = ctl(&[
        "apply",
        &example("nordlysvakt"),
        "--to",
        &operators,
        "--base",
        "0",
    ]);
    assert_eq!(again.status.code(), Some(1), "{}", text(&again));

    let url = format!("http://{}/charts/1", b.callers);
    let host = headers(&[("host", "forecast-archive"), ("x-tag", "one")]);
    let answer = eventually("a whole answer through b", || async {
        let answer = request(Method::GET, &url, host.clone(), Bytes::new()).await?;
        answer.status.is_success().then_some(answer)
    })
    .await;
    assert_eq!(answer.headers["x-tag"], "one");
    assert_eq!(answer.body.len(), 64);

    eventually("both daemons at version 1", || async {
        let status = text(&ctl(&["status", "--to", &operators]));
        status
            .contains("2 daemons, newest version 1, 0 behind it")
            .then_some(())
    })
    .await;

    // A planned stop lets a call in flight finish before the daemon exits.
    let (u, h) = (url.clone(), host.clone());
    let in_flight = tokio::spawn(async move { request(Method::GET, &u, h, Bytes::new()).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    b.terminate();
    let answer = in_flight.await.expect("task").expect("an answer");
    assert!(answer.status.is_success());
    let mut b = b;
    let code = tokio::task::spawn_blocking(move || b.child.wait().map(|s| s.code())).await;
    assert_eq!(code.expect("task").expect("exit"), Some(0));

    let call = answer.headers["bramleymount-call"]
        .to_str()
        .expect("id")
        .to_owned();
    let unknown = ctl(&["explain", &call, "--to", &operators]);
    assert!(unknown.status.success(), "{}", text(&unknown));
}
