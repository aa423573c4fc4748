//! Where a once call must go.

use crate::model::{Instance, OnceKey, ServiceName};
use crate::policy::member::MemberState;
use crate::policy::once::{Owner, Refuse};
use crate::tables::Shared;

/// Where a once call must go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// To this instance and no other.
    At(Instance),
    /// Nowhere.
    Refused(Refuse),
}

/// Finds the instance that may start a key.
pub(super) fn place(shared: &Shared, service: &ServiceName, key: &OnceKey) -> Place {
    match key {
        OnceKey::Ticket { instance, .. } => known(shared, *instance),
        OnceKey::Dated(_) => {
            let mint = key.mint_time().unwrap_or_default();
            let home = shared.homes.get(service);
            match home.map(|home| home.row.owner(key, mint)) {
                Some(Owner::Instance(owner)) => known(shared, owner),
                Some(Owner::Forgotten) => Place::Refused(Refuse::Forgotten),
                Some(Owner::NotYet | Owner::Never) | None => Place::Refused(Refuse::NotOwned),
            }
        }
        OnceKey::Opaque(_) => candidate(shared, service, key),
    }
}

/// Checks that an owner is not known to be gone.
fn known(shared: &Shared, owner: Instance) -> Place {
    let view = shared.view.lock();
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
fn candidate(shared: &Shared, service: &ServiceName, key: &OnceKey) -> Place {
    let view = shared.view.lock();
    let hash = key.hash();
    let best = view
        .serving(service)
        .map(|member| member.instance)
        .min_by_key(|instance| {
            let text = format!("{hash:x}{instance}");
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        });
    match best {
        Some(instance) => Place::At(instance),
        None => Place::Refused(Refuse::OwnerUnreachable),
    }
}
