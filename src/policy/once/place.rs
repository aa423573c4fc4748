//! Where a once call must go, and whether an instance may start it.

use xxhash_rust::xxh3::xxh3_64;

use super::{HomeRow, Owner, Refuse};
use crate::model::{Instance, OnceKey, ServiceName};
use crate::policy::member::{MemberState, View};

/// Where a once call must go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// To this instance and no other.
    At(Instance),
    /// Nowhere.
    Refused(Refuse),
}

/// Finds the instance that may start a key.
pub fn place(key: &OnceKey, row: Option<&HomeRow>, view: &View, service: &ServiceName) -> Place {
    match key {
        OnceKey::Ticket { instance, .. } => known(view, *instance),
        OnceKey::Dated(_) => match owner(key, row) {
            Ok(owner) => known(view, owner),
            Err(refuse) => Place::Refused(refuse),
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
pub fn authority(key: &OnceKey, own: Instance, row: Option<&HomeRow>) -> Result<(), Refuse> {
    let owner = match key {
        OnceKey::Ticket { instance, .. } => *instance,
        OnceKey::Dated(_) => owner(key, row)?,
        OnceKey::Opaque(_) => own,
    };
    if owner == own {
        Ok(())
    } else {
        Err(Refuse::WrongOwner)
    }
}

fn owner(key: &OnceKey, row: Option<&HomeRow>) -> Result<Instance, Refuse> {
    let mint = key.mint_time().unwrap_or_default();
    match row.map(|row| row.owner(key, mint)) {
        Some(Owner::Instance(owner)) => Ok(owner),
        Some(Owner::Forgotten) => Err(Refuse::Forgotten),
        Some(Owner::NotYet | Owner::Never) | None => Err(Refuse::NotOwned),
    }
}

/// Checks that an owner is not known to be gone.
fn known(view: &View, owner: Instance) -> Place {
    match view.at(owner.address) {
        Some(member) if member.instance.start > owner.start => Place::Refused(Refuse::OwnerLost),
        Some(member) if member.instance == owner && member.state == MemberState::Left => {
            Place::Refused(Refuse::OwnerLost)
        }
        _ => Place::At(owner),
    }
}

/// Chooses the instance that tries to claim an opaque key: the same for all
/// entries with the same view, so that repeats meet in one ledger.
fn candidate(key: &OnceKey, view: &View, service: &ServiceName) -> Place {
    let hash = key.hash();
    let weight = |instance: &Instance| xxh3_64(format!("{hash:x}{instance}").as_bytes());
    let best = view
        .serving(service)
        .map(|member| member.instance)
        .min_by_key(weight);
    match best {
        Some(instance) => Place::At(instance),
        None => Place::Refused(Refuse::OwnerUnreachable),
    }
}
