//! Callers that send requests to all entry processes at once, with prompts that no endpoint has cached.

use std::{thread, time};

use crate::{
    fleet::Fleet,
    standin::{
        Message,
        caller::Request,
        engine::{Behavior, Engine},
    },
};

/// How long the callers send requests.
const LOAD: time::Duration = time::Duration::from_secs(9);

/// The requests that the callers send.
pub struct Load {
    pub path: &'static str,
    pub deadline_ms: u32,
}

/// Sends a request with a prompt that no endpoint has cached, so that no endpoint is preferred.
pub fn ask(fleet: &Fleet, entry: usize, load: &Load, id: &str, number: usize) -> Option<Message> {
    let lines = format!("Model: m1\r\nToken-Usage: 100,10\r\nPrompt-Prefix: {number:x}:100\r\n");
    let plain = Request::new("GET", load.path, id);
    let ask = Request {
        lines: if plain.model.is_some() { &lines } else { "" },
        model: None,
        deadline_ms: load.deadline_ms,
        ..plain
    };
    fleet.ask(entry, &ask)
}

/// Sends requests until each entry process has received a response of `endpoint`, while `beside` rejects all.
pub fn deliver_notice_to_all(fleet: &Fleet, endpoint: &Engine, beside: &Engine, load: &Load) {
    for entry in 0..fleet.entries.len() {
        deliver_notice(fleet, entry, endpoint, beside, load);
    }
}

/// The same for one entry process.
pub fn deliver_notice(
    fleet: &Fleet,
    entry: usize,
    endpoint: &Engine,
    beside: &Engine,
    load: &Load,
) {
    beside.set_behavior(Behavior::Rejects);
    let mut number = 0;
    fleet.until("an entry process has an answer of the endpoint", || {
        number += 1;
        let id = format!("tell-{entry}-{number}");
        let answer = ask(fleet, entry, load, &id, number);
        answer.is_some_and(|it| it.status() == 200) && endpoint.runs(&id) > 0
    });
    beside.set_behavior(Behavior::Answers);
}

/// Sends about 30 requests per second, from two callers per entry process. Returns the responses.
pub fn answers(fleet: &Fleet, load: &Load) -> Vec<Message> {
    let begin = time::Instant::now();
    thread::scope(|scope| {
        let caller = |caller: usize| {
            let mut answers = Vec::new();
            while begin.elapsed() < LOAD {
                let id = format!("load-{caller}-{}", answers.len());
                let number = (caller + 1) * 1_000 + answers.len();
                let answer = ask(fleet, caller % fleet.entries.len(), load, &id, number);
                answers.push(answer.expect("each request is answered"));
                thread::sleep(time::Duration::from_millis(120));
            }
            answers
        };
        let callers = 2 * fleet.entries.len();
        let callers: Vec<_> = (0..callers)
            .map(|it| scope.spawn(move || caller(it)))
            .collect();
        let ended = callers
            .into_iter()
            .map(|it| it.join().expect("a caller ends"));
        ended.flatten().collect()
    })
}
