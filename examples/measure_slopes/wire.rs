//! Sizes of the messages between the processes, and what a heartbeat costs beside its body.

use std::{
    fs, hint,
    io::{self, Read as _, Write as _},
    net, sync, thread, time,
};

use sageshed::entry::freshness;
use sageshed_types::{endpoints, messages, rules, time as types_time, time::Instant};

use super::{Result, micros, report};

const CALLS: u32 = 20_000;
/// The unit of the times in `/proc/self/stat`, in microseconds.
const TICK_US: f64 = 10_000.0;
const LIMIT: time::Duration = time::Duration::from_secs(2);
/// As long as a token of the group made by `openssl rand -hex 16`.
const TOKEN: &str = "0123456789abcdef0123456789abcdef";

pub fn costs() -> Result<()> {
    message_sizes()?;
    heartbeat_costs()?;
    for voters in [1, 3, 5] {
        freshness_costs(voters)?;
    }
    Ok(())
}

fn process() -> messages::Process {
    messages::Process {
        vm: "region-0-vm-001".to_owned(),
        role: messages::Role::Entry,
        incarnation: endpoints::Incarnation(1_700_000_000_000),
    }
}

fn control_part(voters: usize) -> messages::LeaseInfo {
    let voter = |n| messages::Voter {
        vm: format!("region-0-vm-{n:03}"),
        generation: 1_700_000_000_000,
    };
    messages::LeaseInfo {
        voters: (0..voters).map(voter).collect(),
        generation: 1_700_000_000_000,
        grants: true,
        lease: types_time::Millis(3_000),
        required: rules::Revision(44_000),
        leader: Some("region-0-vm-001".to_owned()),
        term: 12,
        draining: Vec::new(),
    }
}

fn message_sizes() -> Result<()> {
    for held in [0, 5, 12] {
        let report = report(1, 470, held, 90_000);
        let bytes = sageshed_vms::encode(&report)?;
        let encode = micros(|_| drop(hint::black_box(sageshed_vms::encode(&report))))?;
        let decode = micros(|_| {
            drop(hint::black_box(sageshed_vms::decode::<endpoints::Report>(
                &bytes,
            )));
        })?;
        let (bytes, json) = (bytes.len(), serde_json::to_vec(&report)?.len());
        println!(
            "message report resident={held} bytes={bytes} json_bytes={json} encode_us={encode:.2} decode_us={decode:.2}"
        );
    }
    let mark = messages::DirectoryCursor {
        incarnation: endpoints::Incarnation(1_700_000_000_000),
        version: 1_000_000,
    };
    let mut req = messages::SyncReq {
        from: process(),
        address: "10.120.130.140:7100".to_owned(),
        revision: rules::Revision(44_000),
        directory_seen: mark,
        reports: Vec::new(),
        demand: Vec::new(),
        draining: false,
        ready: true,
        crashes_known: None,
        crashes: Vec::new(),
    };
    let mut resp = messages::SyncResp {
        from: process(),
        reports: Vec::new(),
        directory: mark,
        control: None,
        revision: rules::Revision(44_000),
        config: None,
        was_confirmed: true,
        hears_leader: true,
        crashes_mark: None,
        crashes: Vec::new(),
    };
    let (head, answer_head) = http_heads(&req, &resp)?;
    println!("message http head_bytes={head} answer_head_bytes={answer_head}");
    let envelope = messages::Envelope {
        from: process().vm,
        generation: 1_700_000_000_000,
        to: process().vm,
        messages: vec![Vec::new()],
    };
    let envelope = sageshed_vms::encode(&envelope)?.len();
    println!("message envelope of_one_empty_message bytes={envelope}");
    let plain = sageshed_vms::encode(&resp)?.len();
    println!(
        "message sync_req bytes={} sync_resp_of_entry bytes={plain}",
        sageshed_vms::encode(&req)?.len()
    );
    for voters in [1, 3, 5] {
        resp.control = Some(control_part(voters));
        let bytes = sageshed_vms::encode(&resp)?.len();
        println!("message sync_resp_of_control voters={voters} bytes={bytes}");
    }
    for models in [0, 17, 72, 470] {
        let demand = |n| messages::Demand {
            model: format!("model-{n:03}"),
            arrived: 300,
            unserved: 2,
            waiting: 1,
            service_time: types_time::Millis(700),
        };
        req.demand = (0..models).map(demand).collect();
        let bytes = sageshed_vms::encode(&req)?.len();
        println!("message sync_req demand_models={models} bytes={bytes}");
    }
    Ok(())
}

struct Fixed(Vec<u8>);

impl sageshed_vms::Handler for Fixed {
    fn handle(&self, _: &str, _: &[u8]) -> sageshed_vms::Answer {
        sageshed_vms::Answer::Message(self.0.clone())
    }
}

/// Bytes of the head of a heartbeat and of the answer to it.
fn http_heads(req: &messages::SyncReq, resp: &messages::SyncResp) -> Result<(usize, usize)> {
    let listener = net::TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let message = req.clone();
    let client = thread::spawn(move || {
        let client = sageshed_vms::Client::new(TOKEN);
        // It gets no answer: only what it sends is wanted.
        drop(client.call::<_, messages::SyncResp>(
            &address,
            messages::paths::SYNC,
            &message,
            LIMIT,
        ));
    });
    let (mut caller, _) = listener.accept()?;
    let (sent, head) = read_message(&mut caller, sageshed_vms::encode(req)?.len())?;
    drop(caller);
    if client.join().is_err() {
        return Err("the client panicked".into());
    }

    let body = sageshed_vms::encode(resp)?;
    let len = body.len();
    let server = sageshed_vms::Server::start("127.0.0.1:0", TOKEN, 4, sync::Arc::new(Fixed(body)))?;
    let mut stream = net::TcpStream::connect(server.address())?;
    stream.write_all(&sent)?;
    let (_, answer_head) = read_message(&mut stream, len)?;
    Ok((head, answer_head))
}

/// Processor time of both ends of a heartbeat without reports, over a connection that is kept.
fn heartbeat_costs() -> Result<()> {
    let body = vec![0xc0];
    let server = sageshed_vms::Server::start("127.0.0.1:0", TOKEN, 4, sync::Arc::new(Fixed(body)))?;
    let address = server.address().to_string();
    let client = sageshed_vms::Client::new(TOKEN);
    let begun = process_cpu()?;
    for _ in 0..CALLS {
        let () = client.call(&address, messages::paths::SYNC, &process(), LIMIT)?;
    }
    let spent = process_cpu()? - begun;
    let each = spent as f64 * TICK_US / f64::from(CALLS);
    println!("heartbeat calls={CALLS} both_ends_us={each:.1}");
    Ok(())
}

/// Processor time of all threads of this process, in the kernel's units for it.
fn process_cpu() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = text.rsplit_once(')').ok_or("no name of the program")?;
    let times = fields.split_whitespace().skip(11).take(2);
    times.map(|ticks| Ok(ticks.parse::<u64>()?)).sum()
}

/// A message whose body has `body` bytes, and the length of its head.
fn read_message(stream: &mut net::TcpStream, body: usize) -> io::Result<(Vec<u8>, usize)> {
    stream.set_read_timeout(Some(LIMIT))?;
    let (mut buf, mut chunk) = (Vec::new(), [0; 4_096]);
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buf.extend_from_slice(&chunk[..n]);
        let end = buf.windows(4).position(|part| part == b"\r\n\r\n");
        if let Some(head) = end.map(|end| end + 4)
            && buf.len() >= head + body
        {
            return Ok((buf, head));
        }
    }
}

fn freshness_costs(voters: usize) -> Result<()> {
    let mut freshness = freshness::Freshness::new(freshness::Settings {
        entry_vms: 860,
        drift_margin: types_time::Millis(300),
        heartbeat: types_time::Millis(250),
    });
    let part = control_part(voters);
    for voter in &part.voters {
        let part = messages::LeaseInfo {
            generation: voter.generation,
            ..part.clone()
        };
        freshness.granted(Instant(1_000), Instant(1_001), &voter.vm, &part);
    }
    let now = Instant(2_000);
    let check = micros(|_| {
        hint::black_box(freshness.standing(now, rules::Revision(44_000)));
    })?;
    let standing = freshness.standing(now, rules::Revision(44_000));
    println!("freshness voters={voters} check_us={check:.3} standing={standing:?}");
    Ok(())
}
