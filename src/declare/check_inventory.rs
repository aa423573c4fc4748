//! Validation of the inventory: data centres, services and their dependencies.

use std::collections::{BTreeMap, BTreeSet};

use super::check::Checker;
use super::inventory::{CentreEntry, ServerEntry, ServiceEntry};
use super::{Centre, Placement, Service};
use crate::model::{CentreName, ServiceName};

/// Maximum number of services in an estate.
const MAX_SERVICES: usize = 4096;
/// Maximum number of servers of one service in one hall.
const MAX_SERVERS: u32 = 10_000;

impl Checker<'_> {
    pub(super) fn check_centres(&mut self, entries: &[CentreEntry]) -> Vec<Centre> {
        let mut seen = BTreeSet::new();
        for entry in entries {
            let name = &entry.name.value;
            if !seen.insert(name) {
                self.inventory_error(&entry.name, format!("data centre {name} is declared twice"));
            }
            let mut halls = BTreeSet::new();
            for hall in &entry.halls {
                if !halls.insert(&hall.value) {
                    let message = format!("hall {} of {name} is declared twice", hall.value);
                    self.inventory_error(hall, message);
                }
            }
        }
        entries
            .iter()
            .map(|entry| Centre {
                name: entry.name.value.clone(),
                region: entry.region.clone(),
                halls: entry.halls.iter().map(|h| h.value.clone()).collect(),
            })
            .collect()
    }

    pub(super) fn check_services(
        &mut self,
        entries: &[ServiceEntry],
        centres: &[Centre],
    ) -> BTreeMap<ServiceName, Service> {
        let mut services = BTreeMap::new();
        let names: BTreeSet<&ServiceName> = entries.iter().map(|e| &e.name.value).collect();
        if entries.len() > MAX_SERVICES {
            let message = format!("at most {MAX_SERVICES} services may be declared");
            self.inventory_error(&entries[MAX_SERVICES].name, message);
        }
        for entry in entries {
            let name = &entry.name.value;
            for other in entry.depends.iter().filter(|d| !names.contains(&d.value)) {
                let message = format!(
                    "{name} depends on {}, which is not declared; declare it or remove the line",
                    other.value
                );
                self.inventory_error(other, message);
            }
            let service = Service {
                name: name.clone(),
                slots: entry.slots,
                connections: entry.connections,
                depends: entry.depends.iter().map(|d| d.value.clone()).collect(),
                servers: self.check_placements(&entry.servers, centres),
                work: Vec::new(),
            };
            if services.insert(name.clone(), service).is_some() {
                self.inventory_error(&entry.name, format!("service {name} is declared twice"));
            }
        }
        services
    }

    fn check_placements(&mut self, entries: &[ServerEntry], centres: &[Centre]) -> Vec<Placement> {
        for entry in entries {
            self.check_placement(entry, centres);
        }
        entries
            .iter()
            .map(|entry| Placement {
                centre: entry.data_centre.value.clone(),
                hall: entry.hall.value.clone(),
                count: entry.count.value,
            })
            .collect()
    }

    fn check_placement(&mut self, entry: &ServerEntry, centres: &[Centre]) {
        let name: &CentreName = &entry.data_centre.value;
        match centres.iter().find(|c| c.name == *name) {
            None => {
                let known: Vec<&str> = centres.iter().map(|c| c.name.as_str()).collect();
                let message = format!(
                    "data centre {name} is not declared; known are {}",
                    known.join(", ")
                );
                self.inventory_error(&entry.data_centre, message);
            }
            Some(centre) if !centre.halls.contains(&entry.hall.value) => {
                let message = format!("data centre {name} has no hall {}", entry.hall.value);
                self.inventory_error(&entry.hall, message);
            }
            Some(_) => {}
        }
        if entry.count.value == 0 || entry.count.value > MAX_SERVERS {
            let message = format!(
                "count is {}; write a number from 1 to {MAX_SERVERS}",
                entry.count.value
            );
            self.inventory_error(&entry.count, message);
        }
    }

    /// Rejects dependency cycles; each error names one path through the cycle.
    pub(super) fn check_cycles(&mut self, entries: &[ServiceEntry]) {
        let by_name: BTreeMap<&ServiceName, &ServiceEntry> =
            entries.iter().map(|e| (&e.name.value, e)).collect();
        let mut done = BTreeSet::new();
        for entry in entries {
            let mut path = Vec::new();
            self.visit(&entry.name.value, &by_name, &mut path, &mut done);
        }
    }

    fn visit<'e>(
        &mut self,
        name: &'e ServiceName,
        by_name: &BTreeMap<&'e ServiceName, &'e ServiceEntry>,
        path: &mut Vec<&'e ServiceName>,
        done: &mut BTreeSet<&'e ServiceName>,
    ) {
        if done.contains(name) {
            return;
        }
        let Some(entry) = by_name.get(name) else {
            return;
        };
        path.push(name);
        for next in &entry.depends {
            match path.iter().position(|seen| **seen == next.value) {
                Some(start) => {
                    let mut cycle: Vec<&str> = path[start..].iter().map(|n| n.as_str()).collect();
                    cycle.push(next.value.as_str());
                    let message = format!(
                        "services depend on each other in a cycle: {}; remove one of these dependencies",
                        cycle.join(" -> ")
                    );
                    self.inventory_error(next, message);
                }
                None => self.visit(&next.value, by_name, path, done),
            }
        }
        path.pop();
        done.insert(name);
    }
}
