//! How the requests of each route have been dealt out so far.

use std::collections::HashMap;

use parking_lot::Mutex;

use crate::declare::{Route, Share};
use crate::model::RouteName;
use crate::policy::route::Split;

#[derive(Debug)]
struct Dealt {
    weights: Vec<u32>,
    split: Split,
}

/// The divisions of routes among services.
#[derive(Debug, Default)]
pub struct Splits {
    dealt: Mutex<HashMap<RouteName, Dealt>>,
}

impl Splits {
    /// Chooses the service that takes the next request of a route.
    pub fn choose<'r>(&self, route: &'r Route) -> Option<&'r Share> {
        if let [only] = route.shares.as_slice() {
            return Some(only);
        }
        let weights: Vec<u32> = route.shares.iter().map(|s| s.weight.get()).collect();
        let mut dealt = self.dealt.lock();
        let known = dealt.get(&route.name).map(|dealt| &dealt.weights);
        if known != Some(&weights) {
            let split = Split::new(&weights, rand::random());
            let weights = weights.clone();
            dealt.insert(route.name.clone(), Dealt { weights, split });
        }
        let place = dealt.get_mut(&route.name)?.split.next(&weights)?;
        route.shares.get(place)
    }

    /// Forgets routes that `keep` does not know.
    pub fn retain(&self, keep: impl Fn(&RouteName) -> bool) {
        self.dealt.lock().retain(|name, _| keep(name));
    }
}
