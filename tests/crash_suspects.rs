//! Which calls are suspected when a backend server crashes.
//!
//! The tests guard against a crash that counts against calls that did not run at
//! it, or misses the call that caused it. Either way a harmless request ends up as
//! the only one that was in flight at a crash, and is refused for ten minutes.

#![allow(missing_docs)]

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bramleymount::model::{CrashId, Fingerprint, RequestContent};
use bramleymount::policy::member::ChangeCount;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use support::eventually;
use support::hosted::{Vm, document, store, vm_without_server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// How long a server that ends keeps its port or its other connections open.
const CLOSING_TIME: Duration = Duration::from_millis(40);
/// Processing time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(150);

/// The order in which a server closes its sockets when it crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClosingOrder {
    /// Its port and the connection of the deadly request, then the others.
    PortFirst,
    /// The connection of the deadly request, then its port and the others.
    PortLast,
}

/// A backend server that crashes on a request whose path ends with `/deadly`.
struct DyingServer {
    order: ClosingOrder,
    port_closed: Notify,
    all_closed: Notify,
    paths: Mutex<Vec<String>>,
}

impl DyingServer {
    fn start(listener: TcpListener, order: ClosingOrder) -> Arc<Self> {
        let server = Arc::new(Self {
            order,
            port_closed: Notify::new(),
            all_closed: Notify::new(),
            paths: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&server).accept(listener));
        server
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("a connection");
                    tokio::spawn(Arc::clone(&self).serve(stream));
                }
                () = self.port_closed.notified() => return,
            }
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        tokio::select! {
            () = self.answer_all(&mut stream) => {}
            () = self.all_closed.notified() => {}
        }
    }

    async fn answer_all(&self, stream: &mut TcpStream) {
        while let Some(head) = read_head(stream).await {
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            self.paths.lock().push(path.clone());
            tokio::time::sleep(SERVICE_TIME).await;
            if path.ends_with("/deadly") {
                return self.crash(stream).await;
            }
            let answer = answer_to(&head);
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn crash(&self, stream: &mut TcpStream) {
        match self.order {
            ClosingOrder::PortFirst => {
                self.port_closed.notify_one();
                tokio::time::sleep(CLOSING_TIME).await;
                let _ = stream.shutdown().await;
                tokio::time::sleep(CLOSING_TIME).await;
                self.all_closed.notify_waiters();
            }
            ClosingOrder::PortLast => {
                let _ = stream.shutdown().await;
                tokio::time::sleep(CLOSING_TIME).await;
                self.port_closed.notify_one();
                tokio::time::sleep(CLOSING_TIME).await;
                self.all_closed.notify_waiters();
            }
        }
    }

    fn count(&self, path: &str) -> usize {
        let paths = self.paths.lock();
        paths.iter().filter(|seen| *seen == path).count()
    }
}

/// Reads a request with a short body, and returns its head.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut read = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        read.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&read).into_owned();
        if text.contains("\r\n\r\n") && text.ends_with("body") {
            return Some(text);
        }
    }
}

fn answer_to(head: &str) -> String {
    let is_id = |line: &&str| line.to_ascii_lowercase().starts_with("x-request-id:");
    let id = head.lines().find(is_id).expect("an id");
    format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-server-signature: signed\r\n{id}\r\n\r\nok")
}

/// An entry and a guard with a dying server of two slots.
struct Estate {
    guard: Arc<Vm>,
    entry: Arc<Vm>,
    server: Arc<DyingServer>,
    _store: Box<dyn std::any::Any>,
}

impl Estate {
    async fn start(order: ClosingOrder) -> Self {
        let (address, rows, listening) = store().await;
        rows.put("op", "config", &document(7, "svc", 5.0));
        let guard = Arc::new(vm_without_server("svc", address).await);
        let entry = Arc::new(vm_without_server("till", address).await);
        let listener = TcpListener::bind(guard.backend).await.expect("the port");
        let server = DyingServer::start(listener, order);
        announce(&guard, 2, 1).await;
        entry.wait_ready().await;
        let estate = Self {
            guard,
            entry,
            server,
            _store: Box::new((rows, listening)),
        };
        eventually("a first answer", || async {
            let status = estate.send("/read/first").await;
            (status == StatusCode::OK).then_some(())
        })
        .await;
        estate
    }

    /// Opens two connections to the server, then leaves it one slot.
    async fn leave_idle_connection(&self) {
        tokio::join!(self.send("/read/one"), self.send("/read/two"));
        announce(&self.guard, 1, 2).await;
    }

    async fn send(&self, path: &str) -> StatusCode {
        let id = path.replace('/', "-");
        self.entry.send(Method::GET, path, &id).await.status
    }

    async fn wait_arrival(&self, path: &str) {
        eventually("the request at the server", || async {
            (self.server.count(path) > 0).then_some(())
        })
        .await;
    }

    /// Returns the crashes that the guard knows, each with its suspects.
    fn crashes(&self) -> BTreeSet<(CrashId, u128)> {
        let suspects = &self.guard.daemon.shared().suspects;
        let (suspects, _) = suspects.changes_since(ChangeCount::default());
        let crashes = suspects.iter().flat_map(|suspect| {
            let records = suspect.records.iter();
            records.map(|record| (record.crash, suspect.digest))
        });
        crashes.collect()
    }
}

async fn announce(guard: &Vm, slots: u32, sequence: u64) {
    let body = format!(
        r#"{{"upstream":"svc","slots":{slots},"state":"ready","coldLeftS":0,
        "sequence":{sequence}}}"#
    );
    let answer = guard.announce_raw(body.into()).await;
    assert_eq!(answer.status, StatusCode::OK);
}

fn digest(path: &str) -> u128 {
    let content = RequestContent {
        method: &Method::GET,
        host: "a.example",
        target: path,
        body: b"body",
    };
    Fingerprint::of(content, "till").digest
}

/// A call that waited for a slot is sent on an idle connection to a server that has
/// crashed meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn detect_crash_call_sent_after_it_is_no_suspect() {
    let estate = Estate::start(ClosingOrder::PortFirst).await;
    estate.leave_idle_connection().await;
    let deadly = estate.send("/read/deadly");
    let waiting = async {
        estate.wait_arrival("/read/deadly").await;
        estate.send("/read/waiting").await
    };
    tokio::join!(deadly, waiting);
    let suspects: Vec<u128> = estate.crashes().iter().map(|(_, digest)| *digest).collect();
    assert_eq!(suspects, [digest("/read/deadly")]);
}

/// The server closes the connection of the deadly request before its port, so that
/// at first it does not look as if it had crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn detect_crash_found_late_includes_the_call_lost_first() {
    let estate = Estate::start(ClosingOrder::PortLast).await;
    let deadly = estate.send("/read/deadly");
    let beside = async {
        estate.wait_arrival("/read/deadly").await;
        tokio::time::sleep(SERVICE_TIME / 2).await;
        estate.send("/read/beside").await
    };
    tokio::join!(deadly, beside);
    let crashes = estate.crashes();
    let ids: BTreeSet<CrashId> = crashes.iter().map(|(crash, _)| *crash).collect();
    assert_eq!(ids.len(), 1, "{crashes:?}");
    let suspects: BTreeSet<u128> = crashes.iter().map(|(_, digest)| *digest).collect();
    let expected = [digest("/read/deadly"), digest("/read/beside")];
    assert_eq!(suspects, BTreeSet::from(expected));
}
