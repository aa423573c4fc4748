//! Validation of the rules: classes, work, routes and callers.

use std::collections::{BTreeMap, BTreeSet};

use super::check::Checker;
use super::rules::{CallerEntry, ClassEntry, RouteEntry, WorkEntry};
use super::{Caller, Class, Route, Service, Share, WorkRule};
use crate::model::{ClassRank, Retries, ServiceName};

/// Retries of a request whose class sets no number.
const DEFAULT_RETRIES: Retries = Retries::new(2);
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

impl Checker<'_> {
    pub(super) fn check_classes(&mut self, entries: &[ClassEntry]) -> Vec<Class> {
        let mut seen = BTreeSet::new();
        let mut unprotected = None;
        for (index, entry) in entries.iter().enumerate() {
            let name = &entry.name.value;
            if !seen.insert(name) {
                self.rules_error(&entry.name, format!("class {name} is declared twice"));
            }
            if index >= ClassRank::COUNT {
                let message = format!("at most {} classes may be declared", ClassRank::COUNT);
                self.rules_error(&entry.name, message);
            }
            match (entry.protected, unprotected) {
                (true, Some(earlier)) => {
                    let message = format!(
                        "protected class {name} is listed after {earlier}, which is not protected; \
                         move it up"
                    );
                    self.rules_error(&entry.name, message);
                }
                (false, None) => unprotected = Some(name),
                _ => {}
            }
            self.check_once_class(entry);
        }
        entries.iter().map(build_class).collect()
    }

    fn check_once_class(&mut self, entry: &ClassEntry) {
        let name = &entry.name.value;
        let Some(once) = &entry.once else {
            return;
        };
        let key = once.value.key.as_deref().unwrap_or_default();
        if http::HeaderName::from_bytes(key.as_bytes()).is_err() {
            let message = format!(
                "once class {name} has no valid key; write once: {{ key: Idempotency-Key }}"
            );
            self.rules_error(once, message);
        }
        if entry.idempotent {
            let message = format!("class {name} is both once and idempotent; remove one of them");
            self.rules_error(&entry.name, message);
        }
    }

    pub(super) fn assign_work(
        &mut self,
        entries: &[WorkEntry],
        services: &mut BTreeMap<ServiceName, Service>,
        classes: &[Class],
    ) {
        for entry in entries {
            let class = &entry.class.value;
            self.check_class(&entry.class, classes);
            self.check_pattern(entry);
            let work = WorkRule {
                method: entry.method.as_ref().map(|m| m.value.clone()),
                path: entry.path.as_ref().map(|p| p.value.clone()),
                class: class.clone(),
            };
            match services.get_mut(&entry.service.value) {
                Some(service) => service.work.push(work),
                None => {
                    let message =
                        format!("service {} is not in the inventory", entry.service.value);
                    self.rules_error(&entry.service, message);
                }
            }
        }
    }

    fn check_pattern(&mut self, entry: &WorkEntry) {
        if let Some(method) = &entry.method
            && !METHODS.contains(&&*method.value)
        {
            let message = format!(
                "\"{}\" is not a known method; write one of {}",
                method.value,
                METHODS.join(", ")
            );
            self.rules_error(method, message);
        }
        if let Some(path) = &entry.path
            && !path.value.starts_with('/')
        {
            self.rules_error(path, format!("path \"{}\" must begin with /", path.value));
        }
    }

    pub(super) fn check_routes(
        &mut self,
        entries: &[RouteEntry],
        services: &BTreeMap<ServiceName, Service>,
        classes: &[Class],
    ) -> Vec<Route> {
        let mut names = BTreeSet::new();
        let mut matches = BTreeSet::new();
        for entry in entries {
            let name = &entry.name.value;
            if !names.insert(name) {
                self.rules_error(&entry.name, format!("route {name} is declared twice"));
            }
            if !matches.insert((&*entry.host.value, &*entry.path.value)) {
                let message =
                    format!("route {name} has the same host and path as an earlier route");
                self.rules_error(&entry.path, message);
            }
            self.check_class(&entry.class, classes);
            self.check_route(entry, services);
        }
        entries
            .iter()
            .map(|entry| build_route(entry, classes))
            .collect()
    }

    fn check_route(&mut self, entry: &RouteEntry, services: &BTreeMap<ServiceName, Service>) {
        let path = &entry.path.value;
        if !path.starts_with('/') || !path.ends_with('/') {
            let message = format!("path \"{path}\" must begin and end with /");
            self.rules_error(&entry.path, message);
        }
        if entry.attempts.value == 0 {
            self.rules_error(&entry.attempts, "attempts must be at least 1".into());
        }
        for share in &entry.shares.value {
            if !services.contains_key(&share.service.value) {
                let message = format!("service {} is not in the inventory", share.service.value);
                self.rules_error(&share.service, message);
            }
        }
        if entry.shares.value.iter().all(|s| s.weight.get() == 0) {
            let message = "write at least one share with a weight above 0".into();
            self.rules_error(&entry.shares, message);
        }
    }

    pub(super) fn check_callers(
        &mut self,
        entries: &[CallerEntry],
        classes: &[Class],
    ) -> Vec<Caller> {
        let mut seen = BTreeSet::new();
        for entry in entries {
            let name = &entry.name.value;
            if !seen.insert(name) {
                self.rules_error(&entry.name, format!("caller {name} is declared twice"));
            }
            for class in &entry.classes {
                self.check_class(class, classes);
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

fn build_route(entry: &RouteEntry, classes: &[Class]) -> Route {
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

fn build_class(entry: &ClassEntry) -> Class {
    Class {
        name: entry.name.value.clone(),
        protected: entry.protected,
        once_key: entry.once.as_ref().and_then(|once| once.value.key.clone()),
        idempotent: entry.idempotent,
        deadline: entry.deadline,
        retries: entry.retries.unwrap_or(DEFAULT_RETRIES),
    }
}
