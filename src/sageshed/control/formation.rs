//! The very first start of a control group, and the return of a VM that lost its disk.
//!
//! Voters are named by VM and disk generation, and each disk chooses its generation for itself. So
//! the first members have to learn each other's generations before there is a group that could agree
//! on them:
//!
//! 1. Each fresh process tells all the others who it is ([`messages::Hello`]), again and again.
//! 2. An operator starts the initial voters with `--new-group`. The one with the lowest number waits
//!    until all of them answer as fresh and forming, writes down the membership, and from then on
//!    says so in its hellos.
//! 3. A fresh process that hears a membership with its own VM *and generation* in it writes it down
//!    and takes part. It has not voted yet, so there is nothing that it could contradict.
//! 4. A fresh process that hears of a group without its own generation is one that lost its disk, or
//!    a new VM. It takes part in nothing; the leader hears its hellos and adds it.
//!
//! Leaving `--new-group` in a service file does no harm: a VM that lost its disk finds others that
//! are not fresh, and one that is cut off finds nobody and waits.

use std::{net, sync::atomic, thread, time};

use sageshed_quorum::log;
use sageshed_types::messages;

use super::shared;
use crate::{locks, side_by_side};

/// Between two rounds of hellos.
const MIN_ROUND_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How long one hello may take.
const CALL_LIMIT: time::Duration = time::Duration::from_millis(500);

/// The stack of a thread that sends a hello, in bytes: the default of the standard library.
const HELLO_STACK_BYTES: usize = 2 * 1024 * 1024;

/// Rounds between two lines in the log about what is waited for.
const ROUNDS_PER_LINE: u32 = 25;

/// What a fresh process is to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// A first member of a new group with these members.
    Founder(log::Membership),
    /// One that waits until the leader adds it.
    Joiner,
    /// Nothing: the process was stopped first.
    Stopped,
}

/// What this process says of itself.
///
/// One that has joined was not there when the group was formed, and names the voters of today. If it
/// named none, then with all that were there gone one after another, and `--new-group` in all service
/// files, the first VM to lose its disk would take the members of the group for processes that wait
/// for one. It would write down a membership that nobody had agreed on, and vote and grant by it until
/// the leader has added it.
#[must_use]
pub fn hello(shared: &shared::Shared) -> messages::Hello {
    let mut formed = locks::read(&shared.formed).clone();
    if formed.is_empty() {
        formed.clone_from(&locks::read(&shared.view).voters);
    }
    let fresh = !shared.settled.load(atomic::Ordering::Relaxed);
    messages::Hello {
        from: shared.voter(shared.node),
        formed,
        forming: shared.forming && fresh,
        known: locks::read(&shared.known).iter().copied().collect(),
    }
}

/// Finds out which part a fresh process has. Returns once it is known.
pub fn settle(shared: &shared::Shared, client: &sageshed_vms::Client) -> Part {
    let mut round = 0;
    while !shared.stopping.load(atomic::Ordering::Relaxed) {
        let answers = ask_all(shared, client);
        match decide(shared, &answers) {
            Next::Wait if round % ROUNDS_PER_LINE == 0 => {
                ::log::info!(heard = answers.len(), forming = shared.forming;
                    "control: fresh disk, waits to hear of a group");
            }
            Next::Wait => {}
            Next::Found(voters) => return found(shared, &voters),
            Next::Join => return Part::Joiner,
        }
        round += 1;
        thread::sleep(MIN_ROUND_INTERVAL);
    }
    Part::Stopped
}

/// Tells the others who this process is; asked by one that is not a member yet.
pub fn announce(shared: &shared::Shared, client: &sageshed_vms::Client) {
    drop(ask_all(shared, client));
}

enum Next {
    Wait,
    Found(Vec<messages::Voter>),
    Join,
}

fn decide(shared: &shared::Shared, answers: &[messages::Hello]) -> Next {
    let own = shared.voter(shared.node);
    if let Some(group) = answers.iter().find(|answer| !answer.formed.is_empty()) {
        return if group.formed.contains(&own) {
            Next::Found(group.formed.clone())
        } else {
            Next::Join
        };
    }
    if !shared.forming || !is_first(shared) {
        return Next::Wait;
    }
    let initial = &shared.settings.common.control.initial_voters;
    let forming = answers.iter().filter(|answer| answer.forming);
    let mut voters: Vec<_> = forming.map(|answer| answer.from.clone()).collect();
    voters.push(own);
    voters.retain(|voter| initial.contains(&voter.vm));
    voters.sort();
    if voters.len() == initial.len() {
        Next::Found(voters)
    } else {
        Next::Wait
    }
}

/// Whether this VM is the one of the initial voters that writes down the membership.
fn is_first(shared: &shared::Shared) -> bool {
    let initial = &shared.settings.common.control.initial_voters;
    let numbers = initial.iter().filter_map(|vm| shared.vm_number(vm));
    numbers.min() == Some(shared.node.vm)
}

fn found(shared: &shared::Shared, voters: &[messages::Voter]) -> Part {
    let ids = voters.iter().filter_map(|voter| shared.node_id(voter));
    Part::Founder(log::Membership::of_voters(ids))
}

fn ask_all(shared: &shared::Shared, client: &sageshed_vms::Client) -> Vec<messages::Hello> {
    let hello = hello(shared);
    let peers = shared.control_peers();
    let addresses = peers.iter().filter_map(|vm| shared.control_address(*vm));
    let ask = |address: net::SocketAddr| {
        let address = address.to_string();
        let answer = client.call(&address, messages::paths::HELLO, &hello, CALL_LIMIT);
        answer.ok()
    };
    // Side by side: some may be gone, and each of these takes its whole limit.
    let answers = side_by_side::map(addresses, HELLO_STACK_BYTES, ask);
    let answers: Vec<messages::Hello> = answers.into_iter().flatten().collect();
    for answer in &answers {
        note(shared, answer);
    }
    answers
}

/// Takes note of the control processes that a hello names.
pub fn note(shared: &shared::Shared, hello: &messages::Hello) {
    let from = hello.from.vm.parse::<net::Ipv4Addr>().ok();
    shared.hear_of(hello.known.iter().copied().chain(from));
}
