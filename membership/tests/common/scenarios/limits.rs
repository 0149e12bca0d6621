//! Bounds on what a malicious member that has the key can cause.

use super::{agreement, membership};
use crate::common::SECOND;
use crate::common::network::Network;
use birchreach_fault_injection::ensure;
use birchreach_membership::{MAX_MEMBERS, Peer};
use foca::{Codec, Header, Member, Message, PostcardCodec};
use std::net::SocketAddr;

/// A member that does not exist.
fn invented(index: u32) -> Peer {
    Peer {
        name: format!("fake{index}"),
        address: SocketAddr::from(([11, (index >> 16) as u8, (index >> 8) as u8, index as u8], 1)),
        incarnation: u64::from(index) + 1_000,
        epoch: 1,
        renewals: 0,
    }
}

/// A payload for a member that names twenty invented ones.
fn invented_gossip(to: Peer, round: u32) -> Result<Vec<u8>, String> {
    let header = Header { src: invented(0), src_incarnation: 0, dst: to, message: Message::Gossip };
    let mut data = vec![0; 8];
    PostcardCodec.encode_header(&header, &mut data).map_err(|error| error.to_string())?;
    data.extend(20u16.to_be_bytes());
    for index in 0..20 {
        let member = Member::alive(invented(round * 20 + index + 1));
        PostcardCodec.encode_member(&member, &mut data).map_err(|error| error.to_string())?;
    }
    Ok(data)
}

/// A peer that has the key and invents thousands of members.
pub(crate) fn what_is_received_is_bounded() -> Result<(), String> {
    let mut network = Network::started(2, 10);
    agreement(&mut network, 2, 10 * SECOND, "join")?;

    for round in 0..400 {
        let to = membership(&mut network, 0)?.identity().clone();
        let payload = invented_gossip(to, round)?;
        network.deliver(0, invented(0).incarnation, payload);
    }

    let member = membership(&mut network, 0)?;
    let (members, addresses) = (member.members().count(), member.known_address_count());

    ensure!(members > 100, "the scenario shows nothing: {members}");
    ensure!(members <= MAX_MEMBERS, "{members} members");
    ensure!(addresses <= MAX_MEMBERS + 2, "{addresses} addresses");
    Ok(())
}
