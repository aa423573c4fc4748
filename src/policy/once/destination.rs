//! Where a once call must go, and whether an instance may start it.

use xxhash_rust::xxh3::xxh3_64;

use super::{OnceRefusal, Owner, OwnershipRow};
use crate::model::{Instance, OnceKey, ServiceName};
use crate::policy::member::{MemberState, View};

/// Where a once call must go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// To this instance and no other.
    Instance(Instance),
    /// Nowhere.
    Refused(OnceRefusal),
}

/// Finds the instance that may start a key.
pub fn destination(
    key: &OnceKey,
    row: Option<&OwnershipRow>,
    view: &View,
    service: &ServiceName,
) -> Destination {
    match key {
        OnceKey::Ticket { instance, .. } => known(view, *instance),
        OnceKey::Dated(_) => match owner(key, row) {
            Ok(owner) => known(view, owner),
            Err(refuse) => Destination::Refused(refuse),
        },
        OnceKey::Opaque(_) => candidate(key, view, service),
    }
}

/// Checks that `own` is the instance that may start a key, so far as the key
/// and the home row tell; an opaque key must be claimed besides.
///
/// # Errors
///
/// Returns why it may not.
pub fn check_owner(
    key: &OnceKey,
    own: Instance,
    row: Option<&OwnershipRow>,
) -> Result<(), OnceRefusal> {
    let owner = match key {
        OnceKey::Ticket { instance, .. } => *instance,
        OnceKey::Dated(_) => owner(key, row)?,
        OnceKey::Opaque(_) => own,
    };
    if owner == own {
        Ok(())
    } else {
        Err(OnceRefusal::WrongOwner)
    }
}

fn owner(key: &OnceKey, row: Option<&OwnershipRow>) -> Result<Instance, OnceRefusal> {
    let mint = key.mint_time().unwrap_or_default();
    match row.map(|row| row.owner(key, mint)) {
        Some(Owner::Instance(owner)) => Ok(owner),
        Some(Owner::Forgotten) => Err(OnceRefusal::Forgotten),
        Some(Owner::NotYet | Owner::Never) | None => Err(OnceRefusal::NotOwned),
    }
}

/// Checks that an owner is not known to be gone.
fn known(view: &View, owner: Instance) -> Destination {
    match view.at(owner.address) {
        Some(member) if member.instance.start > owner.start => {
            Destination::Refused(OnceRefusal::OwnerLost)
        }
        Some(member) if member.instance == owner && member.state == MemberState::Left => {
            Destination::Refused(OnceRefusal::OwnerLost)
        }
        _ => Destination::Instance(owner),
    }
}

/// Chooses the instance that tries to claim an opaque key: the same for all
/// entries with the same view, so that repeats meet in one ledger.
fn candidate(key: &OnceKey, view: &View, service: &ServiceName) -> Destination {
    let hash = key.hash();
    let weight = |instance: &Instance| xxh3_64(format!("{hash:x}{instance}").as_bytes());
    let best = view
        .serving(service)
        .map(|member| member.instance)
        .min_by_key(weight);
    match best {
        Some(instance) => Destination::Instance(instance),
        None => Destination::Refused(OnceRefusal::OwnerUnreachable),
    }
}
