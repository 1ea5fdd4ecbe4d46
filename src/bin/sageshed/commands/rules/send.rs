//! Sends changes and says what became of them.

use std::{thread, time};

use sageshed_operators::{client, describe, wire};
use sageshed_types::rules;

use crate::{commands, failure, failure::Failure, globals};

/// How long `--wait` waits. A lease of the usual settings runs out in a tenth of it.
const WAIT: time::Duration = time::Duration::from_secs(30);
/// Between two looks.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// What the commands that change rules have in common.
#[derive(Debug)]
pub(super) struct Options {
    /// The revision that the operator saw; none: the newest.
    pub base: Option<u64>,
    /// The change id; none: a new one.
    pub change_id: Option<String>,
    /// Whether to wait until it is in force.
    pub wait: bool,
}

/// Sends each edit as one change, on top of the one before.
pub(super) fn changes(
    globals: &globals::Globals,
    options: Options,
    edits: Vec<rules::Edit>,
) -> Result<(), Failure> {
    if edits.is_empty() {
        return Err(Failure::Refused("there is no rule to add".to_owned()));
    }
    let client = globals.client()?;
    let mut base = match options.base {
        Some(base) => rules::Revision(base),
        None => client.rules()?.revision,
    };
    let id = options.change_id.unwrap_or_else(commands::new_change_id);
    let single = edits.len() == 1;
    let resend = format!("--change-id {id} --base {base}");
    for (i, edit) in edits.into_iter().enumerate() {
        let change = wire::ChangeReq {
            change_id: if single {
                id.clone()
            } else {
                format!("{id}-{i}")
            },
            base_revision: base,
            edit,
        };
        base = one(globals, &client, &change, &resend)?;
    }
    if options.wait {
        wait(&client, base)?;
        if !globals.json {
            failure::print(&format!("revision {base} is in force everywhere\n"))?;
        }
    }
    Ok(())
}

/// Sends one change. The revision that it made, if it is accepted.
fn one(
    globals: &globals::Globals,
    client: &client::Client,
    change: &wire::ChangeReq,
    resend: &str,
) -> Result<rules::Revision, Failure> {
    let outcome = client.change(change).map_err(|error| match error {
        client::Error::Unknown { .. } => Failure::Unknown(format!(
            "{error}\nsend it again as it was, with `{resend}`: if it was accepted, the answer says \
             so and nothing is done twice"
        )),
        error => error.into(),
    })?;
    if globals.json {
        failure::print_json(&outcome)?;
    }
    match outcome {
        rules::ChangeOutcome::Accepted { revision } => {
            if !globals.json {
                let what = describe::edit(&change.edit);
                failure::print(&format!("revision {revision}: {what}\n"))?;
            }
            Ok(revision)
        }
        rules::ChangeOutcome::Conflict { revision, between } => Err(Failure::Refused(conflict(
            change.base_revision,
            revision,
            &between,
        ))),
        rules::ChangeOutcome::ChangeIdReused { revision } => Err(Failure::Refused(format!(
            "change id {} belongs to another change, accepted as revision {revision}; \
             leave --change-id out for a new one",
            change.change_id
        ))),
        rules::ChangeOutcome::Invalid { problem } => Err(Failure::Refused(problem)),
    }
}

fn conflict(
    base: rules::Revision,
    newest: rules::Revision,
    between: &[rules::AcceptedChange],
) -> String {
    let between: Vec<String> = between
        .iter()
        .map(|accepted| format!("  {}\n", describe::accepted(accepted)))
        .collect();
    format!(
        "nothing was changed: the rules are at revision {newest}, not at {base}\n{}look at \
         `sageshed rules list` and, if the change is still wanted, send it with `--base {newest}`",
        between.concat()
    )
}

fn wait(client: &client::Client, revision: rules::Revision) -> Result<(), Failure> {
    let end = time::Instant::now() + WAIT;
    loop {
        let in_force = client.in_force(revision)?;
        if in_force.everywhere {
            return Ok(());
        }
        if time::Instant::now() >= end {
            return Err(Failure::Unknown(format!(
                "revision {revision} is accepted, but after {} s these VMs may still serve by an \
                 older one: {}",
                WAIT.as_secs(),
                in_force.missing.join(", ")
            )));
        }
        thread::sleep(LOOK);
    }
}
