//! Members and ownership rows in the peer protocol.

use super::generated as wire;
use crate::error::Error;
use crate::model::{ServiceName, Slots};
use crate::policy::member::{Incarnation, Member};
use crate::tables::StoredOwnership;

/// Encodes an ownership row.
pub(super) fn encode_ownership(
    (service, ownership): &(ServiceName, StoredOwnership),
) -> wire::HomeRow {
    wire::HomeRow {
        key: service.to_string(),
        revision: ownership.revision.0,
        content: ownership.row.encode().into(),
    }
}

/// Encodes the record of a member.
pub(super) fn encode_member(member: &Member) -> wire::Member {
    wire::Member {
        instance: member.instance.to_string(),
        centre: member.centre.to_string(),
        service: member.service.to_string(),
        beat: member.incarnation.0,
        state: member.state.to_string(),
        slots: member.slots.map_or(0, |slots| slots.get()),
    }
}

/// Decodes a record of a member.
///
/// # Errors
///
/// Fails if a field has an invalid value.
pub(super) fn decode_member(member: &wire::Member) -> Result<Member, Error> {
    Ok(Member {
        instance: member.instance.parse()?,
        centre: member.centre.parse()?,
        service: member.service.parse()?,
        incarnation: Incarnation(member.beat),
        state: member.state.parse()?,
        slots: (member.slots > 0).then(|| Slots::new(member.slots)),
    })
}
