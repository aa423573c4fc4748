//! Tables of targets, one for each called service.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;

use crate::declare::Estate;
use crate::model::{CentreName, Instance, ServiceName};
use crate::policy::member::View;
use crate::policy::retry::{Allowance, AllowanceSettings, RetryBudget};
use crate::policy::route::{Balance, Table, Target, subset, subset_size};

/// The tables of targets by service.
#[derive(Debug)]
pub struct TargetTables {
    own_centre: CentreName,
    allowance: Option<AllowanceSettings>,
    balance: Balance,
    tables: Mutex<HashMap<ServiceName, Arc<Mutex<Table>>>>,
}

impl TargetTables {
    /// Makes the tables of an entry in `own_centre`.
    ///
    /// Retries are bounded by `allowance`, or without one by the number of
    /// answered calls. `balance` is the measure by which targets are compared.
    pub fn new(
        own_centre: CentreName,
        allowance: Option<AllowanceSettings>,
        balance: Balance,
    ) -> Self {
        Self {
            own_centre,
            allowance,
            balance,
            tables: Mutex::default(),
        }
    }

    /// Returns the table of a service.
    pub fn table(&self, service: &ServiceName) -> Arc<Mutex<Table>> {
        let mut tables = self.tables.lock();
        match tables.get(service) {
            Some(table) => Arc::clone(table),
            None => {
                let retry_budget = match self.allowance {
                    Some(settings) => {
                        RetryBudget::WindowAllowance(Box::new(Allowance::new(settings)))
                    }
                    None => RetryBudget::default(),
                };
                let table = Table::with_retry_budget(self.own_centre.clone(), retry_budget);
                let table = Arc::new(Mutex::new(table));
                tables.insert(service.clone(), Arc::clone(&table));
                table
            }
        }
    }

    /// Rebuilds the tables from the view of the estate.
    pub fn update(&self, estate: &Estate, view: &View) {
        let own = view.own().instance;
        let by_time = self.balance.is_by_time(estate.has_early_timeout());
        for service in estate.services.values() {
            let mut near = Vec::new();
            let mut far = Vec::new();
            for member in view.serving(&service.name) {
                if member.centre == self.own_centre {
                    near.push(member.instance);
                } else {
                    far.push(member.instance);
                }
            }
            let entries = estate.entry_count(&service.name) as usize;
            let servers = near.len() + far.len();
            let size = subset_size(entries, servers, service.connections);
            let mut chosen = subset(instance_hash(own), &near, size);
            chosen.extend(subset(instance_hash(own), &far, size));
            if service.name == view.own().service && !chosen.contains(&own) && near.contains(&own) {
                chosen.push(own);
            }
            let targets = chosen
                .into_iter()
                .filter_map(|instance| view.at(instance.address))
                .map(|m| {
                    let slots = m.slots.unwrap_or(service.slots);
                    Target::new(m.instance, m.centre.clone(), slots)
                })
                .collect();
            let table = self.table(&service.name);
            let mut table = table.lock();
            table.set_by_time(by_time);
            table.update(targets);
        }
    }
}

fn instance_hash(instance: Instance) -> u64 {
    xxhash_rust::xxh3::xxh3_64(instance.address.to_string().as_bytes())
}
