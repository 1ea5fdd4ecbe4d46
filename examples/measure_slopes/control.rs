//! What the control group's parts cost: state, log and disk.

use std::{collections, env, fs, process, time};

use sageshed_disk::{folder, vacant};
use sageshed_quorum::{config, event, log, node};
use sageshed_state::{command, control};
use sageshed_types::{claims, endpoints, rules, time as types_time, time::Instant};

use super::{Result, cpu, memory, rule};

const NODES: u32 = 3;
const PROPOSALS: u64 = 20_000;
const CHANGES: usize = 8_000;
const DISK_TIME: time::Duration = time::Duration::from_secs(2);

pub fn costs() -> Result<()> {
    for count in [1_000, 10_000, 30_000, 100_000] {
        claim_costs(count, 0)?;
        claim_costs(count, 1_024)?;
    }
    for count in [100, 300, 1_000, 3_000] {
        rule_costs(count)?;
    }
    for batch in [1, 8, 64] {
        quorum_costs(batch)?;
    }
    for batch in [1, 64] {
        disk_costs(batch)?;
    }
    Ok(())
}

fn claim(n: usize) -> claims::Claim {
    claims::Claim {
        key: claims::ClaimKey {
            caller: format!("caller-{}", n % 20),
            key: format!("3f2b8c1e-5d7a-4e90-9b1c-{n:012}"),
        },
        holder: claims::Holder {
            vm: format!("region-0-vm-{:03}", n % 860),
            incarnation: endpoints::Incarnation(1_700_000_000_000),
            request_id: format!("01JD7M3K9Q2W4E6R8T0Y{n:06}"),
        },
        digest: n as u64,
        retention: types_time::Millis(86_400_000),
    }
}

fn settle(n: usize, answer: Option<usize>) -> claims::Settle {
    let answer = answer.map(|bytes| claims::RecordedAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: vec![b'x'; bytes],
    });
    let claim = claim(n);
    claims::Settle {
        key: claim.key,
        holder: claim.holder,
        end: claims::ExecutionOutcome::Ran { answer },
    }
}

/// A state with `count` settled claims, each with an answer of `answer` bytes, if any.
pub fn with_claims(count: usize, answer: usize) -> control::ControlState {
    let answer = (answer > 0).then_some(answer);
    let mut state = control::ControlState::default();
    for n in 0..count {
        let index = n as u64 * 2;
        state.apply(index + 1, command::Command::Claim(claim(n)));
        state.apply(index + 2, command::Command::Settle(settle(n, answer)));
    }
    state
}

fn claim_costs(count: usize, answer: usize) -> Result<()> {
    let mut state = control::ControlState::default();
    let mut index = 0;
    let mut apply = |commands: Vec<command::Command>| -> Result<f64> {
        let begun = cpu()?;
        for command in commands {
            index += 1;
            state.apply(index, command);
        }
        Ok((cpu()? - begun) as f64 / count as f64 / 1_000.0)
    };
    let settled = (answer > 0).then_some(answer);
    let claimed_us = apply((0..count).map(claim).map(command::Command::Claim).collect())?;
    let settles = (0..count).map(|n| command::Command::Settle(settle(n, settled)));
    let settled_us = apply(settles.collect())?;
    let begun = cpu()?;
    let snapshot = state.to_bytes()?;
    let written = cpu()? - begun;
    let begun = cpu()?;
    drop(control::ControlState::from_bytes(&snapshot)?);
    println!(
        "claims count={count} answer_bytes={answer} claim_us={claimed_us:.2} \
         settle_us={settled_us:.2} bytes_per_claim={} snapshot_bytes_per_claim={} \
         snapshot_write_ms={:.1} snapshot_read_ms={:.1} claim_command_bytes={} \
         settle_command_bytes={}",
        memory("claims", count, answer)? / count,
        snapshot.len() / count,
        written as f64 / 1e6,
        (cpu()? - begun) as f64 / 1e6,
        command::Command::Claim(claim(1)).to_bytes()?.len(),
        command::Command::Settle(settle(1, settled))
            .to_bytes()?
            .len(),
    );
    Ok(())
}

fn change(n: usize, base: rules::Revision, edit: rules::Edit) -> rules::Change {
    rules::Change {
        change_id: format!("3f2b8c1e-5d7a-4e90-9b1c-{n:012}"),
        base_revision: base,
        edit,
        operator: "operator-1".to_owned(),
    }
}

/// A state with `count` rules, after `changes` further changes.
pub fn with_rules(count: usize, changes: usize) -> control::ControlState {
    let mut state = control::ControlState::default();
    let edit = rules::Edit::ReplaceAll {
        rules: (0..count).map(rule).collect(),
    };
    let first = change(0, rules::Revision(0), edit);
    state.apply(1, command::Command::Change(first));
    for n in 1..=changes {
        let change = nth_change(n);
        state.apply(1 + n as u64, command::Command::Change(change));
    }
    state
}

/// Adds a rule and takes it back, in turns. The first change has made revision 1.
fn nth_change(n: usize) -> rules::Change {
    let edit = if n.is_multiple_of(2) {
        rules::Edit::Withdraw {
            id: rule(99_999).id,
        }
    } else {
        rules::Edit::Add {
            rule: Box::new(rule(99_999)),
            position: rules::Position::First,
        }
    };
    change(n, rules::Revision(n as u64), edit)
}

fn rule_costs(count: usize) -> Result<()> {
    let mut state = with_rules(count, 0);
    let changes: Vec<_> = (1..=CHANGES).map(nth_change).collect();
    let revision = rules::Revision(1);
    let pair = changes[..2].iter().map(|change| {
        let change = change.clone();
        sageshed_vms::encode(&rules::AcceptedChange { revision, change }).map(|bytes| bytes.len())
    });
    let pair = pair.sum::<std::result::Result<usize, _>>()?;
    let begun = cpu()?;
    for (n, change) in changes.into_iter().enumerate() {
        state.apply(2 + n as u64, command::Command::Change(change));
    }
    let spent = cpu()? - begun;
    let ruled = memory("rules", count, 0)?;
    println!(
        "rules count={count} change_us={:.2} bytes_with_rules={ruled} bytes_per_change={} \
         update_bytes_per_change={} whole_set_bytes={} snapshot_bytes={} at_revision={}",
        spent as f64 / CHANGES as f64 / 1_000.0,
        memory("rules", count, CHANGES)?.saturating_sub(ruled) / CHANGES,
        pair / 2,
        sageshed_vms::encode(state.rules().current())?.len(),
        state.to_bytes()?.len(),
        state.rules().current().revision,
    );
    Ok(())
}

/// Nodes whose messages arrive at once and whose disks are in memory.
struct Group {
    nodes: collections::BTreeMap<log::NodeId, node::Node>,
    now: Instant,
    messages: u64,
    bytes: u64,
    applied: u64,
}

fn node_id(vm: u32) -> log::NodeId {
    log::NodeId { vm, generation: 1 }
}

impl Group {
    fn new() -> Self {
        let membership = log::Membership::of_voters((1..=NODES).map(node_id));
        let node = |vm| {
            let restored = log::PersistedState {
                membership: membership.clone(),
                ..log::PersistedState::default()
            };
            let cfg = config::Config::new(node_id(vm));
            (node_id(vm), node::Node::new(cfg, restored, u64::from(vm)))
        };
        Self {
            nodes: (1..=NODES).map(node).collect(),
            now: Instant(0),
            messages: 0,
            bytes: 0,
            applied: 0,
        }
    }

    /// Steps one node, and all to whom messages go, until none is under way.
    fn step(&mut self, id: log::NodeId, events: Vec<event::Event>) -> Result<()> {
        let mut pending = collections::VecDeque::from([(id, events)]);
        while let Some((id, events)) = pending.pop_front() {
            let node = self.nodes.get_mut(&id).ok_or("no such node")?;
            for action in node.step_all(self.now, events) {
                match action {
                    event::Action::Send { to, message } => {
                        self.messages += 1;
                        self.bytes += sageshed_vms::encode(&message)?.len() as u64;
                        pending.push_back((to, vec![event::Event::Message { from: id, message }]));
                    }
                    event::Action::Apply(entries) => self.applied += entries.len() as u64,
                    _ => {}
                }
            }
        }
        Ok(())
    }
}

fn quorum_costs(batch: u64) -> Result<()> {
    let mut group = Group::new();
    let leader = node_id(1);
    group.now = Instant(5_000);
    group.step(leader, vec![event::Event::ElectionTimeout])?;
    group.messages = 0;
    group.bytes = 0;
    group.step(leader, vec![event::Event::HeartbeatDue])?;
    let round = (group.messages, group.bytes);
    let payload = command::Command::Claim(claim(1)).to_bytes()?;
    (group.messages, group.bytes, group.applied) = (0, 0, 0);
    let begun = cpu()?;
    for first in (0..PROPOSALS).step_by(usize::try_from(batch)?) {
        let proposal = |ticket| event::Event::Propose {
            correlation_id: ticket,
            payload: payload.clone(),
        };
        group.step(leader, (first..first + batch).map(proposal).collect())?;
    }
    let spent = cpu()? - begun;
    println!(
        "quorum nodes={NODES} batch={batch} payload_bytes={} proposal_us={:.2} \
         messages_per_entry={:.2} bytes_per_entry={:.0} applied_by_all={} \
         heartbeat_round_messages={} heartbeat_round_bytes={}",
        payload.len(),
        spent as f64 / PROPOSALS as f64 / 1_000.0,
        group.messages as f64 / PROPOSALS as f64,
        group.bytes as f64 / PROPOSALS as f64,
        group.applied,
        round.0,
        round.1,
    );
    Ok(())
}

fn disk_costs(batch: u64) -> Result<()> {
    let dir = env::temp_dir().join(format!("measure-slopes-{}-{batch}", process::id()));
    fs::create_dir_all(&dir)?;
    let folder::Opened::Fresh(vacant) = folder::Folder::open(&dir, 1)? else {
        return Err("the data folder is not fresh".into());
    };
    let start = vacant::Start::New { generation: 1 };
    let folder::Opened::Ready(mut folder, _) = vacant.start_generation(start)? else {
        return Err("the data folder is not ready".into());
    };
    let payload = command::Command::Claim(claim(1)).to_bytes()?;
    let (begun, spent) = (time::Instant::now(), cpu()?);
    let mut writes = 0;
    while begun.elapsed() < DISK_TIME {
        let entry = |n| log::Entry {
            index: log::Index(writes * batch + n),
            term: log::Term(1),
            data: log::EntryData::Command(payload.clone()),
        };
        let write = log::LogWrite {
            entries: (1..=batch).map(entry).collect(),
            ..log::LogWrite::default()
        };
        folder.write(&write)?;
        writes += 1;
    }
    let (took, spent) = (begun.elapsed().as_secs_f64(), cpu()? - spent);
    println!(
        "disk entries_per_write={batch} synced_writes_per_s={:.0} entries_per_s={:.0} \
         cpu_us_per_write={:.1}",
        writes as f64 / took,
        (writes * batch) as f64 / took,
        spent as f64 / writes as f64 / 1_000.0
    );
    drop(folder);
    fs::remove_dir_all(&dir)?;
    Ok(())
}
