//! Which beginnings of prompts an engine keeps, as far as one entry process can know.
//!
//! An engine keeps what it has read for one model and adapter, and what another reads of the same words
//! is of no use to it. Were a part taken for kept that another model had read, the engine would have up
//! to a third more to read than it was chosen for, and its streams would pause for longer.

use std::collections;

use crate::{dialect, directory, neighbours, neighbours::Reader};

/// Prompt parts that are remembered for each engine.
const PARTS: usize = 2_000;

/// The parts that one engine keeps.
#[derive(Debug, Default)]
pub(super) struct Kept {
    /// By reader and id, with the number of the request that used each last.
    parts: collections::HashMap<(Reader, u64), u64>,
    uses: u64,
}

impl Kept {
    /// Tokens at the beginning of a prompt that need not be read. What comes behind a part that is not
    /// kept has to be read too.
    pub(super) fn tokens(&self, wanted: &dialect::ModelRef, parts: &[dialect::PromptPart]) -> u64 {
        let reader = Reader::of(wanted);
        let kept = |part: &&dialect::PromptPart| self.parts.contains_key(&(reader, part.id));
        parts.iter().take_while(kept).map(|part| part.tokens).sum()
    }

    /// The engine has read a prompt of these parts.
    pub(super) fn remember(&mut self, wanted: &dialect::ModelRef, parts: &[dialect::PromptPart]) {
        self.insert(Reader::of(wanted), parts.iter().map(|part| part.id));
    }

    /// It has read a beginning for another process.
    pub(super) fn learn(&mut self, beginning: &neighbours::Beginning) {
        self.insert(beginning.reader, beginning.parts.iter().copied());
    }

    fn insert(&mut self, reader: Reader, parts: impl Iterator<Item = u64>) {
        self.uses += 1;
        for part in parts {
            self.parts.insert((reader, part), self.uses);
        }
        if self.parts.len() > PARTS {
            self.forget_older_half();
        }
    }

    /// What was read for models that the engine has dropped is gone.
    pub(super) fn keep_resident(&mut self, models: &[directory::Resident]) {
        let resident: Vec<u64> = models.iter().map(|it| neighbours::key(&it.model)).collect();
        self.parts
            .retain(|(reader, _), _| resident.contains(&reader.model));
    }

    fn forget_older_half(&mut self) {
        let mut uses: Vec<u64> = self.parts.values().copied().collect();
        let middle = uses.len() / 2;
        let (_, median, _) = uses.select_nth_unstable(middle);
        let oldest_kept = *median;
        self.parts.retain(|_, used| *used > oldest_kept);
    }
}
