//! Distribution of the requests of each route among its services.

use std::collections::HashMap;

use parking_lot::Mutex;

use crate::declare::{Route, Share};
use crate::model::RouteName;
use crate::policy::route::Split;

#[derive(Debug)]
struct RouteSplit {
    weights: Vec<u32>,
    split: Split,
}

/// The weighted splits of routes among services.
#[derive(Debug, Default)]
pub struct RouteSplits {
    by_route: Mutex<HashMap<RouteName, RouteSplit>>,
}

impl RouteSplits {
    /// Chooses the service that takes the next request of a route.
    pub fn choose<'r>(&self, route: &'r Route) -> Option<&'r Share> {
        if let [only] = route.shares.as_slice() {
            return Some(only);
        }
        let weights: Vec<u32> = route.shares.iter().map(|s| s.weight.get()).collect();
        let mut by_route = self.by_route.lock();
        let known = by_route.get(&route.name).map(|split| &split.weights);
        if known != Some(&weights) {
            let split = Split::new(&weights, rand::random());
            let weights = weights.clone();
            by_route.insert(route.name.clone(), RouteSplit { weights, split });
        }
        let index = by_route.get_mut(&route.name)?.split.next(&weights)?;
        route.shares.get(index)
    }

    /// Removes the routes for which `is_known` returns false.
    pub fn retain(&self, is_known: impl Fn(&RouteName) -> bool) {
        self.by_route.lock().retain(|name, _| is_known(name));
    }
}
