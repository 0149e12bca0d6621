//! Limits on the state that a malicious peer with a valid key can create.

use super::{await_convergence, membership};
use crate::common::SECOND;
use crate::common::network::Network;
use birchreach_fault_injection::ensure;
use birchreach_membership::{MAX_MEMBERS, Peer};
use foca::{Codec, Header, Member, Message, PostcardCodec};
use std::net::SocketAddr;

/// Returns the identity of a member that does not exist.
fn fake_peer(index: u32) -> Peer {
    Peer {
        name: format!("fake{index}"),
        address: SocketAddr::from(([11, (index >> 16) as u8, (index >> 8) as u8, index as u8], 1)),
        incarnation: u64::from(index) + 1_000,
        epoch: 1,
        renewals: 0,
    }
}

/// Encodes a payload to a member that contains twenty members that do not exist.
fn fake_gossip(to: Peer, round: u32) -> Result<Vec<u8>, String> {
    let header = Header { src: fake_peer(0), src_incarnation: 0, dst: to, message: Message::Gossip };
    let mut data = vec![0; 8];
    PostcardCodec.encode_header(&header, &mut data).map_err(|error| error.to_string())?;
    data.extend(20u16.to_be_bytes());
    for index in 0..20 {
        let member = Member::alive(fake_peer(round * 20 + index + 1));
        PostcardCodec.encode_member(&member, &mut data).map_err(|error| error.to_string())?;
    }
    Ok(data)
}

/// Members and addresses stay bounded while a peer with a valid key gossips thousands of fake members.
pub(crate) fn members_and_addresses_are_bounded() -> Result<(), String> {
    let mut network = Network::started(2, 10);
    await_convergence(&mut network, 2, 10 * SECOND, "join")?;

    for round in 0..400 {
        let to = membership(&mut network, 0)?.identity().clone();
        let payload = fake_gossip(to, round)?;
        network.deliver(0, fake_peer(0).incarnation, payload);
    }

    let member = membership(&mut network, 0)?;
    let (members, addresses) = (member.members().count(), member.known_address_count());

    ensure!(members > 100, "no test of the limit: only {members} fake members were accepted");
    ensure!(members <= MAX_MEMBERS, "{members} members, more than {MAX_MEMBERS}");
    ensure!(addresses <= MAX_MEMBERS + 2, "{addresses} addresses, more than {MAX_MEMBERS} and the two seeds");
    Ok(())
}
