//! Checks of the rules: classes, work, routes and callers.

use std::collections::{BTreeMap, BTreeSet};

use super::check::Checker;
use super::rules::{CallerEntry, ClassEntry, RouteEntry, WorkEntry};
use super::{Caller, Class, Route, Service, Share, WorkRule};
use crate::model::{ClassRank, Retries, ServiceName};

/// Retries of a request if its class does not say.
const DEFAULT_RETRIES: Retries = Retries::new(2);
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

impl Checker<'_> {
    pub(super) fn classes(&mut self, entries: &[ClassEntry]) -> Vec<Class> {
        let mut seen = BTreeSet::new();
        let mut unprotected = None;
        for (place, entry) in entries.iter().enumerate() {
            let name = &entry.name.value;
            if !seen.insert(name) {
                self.rules(&entry.name, format!("class {name} stands twice"));
            }
            if place >= ClassRank::COUNT {
                let message = format!("at most {} classes may be declared", ClassRank::COUNT);
                self.rules(&entry.name, message);
            }
            match (entry.protected, unprotected) {
                (true, Some(earlier)) => {
                    let message = format!(
                        "protected class {name} stands after {earlier}, which is not protected; \
                         move it up"
                    );
                    self.rules(&entry.name, message);
                }
                (false, None) => unprotected = Some(name),
                _ => {}
            }
            self.once_class(entry);
        }
        entries.iter().map(class).collect()
    }

    fn once_class(&mut self, entry: &ClassEntry) {
        let name = &entry.name.value;
        let Some(once) = &entry.once else {
            return;
        };
        let key = once.value.key.as_deref().unwrap_or_default();
        if http::HeaderName::from_bytes(key.as_bytes()).is_err() {
            let message = format!(
                "once class {name} has no valid key; write once: {{ key: Idempotency-Key }}"
            );
            self.rules(once, message);
        }
        if entry.idempotent {
            let message = format!("class {name} is both once and idempotent; remove one of them");
            self.rules(&entry.name, message);
        }
    }

    pub(super) fn work(
        &mut self,
        entries: &[WorkEntry],
        services: &mut BTreeMap<ServiceName, Service>,
        classes: &[Class],
    ) {
        for entry in entries {
            let class = &entry.class.value;
            self.known_class(&entry.class, classes);
            self.pattern(entry);
            let work = WorkRule {
                method: entry.method.as_ref().map(|m| m.value.clone()),
                path: entry.path.as_ref().map(|p| p.value.clone()),
                class: class.clone(),
            };
            match services.get_mut(&entry.service.value) {
                Some(service) => service.work.push(work),
                None => {
                    let message = format!("{} is no service of the inventory", entry.service.value);
                    self.rules(&entry.service, message);
                }
            }
        }
    }

    fn pattern(&mut self, entry: &WorkEntry) {
        if let Some(method) = &entry.method
            && !METHODS.contains(&&*method.value)
        {
            let message = format!(
                "\"{}\" is no method; write one of {}",
                method.value,
                METHODS.join(", ")
            );
            self.rules(method, message);
        }
        if let Some(path) = &entry.path
            && !path.value.starts_with('/')
        {
            self.rules(path, format!("path \"{}\" must begin with /", path.value));
        }
    }

    pub(super) fn routes(
        &mut self,
        entries: &[RouteEntry],
        services: &BTreeMap<ServiceName, Service>,
        classes: &[Class],
    ) -> Vec<Route> {
        let mut names = BTreeSet::new();
        let mut places = BTreeSet::new();
        for entry in entries {
            let name = &entry.name.value;
            if !names.insert(name) {
                self.rules(&entry.name, format!("route {name} stands twice"));
            }
            if !places.insert((&*entry.host.value, &*entry.path.value)) {
                let message = format!("route {name} has host and path of an earlier one");
                self.rules(&entry.path, message);
            }
            self.known_class(&entry.class, classes);
            self.route(entry, services);
        }
        entries.iter().map(|entry| route(entry, classes)).collect()
    }

    fn route(&mut self, entry: &RouteEntry, services: &BTreeMap<ServiceName, Service>) {
        let path = &entry.path.value;
        if !path.starts_with('/') || !path.ends_with('/') {
            let message = format!("path \"{path}\" must begin and end with /");
            self.rules(&entry.path, message);
        }
        if entry.attempts.value == 0 {
            self.rules(&entry.attempts, "attempts must be at least 1".into());
        }
        for share in &entry.shares.value {
            if !services.contains_key(&share.service.value) {
                let message = format!("{} is no service of the inventory", share.service.value);
                self.rules(&share.service, message);
            }
        }
        if entry.shares.value.iter().all(|s| s.weight.get() == 0) {
            let message = "write at least one share with a weight above 0".into();
            self.rules(&entry.shares, message);
        }
    }

    pub(super) fn callers(&mut self, entries: &[CallerEntry], classes: &[Class]) -> Vec<Caller> {
        let mut seen = BTreeSet::new();
        for entry in entries {
            let name = &entry.name.value;
            if !seen.insert(name) {
                self.rules(&entry.name, format!("caller {name} stands twice"));
            }
            for class in &entry.classes {
                self.known_class(class, classes);
            }
        }
        entries
            .iter()
            .map(|entry| Caller {
                name: entry.name.value.clone(),
                networks: entry.networks.clone(),
                classes: entry.classes.iter().map(|c| c.value.clone()).collect(),
            })
            .collect()
    }
}

fn route(entry: &RouteEntry, classes: &[Class]) -> Route {
    let class = &entry.class.value;
    let share = |share: &super::rules::ShareEntry| Share {
        service: share.service.value.clone(),
        weight: share.weight,
    };
    Route {
        name: entry.name.value.clone(),
        host: entry.host.value.clone(),
        path: entry.path.value.clone(),
        shares: entry.shares.value.iter().map(share).collect(),
        class: class.clone(),
        idempotent: classes.iter().any(|c| c.name == *class && c.idempotent),
        timeout: entry.timeout,
        objective: entry.objective,
        attempts: entry.attempts.value,
        public: entry.public,
    }
}

fn class(entry: &ClassEntry) -> Class {
    Class {
        name: entry.name.value.clone(),
        protected: entry.protected,
        once_key: entry.once.as_ref().and_then(|once| once.value.key.clone()),
        idempotent: entry.idempotent,
        deadline: entry.deadline,
        retries: entry.retries.unwrap_or(DEFAULT_RETRIES),
    }
}
