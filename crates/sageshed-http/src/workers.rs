//! The threads that serve requests: as many as there are requests at work, and a few idle ones.

use std::{
    collections, io,
    sync::{self, Arc, atomic},
    thread, time,
};

use crate::stats;

/// Idle threads that are kept for the next request.
const KEPT: usize = 4;

/// How long an idle thread is kept.
const KEPT_FOR: time::Duration = time::Duration::from_secs(2);

/// How long a job waits for a thread before one more is started for it, where that many are at work already.
const STALLED_AFTER: time::Duration = time::Duration::from_millis(5);

/// Work for one thread.
pub(crate) trait Job: Send + 'static {
    /// Does the work. It may block.
    fn run(self);
}

/// A pool of threads that grows with the jobs at work.
#[derive(Debug)]
pub(crate) struct Workers<J> {
    inner: sync::Mutex<Inner<J>>,
    submitted: sync::Condvar,
    /// Up to this many threads are started at once; further ones only for jobs that have stalled.
    eager: usize,
    stack_bytes: usize,
    counters: Arc<stats::Counters>,
}

#[derive(Debug)]
struct Inner<J> {
    jobs: collections::VecDeque<(J, time::Instant)>,
    idle: usize,
    threads: usize,
    /// Threads that were started and have not run yet.
    starting: usize,
}

impl<J: Job> Workers<J> {
    pub(crate) fn new(eager: usize, stack_bytes: usize, counters: Arc<stats::Counters>) -> Self {
        Self {
            inner: sync::Mutex::new(Inner {
                jobs: collections::VecDeque::new(),
                idle: 0,
                threads: 0,
                starting: 0,
            }),
            submitted: sync::Condvar::new(),
            eager,
            stack_bytes,
            counters,
        }
    }

    /// Has `job` run by an idle thread, a new one, or the next that is done.
    pub(crate) fn submit(self: &Arc<Self>, job: J) {
        let mut inner = self.lock();
        inner.jobs.push_back((job, time::Instant::now()));
        if inner.jobs.len() <= inner.idle {
            drop(inner);
            self.submitted.notify_one();
        } else if inner.jobs.len() > inner.idle + inner.starting && inner.threads < self.eager {
            self.start(&mut inner);
        }
    }

    /// Starts threads for jobs that have stalled. Returns when to look again, if any job waits.
    pub(crate) fn relieve(self: &Arc<Self>) -> Option<time::Duration> {
        let mut inner = self.lock();
        let (_, since) = inner.jobs.front()?;
        let left = STALLED_AFTER.saturating_sub(since.elapsed());
        if !left.is_zero() {
            return Some(left);
        }
        // Where the processor is short, threads started before may not have run yet.
        for _ in inner.idle + inner.starting..inner.jobs.len() {
            self.start(&mut inner);
        }
        Some(STALLED_AFTER)
    }

    fn start(self: &Arc<Self>, inner: &mut Inner<J>) {
        match self.spawn() {
            Ok(()) => {
                inner.threads += 1;
                inner.starting += 1;
                self.count_threads(inner);
                let started = &self.counters.threads_started;
                started.fetch_add(1, atomic::Ordering::Relaxed);
            }
            Err(e) => {
                log::error!(error:% = e, threads = inner.threads; "http: no thread for a request");
            }
        }
    }

    fn count_threads(&self, inner: &Inner<J>) {
        let threads = &self.counters.threads;
        threads.store(inner.threads, atomic::Ordering::Relaxed);
    }

    fn spawn(self: &Arc<Self>) -> io::Result<()> {
        let workers = Arc::clone(self);
        thread::Builder::new()
            .name("http-worker".to_owned())
            .stack_size(self.stack_bytes)
            .spawn(move || {
                let counted = Counted(workers);
                counted.0.lock().starting -= 1;
                while let Some(job) = counted.0.next() {
                    job.run();
                }
            })
            .map(drop)
    }

    /// The next job; none where the thread is not needed any more.
    fn next(&self) -> Option<J> {
        let mut inner = self.lock();
        loop {
            if let Some((job, _)) = inner.jobs.pop_front() {
                return Some(job);
            }
            if inner.idle >= KEPT {
                return None;
            }
            inner.idle += 1;
            let (woken, waited) = self
                .submitted
                .wait_timeout(inner, KEPT_FOR)
                .unwrap_or_else(sync::PoisonError::into_inner);
            inner = woken;
            inner.idle -= 1;
            if waited.timed_out() && inner.jobs.is_empty() {
                return None;
            }
        }
    }

    /// Nothing runs under the lock that could panic half way.
    fn lock(&self) -> sync::MutexGuard<'_, Inner<J>> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A thread of the pool, taken off the count when it ends, also by a panic.
struct Counted<J: Job>(Arc<Workers<J>>);

impl<J: Job> Drop for Counted<J> {
    fn drop(&mut self) {
        let mut inner = self.0.lock();
        inner.threads -= 1;
        self.0.count_threads(&inner);
    }
}
