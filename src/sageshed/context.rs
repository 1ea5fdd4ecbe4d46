//! What a command is given besides its arguments: the way it is told to stop.

use std::{
    io,
    sync::{self, Arc},
    thread, time,
};

use signal_hook::{consts, iterator};

/// The context of one run of the program.
#[derive(Debug, Clone, Default)]
pub struct Context {
    /// Set once the process is to stop.
    pub stop: Stop,
}

impl Context {
    /// Lets SIGTERM and SIGINT ask for a stop.
    ///
    /// The first asks for a graceful stop, a second one for a stop at once: an operator who signals
    /// again does not want to wait for requests in flight. The daemon says what it cuts.
    pub fn watch_signals(&self) -> io::Result<()> {
        let mut signals =
            iterator::Signals::new([consts::SIGTERM, consts::SIGINT, consts::SIGHUP])?;
        let stop = self.stop.clone();
        let watch = move || {
            for signal in signals.forever() {
                log::info!(signal; "signal received");
                // Asks for a look into the settings file, which is read anew every few seconds where
                // anything in it may change while the process runs.
                if signal != consts::SIGHUP {
                    stop.ask();
                }
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
    /// How many times.
    asked: sync::Mutex<u32>,
    change: sync::Condvar,
}

impl Stop {
    /// Asks for the stop.
    pub fn ask(&self) {
        *self.lock() += 1;
        self.shared.change.notify_all();
    }

    /// Whether it was asked for.
    #[must_use]
    pub fn is_asked(&self) -> bool {
        *self.lock() > 0
    }

    /// Whether it was asked for again.
    #[must_use]
    pub fn is_asked_again(&self) -> bool {
        *self.lock() > 1
    }

    /// Waits until it is asked for.
    pub fn wait(&self) {
        let asked = self.lock();
        let waited = self.shared.change.wait_while(asked, |asked| *asked == 0);
        drop(waited);
    }

    /// Waits until it is asked for, at most `limit`. Returns whether it was.
    #[must_use]
    pub fn wait_timeout(&self, limit: time::Duration) -> bool {
        let asked = self.lock();
        let waited = self
            .shared
            .change
            .wait_timeout_while(asked, limit, |asked| *asked == 0);
        match waited {
            Ok((asked, _)) => *asked > 0,
            Err(poisoned) => *poisoned.into_inner().0 > 0,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, u32> {
        // A count is whole whatever a panicking holder was about.
        self.shared
            .asked
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
