//! What a command is given besides its arguments: the way it is told to stop.

use std::{
    io, process,
    sync::{self, Arc},
    thread, time,
};

use signal_hook::{consts, iterator};

/// Exit status after a second interrupt, as shells count it.
const INTERRUPTED: i32 = 130;

/// The context of one run of the program.
#[derive(Debug, Clone, Default)]
pub struct Context {
    /// Set once the process is to stop.
    pub stop: Stop,
}

impl Context {
    /// Lets SIGTERM and SIGINT ask for a stop.
    ///
    /// A second SIGINT ends the process at once: an operator at a terminal who presses the key again
    /// does not want to wait for requests in flight. A second SIGTERM changes nothing, since service
    /// managers send it more than once.
    pub fn watch_signals(&self) -> io::Result<()> {
        let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT])?;
        let stop = self.stop.clone();
        let watch = move || {
            for signal in signals.forever() {
                if signal == consts::SIGINT && stop.is_asked() {
                    process::exit(INTERRUPTED);
                }
                stop.ask();
            }
        };
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(watch)?;
        Ok(())
    }
}

/// A stop that can be asked for once and awaited by many.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    asked: sync::Mutex<bool>,
    change: sync::Condvar,
}

impl Stop {
    /// Asks for the stop.
    pub fn ask(&self) {
        *self.lock() = true;
        self.shared.change.notify_all();
    }

    /// Whether it was asked for.
    #[must_use]
    pub fn is_asked(&self) -> bool {
        *self.lock()
    }

    /// Waits until it is asked for.
    pub fn wait(&self) {
        let asked = self.lock();
        let waited = self.shared.change.wait_while(asked, |asked| !*asked);
        drop(waited);
    }

    /// Waits until it is asked for, at most `limit`. Returns whether it was.
    #[must_use]
    pub fn wait_timeout(&self, limit: time::Duration) -> bool {
        let asked = self.lock();
        let waited = self
            .shared
            .change
            .wait_timeout_while(asked, limit, |asked| !*asked);
        match waited {
            Ok((asked, _)) => *asked,
            Err(poisoned) => *poisoned.into_inner().0,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, bool> {
        // A flag is whole whatever a panicking holder was about.
        self.shared
            .asked
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
