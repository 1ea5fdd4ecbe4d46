//! Options that every command takes, wherever they stand on the command line.

use std::{env, fs};

use sageshed_operators::client;

use crate::failure::Failure;

/// Environment variable in place of `--control`.
const CONTROL: &str = "SAGESHED_CONTROL";
/// Environment variable in place of `--token`.
const TOKEN: &str = "SAGESHED_TOKEN";

/// Options with a value.
const WITH_VALUE: [&str; 3] = ["--control", "--token", "--token-file"];
/// Options without.
const FLAGS: [&str; 1] = ["--json"];

/// The options, as given.
#[derive(Debug)]
pub(crate) struct Globals {
    /// Operators' ports, separated by commas.
    pub control: Option<String>,
    /// The operator's token.
    pub token: Option<String>,
    /// A file with it.
    pub token_file: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
}

impl Globals {
    /// A client of the control processes.
    pub fn client(&self) -> Result<client::Client, Failure> {
        let control = self.control.clone().or_else(|| env::var(CONTROL).ok());
        let control: Vec<String> = control
            .unwrap_or_default()
            .split(',')
            .filter(|it| !it.trim().is_empty())
            .map(str::to_owned)
            .collect();
        if control.is_empty() {
            return Err(Failure::Usage(format!(
                "no control process is named; give --control URL[,URL...] or set {CONTROL}"
            )));
        }
        let options = client::Options::new(control, self.token()?);
        Ok(client::Client::new(options))
    }

    fn token(&self) -> Result<String, Failure> {
        if let Some(token) = &self.token {
            return Ok(token.clone());
        }
        if let Some(file) = &self.token_file {
            return match fs::read_to_string(file) {
                Ok(text) => Ok(text.trim().to_owned()),
                Err(e) => Err(Failure::Usage(format!("the token file {file}: {e}"))),
            };
        }
        env::var(TOKEN).map_err(|_unset| {
            Failure::Usage(format!(
                "no operator's token is given; set {TOKEN}, or give --token-file or --token"
            ))
        })
    }
}

/// The arguments with the options that every command takes moved to the front, where the parser
/// wants them: `sageshed status --json` is what people write.
pub(crate) fn first(args: Vec<String>) -> Vec<String> {
    let mut front = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.into_iter();
    while let Some(arg) = args.next() {
        let name = arg.split('=').next().unwrap_or_default();
        if arg == "--" {
            rest.push(arg);
            rest.extend(args.by_ref());
        } else if FLAGS.contains(&arg.as_str()) || (name != arg && WITH_VALUE.contains(&name)) {
            front.push(arg);
        } else if WITH_VALUE.contains(&arg.as_str()) {
            front.push(arg);
            front.extend(args.next());
        } else {
            rest.push(arg);
        }
    }
    front.append(&mut rest);
    front
}
