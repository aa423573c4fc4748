//! Decoders of external data: for any bytes, they return a value or an error.

#![allow(missing_docs)]

use std::path::Path;

use bramleymount::config::Config;
use bramleymount::model::ServerId;
use bramleymount::platform::{read_announcement, read_document};
use bramleymount::policy::member::{Intent, Member};
use proptest::prelude::*;

const ANNOUNCEMENT: &str = r#"{"upstream":"svc","address":"127.0.0.1:1","zone":"hall-a",
    "version":"v1","slots":20,"state":"ready","coldLeftS":0.5,"sequence":4,"born":1764720000123}"#;
const MEMBER: &str = r#"{"instance":"10.0.0.1:80@1a2b","centre":"hall-a","service":"svc",
    "beat":3,"state":"serving","version":7,"slots":20}"#;
const DOCUMENT: &str = r#"{"version":7,"routes":{"r":{"authority":"a.example","pathPrefix":"/r/",
    "routeType":"idempotent","timeoutS":2,"goalS":1,"priority":0,"upstream":"svc","attempts":2}},
    "services":{"svc":{"healthPath":"/h"}},"limits":{}}"#;
const SETTINGS: &str = "service: svc\ncentre: hall-a\nlisten:\n  callers: 127.0.0.1:1\n";

fn server() -> ServerId {
    "i-1".parse().expect("an id")
}

/// Returns `text` with some bytes replaced, removed or inserted.
fn damaged(text: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let change = (0..text.len(), 0..3_u8, any::<u8>());
    prop::collection::vec(change, 1..6).prop_map(move |changes| {
        let mut bytes = text.as_bytes().to_vec();
        for (index, kind, byte) in changes {
            let index = index.min(bytes.len() - 1);
            match kind {
                0 => bytes[index] = byte,
                1 if bytes.len() > 1 => drop(bytes.remove(index)),
                _ => bytes.insert(index, byte),
            }
        }
        bytes
    })
}

fn read_all(bytes: &[u8]) {
    if let Ok((_, announcement)) = read_announcement(bytes, &server()) {
        assert_eq!(announcement.server, server());
        assert!(announcement.slots.get() > 0);
    }
    let _ = read_document(bytes);
    let _ = serde_json::from_slice::<Member>(bytes);
    let _ = Config::parse(Path::new("settings.yaml"), bytes);
}

proptest! {
    #[test]
    fn readers_return_on_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        read_all(&bytes);
    }

    #[test]
    fn readers_return_on_damaged_announcements(bytes in damaged(ANNOUNCEMENT)) {
        read_all(&bytes);
    }

    #[test]
    fn readers_return_on_damaged_members(bytes in damaged(MEMBER)) {
        read_all(&bytes);
    }

    #[test]
    fn readers_return_on_damaged_documents(bytes in damaged(DOCUMENT)) {
        read_all(&bytes);
    }

    #[test]
    fn readers_return_on_damaged_settings(bytes in damaged(SETTINGS)) {
        read_all(&bytes);
    }

    #[test]
    fn read_announcement_rejects_wrong_types(field in 0..4_usize, value in 0..5_usize) {
        let value = ["null", "[]", "{}", "true", "\"x y\""][value];
        let fields = [r#""slots":20"#, r#""state":"ready""#, r#""sequence":4"#, r#""upstream":"svc""#];
        let name = fields[field].split(':').next().expect("a name");
        let text = ANNOUNCEMENT.replace(fields[field], &format!("{name}:{value}"));
        prop_assert!(read_announcement(text.as_bytes(), &server()).is_err(), "{}", text);
    }
}

#[test]
fn read_announcement_ignores_unknown_fields() {
    let text = ANNOUNCEMENT.replace("\"zone\"", "\"later\":{\"a\":[1]},\"zone\"");
    let (service, announcement) =
        read_announcement(text.as_bytes(), &server()).expect("an announcement");
    assert_eq!(service.as_str(), "svc");
    assert_eq!(announcement.intent, Intent::Serve);
    assert_eq!(
        announcement.start.map(|start| start.as_millis()),
        Some(1_764_720_000_123)
    );
}
