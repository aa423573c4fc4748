//! Routing of once calls to the owner of their key.

use xxhash_rust::xxh3::xxh3_64;

use super::{OnceRefusal, Owner, OwnershipRow};
use crate::model::{Instance, OnceKey, ServiceName};
use crate::policy::member::{MemberState, View};

/// Where a once call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// Only to this instance.
    Instance(Instance),
    /// To no instance, for this reason.
    Refused(OnceRefusal),
}

/// Finds the instance that owns a key or, for an opaque key, that should claim it.
pub fn destination(
    key: &OnceKey,
    row: Option<&OwnershipRow>,
    view: &View,
    service: &ServiceName,
) -> Destination {
    match key {
        OnceKey::Ticket { instance, .. } => unless_lost(view, *instance),
        OnceKey::Dated(_) => match owner(key, row) {
            Ok(owner) => unless_lost(view, owner),
            Err(refuse) => Destination::Refused(refuse),
        },
        OnceKey::Opaque(_) => candidate(key, view, service),
    }
}

/// Checks that `own` owns a key, by the key and the ownership row. An opaque key
/// must also be claimed.
///
/// # Errors
///
/// Returns the refusal if another instance owns the key or none does.
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

/// Returns the owner as the destination, unless the view shows that it is gone.
fn unless_lost(view: &View, owner: Instance) -> Destination {
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

/// Chooses the instance that claims an opaque key. All entries with the same
/// view choose the same one, so that repeated calls reach the same ledger.
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
